// ================================================================
// Who is alive: heartbeats of agents, beats between entries, and the
// platform's list, which lags and is only believed when it says "leaving".
// ================================================================

package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/bus"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/membership"
	"github.com/tidepost/tidepost/pkg/route"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// entryHeartbeatInterval is the time between beats to another entry.
	entryHeartbeatInterval = time.Second
	// entryHeartbeatTTL is how old another entry's beat may be.
	entryHeartbeatTTL = 5 * time.Second
	// agentExpiryInterval is the time between looks for silent agents.
	agentExpiryInterval = 250 * time.Millisecond
	// platformPollInterval is the time between reads of the platform's list.
	platformPollInterval = 2 * time.Second
	// maxPlatformListBytes bounds the platform's list, in bytes.
	maxPlatformListBytes = 8 << 20
)

// ----------------------------------------------------------------
// Agents

func (e *Entry) handleHeartbeat(b contract.Heartbeat) {
	now := time.Now()
	id := b.From().ID()
	change := e.agents.RecordHeartbeat(b, now)
	if change == membership.Seen {
		// Another life of the VM: what was learnt of the last one is void.
		e.router.Remove(id)
		e.process.Recorder.Record(event.AgentSeen, string(id), b.From().Address())
	}
	if change == membership.StartedLeaving {
		e.process.Recorder.Record(event.AgentLeaving, string(id), "the agent drains")
	}
	e.router.Replica(id, now).UpdateReport(route.Report{
		InFlight:  int(b.Load().InFlight()),
		Limit:     int(b.Load().Limit()),
		CacheFree: b.Load().CacheFree(),
		At:        now,
	})
}

func (e *Entry) expireAgents(ctx context.Context) error {
	return daemon.Every(ctx, agentExpiryInterval, func() {
		for _, id := range e.agents.Expire(time.Now()) {
			e.router.Remove(id)
			e.process.Recorder.Record(event.AgentLost, string(id), "no heartbeat for "+e.settings.AgentTimeout().String())
		}
		e.metrics.agents.Set(float64(len(e.agents.Agents())))
		e.admission.SetLimit(e.admissionLimit(time.Now()))
	})
}

// admissionLimit is this entry's part of what the failure domain's agents
// take at one time: all entries of the domain get about as many requests, since
// the balancer knows no difference. What is over the part of one entry while
// another is idle, the agents still refuse.
func (e *Entry) admissionLimit(now time.Time) int {
	capacity := 0
	for _, a := range e.agents.Usable(now) {
		capacity += int(a.LastHeartbeat.Load().Limit())
	}
	entries := 1
	for _, b := range e.entries.live(now) {
		if b.From().Domain() == e.process.Identity.Domain() && !b.Draining() {
			entries++
		}
	}
	if capacity == 0 {
		// Nothing of this domain's own: what is admitted goes to others.
		return e.settings.MaxInFlight()
	}
	return min(e.settings.MaxInFlight(), (capacity+entries-1)/entries*admissionLimitFactor)
}

// admissionLimitFactor lets an entry admit more than its even part, as balancers are not
// even: the agents' own limits are what protects the engines.
const admissionLimitFactor = 2

// ----------------------------------------------------------------
// Entries

// entryTable holds the last beat of each other entry.
type entryTable struct {
	mu         sync.RWMutex
	heartbeats map[vm.ID]receivedHeartbeat
}

// receivedHeartbeat is a beat and when it came.
type receivedHeartbeat struct {
	heartbeat  contract.EntryHeartbeat
	receivedAt time.Time
}

func newEntryTable() *entryTable { return &entryTable{heartbeats: map[vm.ID]receivedHeartbeat{}} }

func (t *entryTable) update(b contract.EntryHeartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeats[b.From().ID()] = receivedHeartbeat{b, now}
}

// live returns the beats that are not too old, by name.
func (t *entryTable) live(now time.Time) []contract.EntryHeartbeat {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var beats []contract.EntryHeartbeat
	for _, h := range t.heartbeats {
		if now.Sub(h.receivedAt) <= entryHeartbeatTTL {
			beats = append(beats, h.heartbeat)
		}
	}
	sort.Slice(beats, func(i, j int) bool { return beats[i].From().ID() < beats[j].From().ID() })
	return beats
}

func (e *Entry) handleEntryHeartbeat(b contract.EntryHeartbeat) { e.entries.update(b, time.Now()) }

// sendHeartbeats tells every other entry what this failure domain can serve.
func (e *Entry) sendHeartbeats(ctx context.Context) error {
	for _, address := range e.settings.Entries() {
		go e.sendHeartbeatsTo(ctx, address)
	}
	<-ctx.Done()
	return nil
}

func (e *Entry) sendHeartbeatsTo(ctx context.Context, address string) {
	publisher := link.NewPublisher(e.process.Endpoint, address)
	defer publisher.Close()
	ticker := time.NewTicker(entryHeartbeatInterval)
	defer ticker.Stop()
	for {
		if m, err := bus.Encode(e.heartbeat()); err == nil {
			_ = publisher.Publish(bus.TopicEntryHeartbeat, m)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) heartbeat() contract.EntryHeartbeat {
	digests := map[contract.Digest]bool{}
	services := map[string]bool{}
	inFlight, queued := uint32(0), uint32(0)
	for _, a := range e.agents.Usable(time.Now()) {
		for _, c := range a.LastHeartbeat.Copies() {
			if c.Phase() == contract.PhaseReady {
				digests[c.Digest()] = true
			}
		}
		for _, s := range a.LastHeartbeat.Services() {
			services[s] = true
		}
		inFlight += a.LastHeartbeat.Load().InFlight()
		queued += a.LastHeartbeat.Load().Queued()
	}
	load := contract.NewLoad(inFlight, queued, 0, 0, 0)
	return contract.NewEntryHeartbeat(e.process.Identity, e.state.Revision(), e.draining.Load(),
		sortedDigests(digests), sortedNames(services), load, e.settings.CallersListen())
}

func sortedDigests(set map[contract.Digest]bool) []contract.Digest {
	digests := make([]contract.Digest, 0, len(set))
	for d := range set {
		digests = append(digests, d)
	}
	sort.Slice(digests, func(i, j int) bool { return digests[i].String() < digests[j].String() })
	return digests
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for n := range set {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// ----------------------------------------------------------------
// The platform's list

// platformVM is a line of the platform's list of VMs.
type platformVM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// pollPlatform marks the VMs that the platform is about to take. A VM that
// the list lacks is not dropped for it: the list lags, heartbeats do not.
func (e *Entry) pollPlatform(ctx context.Context) error {
	if e.settings.PlatformURL() == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(platformPollInterval)
	defer ticker.Stop()
	for {
		if err := e.readPlatformList(ctx); err != nil {
			_ = level.Debug(e.process.Logger).Log("msg", "platform's list not read", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *Entry) readPlatformList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformPollInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.settings.PlatformURL()+"/vms", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var list []platformVM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPlatformListBytes)).Decode(&list); err != nil {
		return err
	}
	for _, v := range list {
		if v.Leaving && e.agents.MarkLeaving(vm.ID(v.Name), "the platform withdraws the VM") {
			e.process.Recorder.Record(event.AgentLeaving, v.Name, "the platform withdraws the VM")
		}
	}
	return nil
}
