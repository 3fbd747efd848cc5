// ================================================================
// Evacuation of a failure domain by an operator: its backend servers receive no new requests until the
// evacuation is ended.
//
// A call is based on the revision of the domain that its node had applied when the call arrived. A call
// that was delayed, in a paused process or on a link, until another one has changed the domain is
// therefore not applied, and its caller is told to send it again.
// ================================================================

package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/placement"
)

const (
	// maxQuotedName bounds a name from outside in a message, in bytes.
	maxQuotedName = 64
	// applyCheckInterval is the time between two checks whether this node has applied a change.
	applyCheckInterval = 10 * time.Millisecond
)

// SetEvacuated commits to the control log that a failure domain is evacuated, or is not any more. A call
// that repeats the current state is acknowledged and changes nothing. It fails with BadRequest if the
// domain is unknown.
func (s *Service) SetEvacuated(ctx context.Context, domain string, evacuated bool) error {
	change := placement.NewChange(domain, evacuated, s.state.evacuations.Get(domain).Revision())
	err := s.checkDomain(domain)
	if err == nil {
		err = s.proposeEvacuation(ctx, change)
	}
	s.logEvacuationCall(change, err)
	return err
}

// EvacuatedDomains returns the evacuated failure domains that this node knows.
func (s *Service) EvacuatedDomains() []string { return s.state.evacuations.Evacuated() }

// checkDomain returns a BadRequest failure unless a failure domain is known, from the settings or from
// the backend servers that have registered.
func (s *Service) checkDomain(domain string) error {
	if _, known := s.regions[domain]; known {
		return nil
	}
	for _, r := range s.registry.All() {
		if domain != "" && r.Domain() == domain {
			return nil
		}
	}
	return failure.New(failure.BadRequest, "failure domain %q is not known: no setting and no backend server names it", quoted(domain))
}

// quoted returns the beginning of a name, for a message.
func quoted(name string) string {
	if len(name) <= maxQuotedName {
		return name
	}
	return name[:maxQuotedName] + "..."
}

func (s *Service) proposeEvacuation(ctx context.Context, c placement.Change) error {
	response, err := s.propose(ctx, command{evacuation: &c})
	switch {
	case err != nil:
		return err
	case response.evacuation.Result() == placement.Outdated:
		return failure.New(failure.NotReady, "failure domain %q has changed meanwhile", c.Domain()).WithRetryAfter(leaderRetryDelay)
	}
	s.awaitRevision(ctx, c.Domain(), response.evacuation.Revision())
	return nil
}

// awaitRevision waits until this node has applied a revision of a failure domain, so that the next call
// here is based on it. The change is committed, so the wait may end early.
func (s *Service) awaitRevision(ctx context.Context, domain string, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout/3)
	defer cancel()
	for s.state.evacuations.Get(domain).Revision() < revision {
		select {
		case <-ctx.Done():
			return
		case <-time.After(applyCheckInterval):
		}
	}
}

// logEvacuationCall logs the result of an operator's call.
func (s *Service) logEvacuationCall(c placement.Change, err error) {
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "change", "of", "evacuation", "domain", quoted(c.Domain()), "evacuated", c.Evacuate(), "outcome", "not agreed", "err", err)
		return
	}
	_ = level.Info(s.logger).Log("msg", "change", "of", "evacuation", "domain", c.Domain(), "evacuated", c.Evacuate(), "outcome", "agreed")
}

// evacuationsChanged publishes failure domains that have been evacuated, or are not any more.
func (n *Node) evacuationsChanged(changed []placement.DomainState) {
	for _, s := range changed {
		kind := event.DomainReturned
		if s.Evacuated() {
			kind = event.DomainEvacuated
		}
		n.recordEvent(kind, s.Domain(), "")
	}
	n.service.publisher.EvacuationsChanged()
}
