// ================================================================
// The recorder keeps the events of one process in a ring buffer in memory, and also in a file of JSON
// lines if the VM has a disk. Record stamps and stores an event synchronously instead of sending it
// through the message router: so the order of the timeline is that of the calls, and events before a
// crash are in the file.
// ================================================================

package event

import (
	"encoding/json"
	"io"
	"sort"
	"sync"
	"time"
)

const (
	// DefaultRingSize is how many events a process keeps in memory.
	DefaultRingSize = 4096
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	ProcessStarted    Kind = "process_started"
	ProcessDraining   Kind = "process_draining"
	ProcessStopped    Kind = "process_stopped"
	LeaderElected     Kind = "leader_elected"
	LeaderLost        Kind = "leader_lost"
	VoterChanged      Kind = "voter_changed"
	LogRepaired       Kind = "log_repaired"
	ConfigApplied     Kind = "config_applied"
	ConfigRefused     Kind = "config_refused"
	AgentSeen         Kind = "agent_seen"
	AgentLost         Kind = "agent_lost"
	AgentLeaving      Kind = "agent_leaving"
	CopyStarted       Kind = "copy_started"
	CopyPhaseChanged  Kind = "copy_phase_changed"
	CopyRemoved       Kind = "copy_removed"
	ChunkRefused      Kind = "chunk_refused"
	OrderGiven        Kind = "order_given"
	EngineLost        Kind = "engine_lost"
	RequestEnded      Kind = "request_ended"
	RequestRefused    Kind = "request_refused"
	ClaimTaken        Kind = "claim_taken"
	ClaimSettled      Kind = "claim_settled"
	InvariantBroken   Kind = "invariant_broken"
	CoordinatorChosen Kind = "coordinator_chosen"
	DomainEvacuated   Kind = "domain_evacuated"
	DomainReturned    Kind = "domain_returned"
)

// Event is an event in one process.
//
//wire:generate
type Event struct {
	// stamp is the time of the event.
	stamp Stamp
	// process is the name of the process in which it happened.
	process string
	// kind is the kind of the event.
	kind Kind
	// subject is what the event is about, for instance a VM, a request or a revision.
	subject string
	// detail is a text for operators. The rules of pkg/replay also read it.
	detail string
}

// jsonEvent is the JSON form of an event.
type jsonEvent struct {
	Time    string `json:"time"`
	Wall    int64  `json:"wall"`
	Counter uint32 `json:"counter"`
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"`
	Detail  string `json:"detail,omitempty"`
}

// MarshalJSON writes the event as one line of a timeline file.
func (e Event) MarshalJSON() ([]byte, error) {
	return json.Marshal(jsonEvent{
		Time: e.stamp.Time().UTC().Format(time.RFC3339Nano), Wall: e.stamp.wall, Counter: e.stamp.counter,
		Process: e.process, Kind: e.kind, Subject: e.subject, Detail: e.detail,
	})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (e *Event) UnmarshalJSON(raw []byte) error {
	var l jsonEvent
	if err := json.Unmarshal(raw, &l); err != nil {
		return err
	}
	*e = Event{Stamp{l.Wall, l.Counter}, l.Process, l.Kind, l.Subject, l.Detail}
	return nil
}

// Sort sorts events by timestamp, then by process.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := events[i], events[j]
		if a.stamp != b.stamp {
			return a.stamp.Before(b.stamp)
		}
		return a.process < b.process
	})
}

// ----------------------------------------------------------------
// Recorder

// Recorder keeps the latest events of one process. Record and After are safe for concurrent use.
type Recorder struct {
	clock   *Clock
	process string

	mu   sync.Mutex
	ring []Event
	next int
	file io.Writer
}

// NewRecorder returns a recorder that keeps the latest size events.
func NewRecorder(process string, clock *Clock, size int) *Recorder {
	return &Recorder{process: process, clock: clock, ring: make([]Event, 0, size)}
}

// MirrorTo makes the recorder also write each event to w as a JSON line. Call it before the first
// Record.
func (r *Recorder) MirrorTo(w io.Writer) { r.file = w }

// Clock returns the recorder's clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record stamps and stores an event.
func (r *Recorder) Record(kind Kind, subject, detail string) {
	r.store(Event{stamp: r.clock.Next(), process: r.process, kind: kind, subject: subject, detail: detail})
}

func (r *Recorder) store(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
	} else {
		r.ring[r.next] = e
	}
	r.next = (r.next + 1) % cap(r.ring)
	if r.file == nil {
		return
	}
	if raw, err := json.Marshal(e); err == nil {
		_, _ = r.file.Write(append(raw, '\n'))
	}
}

// After returns the stored events with a timestamp after s, in order.
func (r *Recorder) After(s Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for _, e := range r.ring {
		if s.Before(e.stamp) {
			events = append(events, e)
		}
	}
	Sort(events)
	return events
}
