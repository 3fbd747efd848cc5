// ================================================================
// Heartbeats: what this agent tells each entry of its failure domain.
//
// They are sent to all entries, not to one that passes them on: an agent that
// is leaving must be known to be so everywhere at once, and the platform's
// list lags.
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

// wallClock is the wall clock that requests are checked against.
func wallClock() time.Time { return time.Now() }

func revisionText(revision uint64) string { return "revision " + strconv.FormatUint(revision, 10) }

// sendHeartbeats sends to each entry from a goroutine of its own, so that one
// that is cut off delays nobody else's.
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
	// Every entry is told at once when the agent begins to drain.
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
	inFlight, draining := a.admission.state()
	state, _ := a.loader.lastState()
	load := contract.NewLoad(uint32(inFlight), uint32(state.Queued), state.CacheFree, state.TokensPerSecond,
		uint32(a.settings.MaxInFlight()))
	return contract.NewHeartbeat(a.process.Identity, sequence, a.state.Revision(), a.settings.Labels(),
		a.copies.report(), a.servedServices(), load, draining != "", a.traffic.origin.Load(), a.traffic.peers.Load())
}

// servedServices returns the plain services that the configuration lets this VM front.
func (a *Agent) servedServices() []string {
	var names []string
	for _, name := range a.state.View().ServicesOf(a.labels()) {
		if a.services[name] != nil {
			names = append(names, name)
		}
	}
	return names
}
