// ================================================================
// The publisher: a control node's side of the feed. Each follower has a queue
// of the words that it has not got yet, by incarnation, so a slow follower
// costs one word a backend server and never holds up the others.
// ================================================================

package feed

import (
	"context"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// beat is the time between Updates when nothing changes.
	beat = time.Second
	// loadPause is how long loads wait for others to be told with them.
	loadPause = 80 * time.Millisecond
	// sendTimeout bounds one Update; a follower that takes longer is cut off.
	sendTimeout = 3 * time.Second
	// maxFollowers bounds the streams that a node serves.
	maxFollowers = 4096
)

// Source is where a publisher reads what it tells. All of it is called from
// several goroutines.
type Source struct {
	// Number returns the newest applied document's number.
	Number func() uint64
	// Document returns that document; nil when there is none.
	Document func() *serviceconfig.Document
	// Weights returns the named versions.
	Weights func() []Weights
	// Registrations returns all words that the node holds.
	Registrations func() []registry.Registration
	// Nodes returns the link addresses of the control nodes.
	Nodes func() []string
	// Confirmed tells whether a quorum's leader was heard of lately.
	Confirmed func() bool
}

// Publisher serves the feed to followers.
type Publisher struct {
	source Source

	mu          sync.Mutex
	subscribers map[*subscriber]bool
	loads       map[string]Load // the newest, by engine
}

// subscriber is one follower's queue.
type subscriber struct {
	hello Hello
	wake  chan struct{} // something is to be told at once
	soon  chan struct{} // something may wait for more

	mu      sync.Mutex
	pending map[string]registry.Registration
	loads   map[string]Load // by engine
	asked   bool
	whole   bool
	demand  float64 // requests for engines a second, of a gateway
}

// NewPublisher returns a publisher without followers.
func NewPublisher(s Source) *Publisher {
	return &Publisher{source: s, subscribers: map[*subscriber]bool{}, loads: map[string]Load{}}
}

// Registered queues a word for every follower.
func (p *Publisher) Registered(words ...registry.Registration) {
	if len(words) == 0 {
		return
	}
	p.each(func(s *subscriber) {
		for _, r := range words {
			s.pending[r.Incarnation()] = r
		}
	})
}

// loaded queues a load for the gateways.
func (p *Publisher) loaded(l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	urgent := l.Urgent(p.loads[l.engine])
	p.loads[l.engine] = l
	for s := range p.subscribers {
		if s.hello.role != RoleGateway {
			continue
		}
		s.mu.Lock()
		s.loads[l.engine] = l
		s.mu.Unlock()
		if urgent {
			daemon.Wake(s.wake)
		} else {
			daemon.Wake(s.soon)
		}
	}
}

// Changed wakes every follower: the document or the weights changed.
func (p *Publisher) Changed() { p.each(func(*subscriber) {}) }

// NodesChanged has the control nodes told anew.
func (p *Publisher) NodesChanged() { p.each(func(s *subscriber) { s.whole = true }) }

func (p *Publisher) each(change func(*subscriber)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		s.change(change)
	}
}

func (s *subscriber) change(change func(*subscriber)) {
	s.mu.Lock()
	change(s)
	s.mu.Unlock()
	daemon.Wake(s.wake)
}

// Serve serves one follower until its stream breaks.
func (p *Publisher) Serve(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(sendTimeout))
	var hello Hello
	if err := stream.Receive(&hello); err != nil {
		return err
	}
	s := &subscriber{hello: hello, wake: make(chan struct{}, 1), soon: make(chan struct{}, 1),
		pending: map[string]registry.Registration{}, loads: map[string]Load{}, whole: true}
	for _, r := range p.source.Registrations() {
		s.pending[r.Incarnation()] = r
	}
	if !p.add(s) {
		return failure.New(failure.Overloaded, "%d followers are served already", maxFollowers)
	}
	defer p.remove(s)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.takeWords(stream, s, cancel)
	return p.send(ctx, stream, s)
}

func (p *Publisher) add(s *subscriber) bool {
	p.mu.Lock()
	full := len(p.subscribers) >= maxFollowers
	if !full {
		p.subscribers[s] = true
	}
	p.mu.Unlock()
	p.NodesChanged()
	return !full
}

func (p *Publisher) remove(s *subscriber) {
	p.mu.Lock()
	delete(p.subscribers, s)
	p.mu.Unlock()
	p.NodesChanged()
}

// takeWords reads what the follower tells; the end of the stream ends it.
func (p *Publisher) takeWords(stream *link.Stream, s *subscriber, cancel func()) {
	defer cancel()
	for {
		var w Word
		if err := stream.Receive(&w); err != nil {
			return
		}
		if w.load != nil {
			p.loaded(*w.load)
		}
		if w.demand > 0 {
			s.tookDemand(w.demand)
		}
		if w.ask {
			s.change(func(s *subscriber) { s.asked = true })
		}
	}
}

func (s *subscriber) tookDemand(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand = perSecond
}

// demands adds up what the gateways that follow told of theirs.
func (p *Publisher) demands() []Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	byDomain := map[string]float64{}
	for s := range p.subscribers {
		s.mu.Lock()
		byDomain[s.hello.self.Domain()] += s.demand
		s.mu.Unlock()
	}
	var all []Demand
	for domain, perSecond := range byDomain {
		if perSecond > 0 {
			all = append(all, Demand{domain, perSecond})
		}
	}
	return all
}

func (p *Publisher) send(ctx context.Context, stream *link.Stream, s *subscriber) error {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		stream.SetDeadline(time.Now().Add(sendTimeout))
		if err := stream.Send(p.update(s)); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-ticker.C:
		case <-s.soon:
			select {
			case <-ctx.Done():
				return nil
			case <-s.wake:
			case <-time.After(loadPause):
			}
		}
	}
}

// update takes what waits for the follower.
func (p *Publisher) update(s *subscriber) Update {
	s.mu.Lock()
	pending, asked, whole := s.pending, s.asked, s.whole
	loads := s.loads
	s.pending, s.asked, s.whole = map[string]registry.Registration{}, false, false
	s.loads = map[string]Load{}
	s.mu.Unlock()
	u := Update{number: p.source.Number(), weights: p.source.Weights(), confirmed: p.source.Confirmed()}
	if s.hello.role == RoleGateway {
		u.demands = p.demands()
	}
	if asked {
		u.document = p.documentFor(s.hello.role)
	}
	for _, l := range loads {
		u.loads = append(u.loads, l)
	}
	for _, r := range pending {
		u.registrations = append(u.registrations, r)
	}
	if whole {
		u.whole, u.nodes = true, p.source.Nodes()
		u.gateways, u.peers = p.followers()
	}
	return u
}

// documentFor returns the document as a role needs it; nil when there is none.
// Routes and keys are most of it, and only gateways read them.
func (p *Publisher) documentFor(role Role) *serviceconfig.Document {
	d := p.source.Document()
	if d == nil || role == RoleGateway {
		return d
	}
	engines := d.ForEngines()
	return &engines
}

// followers counts the gateways and lists the stagers and caches that follow.
func (p *Publisher) followers() (gateways int, peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		switch s.hello.role {
		case RoleGateway:
			gateways++
		case RoleStager, RoleCache:
			self := s.hello.self
			peers = append(peers, NewPeer(self.Address(), self.Domain(), s.hello.service, s.hello.engine, s.hello.role == RoleCache))
		}
	}
	return gateways, peers
}
