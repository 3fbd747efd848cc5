// ================================================================
// Liveness: heartbeats from agents, heartbeats between entries, and the
// platform's list of VMs. The list lags behind, so only its "leaving" marks are used.
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
	"github.com/tidepost/tidepost/pkg/upstream"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// entryHeartbeatInterval is the interval between heartbeats to another entry.
	entryHeartbeatInterval = time.Second
	// entryHeartbeatTTL is the age at which another entry's heartbeat is ignored.
	entryHeartbeatTTL = 5 * time.Second
	// agentExpiryInterval is the interval between checks for agents whose heartbeats stopped.
	agentExpiryInterval = 250 * time.Millisecond
	// platformPollInterval is the interval between reads of the platform's list, and the
	// timeout of one read.
	platformPollInterval = 2 * time.Second
	// maxPlatformListBytes is the largest list that is read from the platform.
	maxPlatformListBytes = 8 << 20
)

// ----------------------------------------------------------------
// Agents

// handleHeartbeat updates the membership and the load of an agent.
func (e *Entry) handleHeartbeat(b contract.Heartbeat) {
	now := time.Now()
	id := b.From().ID()
	change := e.agents.RecordHeartbeat(b, now)
	if change == membership.Seen {
		// This is a new incarnation of the VM: statistics of the previous one don't apply.
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

// expireAgents drops agents without heartbeats and adjusts the admission limit
// until the context ends.
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

// admissionLimit returns how many requests this entry admits at a time: its
// share of the concurrency limits of the failure domain's agents, times
// admissionLimitFactor. The load balancer treats all entries of the domain alike,
// so each gets about the same number of requests. The agents reject what exceeds
// their own limits.
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
		// The domain has no usable agents: requests are forwarded to other domains.
		return e.settings.MaxInFlight()
	}
	return min(e.settings.MaxInFlight(), (capacity+entries-1)/entries*admissionLimitFactor)
}

// admissionLimitFactor lets an entry admit more than an even share, because load
// balancers don't distribute evenly. The agents' own limits protect the engines.
const admissionLimitFactor = 2

// ----------------------------------------------------------------
// Entries

// entryTable holds the last heartbeat of each other entry. It is safe for
// concurrent use.
type entryTable struct {
	mu         sync.RWMutex
	heartbeats map[vm.ID]receivedHeartbeat
}

// receivedHeartbeat is a heartbeat of another entry and its time of receipt.
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

// live returns the heartbeats that are not older than entryHeartbeatTTL, sorted by
// VM name.
func (t *entryTable) live(now time.Time) []contract.EntryHeartbeat {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var heartbeats []contract.EntryHeartbeat
	for _, h := range t.heartbeats {
		if now.Sub(h.receivedAt) <= entryHeartbeatTTL {
			heartbeats = append(heartbeats, h.heartbeat)
		}
	}
	sort.Slice(heartbeats, func(i, j int) bool { return heartbeats[i].From().ID() < heartbeats[j].From().ID() })
	return heartbeats
}

func (e *Entry) handleEntryHeartbeat(b contract.EntryHeartbeat) { e.entries.update(b, time.Now()) }

// sendHeartbeats reports to every other entry which digests and services this
// failure domain can serve, until the context ends.
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
// The platform's list of VMs

// platformVM is an element of the platform's list of VMs.
type platformVM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// pollPlatform marks the VMs that the platform is about to withdraw. A VM that is
// missing from the list stays in use, because the list lags behind the heartbeats.
func (e *Entry) pollPlatform(ctx context.Context) error {
	if e.settings.PlatformURL() == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(platformPollInterval)
	defer ticker.Stop()
	for {
		if err := e.readPlatformList(ctx); err != nil {
			_ = level.Debug(e.process.Logger).Log("msg", "reading the platform's VM list failed", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// platformClient calls the platform.
var platformClient = upstream.NewClient(nil)

func (e *Entry) readPlatformList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformPollInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.settings.PlatformURL()+"/vms", nil)
	if err != nil {
		return err
	}
	response, err := platformClient.Do(request)
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
