// ================================================================
// Heartbeats of this agent to each entry of its failure domain.
//
// They are sent to all entries and not to one that forwards them: each entry must learn
// at once that an agent drains, and the platform's list lags behind.
// ================================================================

package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/bus"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/link"
)

// wallClock returns the time that requests' deadlines are checked against.
func wallClock() time.Time { return time.Now() }

func revisionText(revision uint64) string { return "revision " + strconv.FormatUint(revision, 10) }

// sendHeartbeats sends to each entry from its own goroutine, so that an unreachable
// entry doesn't delay the heartbeats to others.
func (a *Agent) sendHeartbeats(ctx context.Context) error {
	for _, address := range a.settings.Entries() {
		go a.sendHeartbeatsTo(ctx, address)
	}
	<-ctx.Done()
	return nil
}

func (a *Agent) sendHeartbeatsTo(ctx context.Context, address string) {
	publisher := link.NewPublisher(a.process.Endpoint, address)
	defer publisher.Close()
	ticker := time.NewTicker(a.settings.Heartbeat())
	defer ticker.Stop()
	var sequence uint64
	reachable := true
	// The next heartbeat is sent at once when the agent begins to drain.
	admissionClosed := a.admission.done()
	for {
		sequence++
		err := a.sendHeartbeat(publisher, sequence)
		if reachable != (err == nil) {
			reachable = err == nil
			_ = level.Info(a.process.Logger).Log("msg", "heartbeats", "entry", address, "reachable", reachable, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-admissionClosed:
			admissionClosed = nil
		}
	}
}

func (a *Agent) sendHeartbeat(p *link.Publisher, sequence uint64) error {
	m, err := bus.Encode(a.heartbeat(sequence))
	if err != nil {
		return err
	}
	return p.Publish(bus.TopicHeartbeat, m)
}

func (a *Agent) heartbeat(sequence uint64) contract.Heartbeat {
	inFlight, closeReason := a.admission.state()
	state, _ := a.loader.lastState()
	load := contract.NewLoad(uint32(inFlight), uint32(state.Queued), state.CacheFree, state.TokensPerSecond,
		uint32(a.settings.MaxInFlight()))
	return contract.NewHeartbeat(a.process.Identity, sequence, a.state.Revision(), a.settings.Labels(),
		a.copies.report(), a.servedServices(), load, closeReason != "", a.traffic.origin.Load(), a.traffic.peers.Load())
}

// servedServices returns the plain services that the configuration assigns to this VM
// and the agent has a client for.
func (a *Agent) servedServices() []string {
	var names []string
	for _, name := range a.state.View().ServicesOf(a.labels()) {
		if a.services[name] != nil {
			names = append(names, name)
		}
	}
	return names
}
