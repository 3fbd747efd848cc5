// ================================================================
// Listening to the attempts under way: what each has heard and when, what is usual,
// and the looks that act on what silence.go finds. A look costs nothing while nothing
// is under way.
// ================================================================

package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// lookEvery is the time between looks: a fifth of the least silence.
	lookEvery = 25 * time.Millisecond
	// stoodStill is the time between two looks after which this process stood still
	// itself: what came meanwhile is not read yet.
	stoodStill = 4 * lookEvery
	// unknownQuiet is usualQuiet where it was not learned: twice the pass of an engine
	// that reads a prompt.
	unknownQuiet = 200 * time.Millisecond
	// mostEnded bounds the attempts that are remembered as evidence.
	mostEnded = 1024
)

// silences are the attempts under way and what is usual. The zero value has none.
type silences struct {
	mu      sync.Mutex
	under   map[*listening]bool
	ended   []hearing
	usuals  map[usualKey]*usual
	flowing map[string]int // streams whose events come, by address
	quiet   usual          // times in which nothing came from anywhere while streams flowed
	heard   time.Time      // the last event of any stream
	// everywhere is since when connections everywhere are silent, found at foundAt.
	everywhere, foundAt time.Time
	looking             bool
	looked              time.Time // the last look, or the start
	resumed             time.Time // when this process last went on after it stood still
}

// usualKey says what a usual time is of.
type usualKey struct {
	service string
	what    usualTime
}

// usualTime is a kind of time that is learned.
type usualTime string

const (
	usualPause    usualTime = "pause"    // between two events
	usualWait     usualTime = "wait"     // for the first event, or for an answer
	usualLateness usualTime = "lateness" // of a first event after its forecast
	usualRun      usualTime = "run"      // of a stream, for a second of what it should take
)

// listening is one attempt under way.
type listening struct {
	silences *silences
	exchange *exchange
	made     time.Time
	sent     time.Time
	breakOff func() // nil where the request may not run again

	// found is how its connection was found to be silent.
	found atomic.Pointer[silence]

	mu    sync.Mutex
	heard time.Time // the last bytes, or the sending
	due   time.Duration
	spoke bool
	flows bool
}

// silence is how a connection was found to be silent.
type silence struct {
	evidence    evidence
	lasted, due time.Duration // how long it lasted, and how long is usual
}

func (s silence) String() string {
	return fmt.Sprintf("its connection was silent for %d ms, usual are %d; evidence: %s", s.lasted.Milliseconds(), s.due.Milliseconds(), s.evidence)
}

// listen begins to listen to an attempt that is about to be sent.
func (g *Gateway) listen(x *exchange, breakOff func()) *listening {
	now := time.Now()
	l := &listening{silences: &g.silences, exchange: x, made: x.conn.Made(), sent: now, heard: now, breakOff: breakOff}
	g.silences.begin(l, func() { g.lookForSilence(time.Now()) })
	return l
}

// hear notes that bytes came.
func (l *listening) hear(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard, l.spoke = now, true
}

// event notes that an event of a stream came; the first one ends the wait.
func (l *listening) event(now time.Time) {
	l.mu.Lock()
	before, first := l.heard, !l.flows
	l.heard, l.spoke, l.flows = now, true, true
	l.mu.Unlock()
	if first {
		l.waited(now)
	}
	l.setDue(l.silences.event(l, now, before, first))
}

// answered notes that an answer that is no stream has begun. How long the rest of it
// takes is not known.
func (l *listening) answered(now time.Time) {
	l.waited(now)
	l.setDue(0)
}

func (l *listening) setDue(due time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = due
}

// ranWhenLost tells whether the backend server was at work on the attempt, and goes on with
// it where it does not hear of the silence.
func (l *listening) ranWhenLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flows
}

// waited learns how long the attempt waited.
func (l *listening) waited(now time.Time) {
	q := l.exchange.request
	l.silences.learn(q.waitKey(), now, now.Sub(l.sent)-q.forecast)
}

// waitKey says what the wait of a request is compared with.
func (q *request) waitKey() usualKey {
	if q.forecast > 0 {
		return usualKey{q.service.Name(), usualLateness}
	}
	return usualKey{q.service.Name(), usualWait}
}

// hearing returns what was heard so far.
func (l *listening) hearing() hearing {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.exchange.backend
	return hearing{
		address: b.address, made: l.made, since: l.heard, due: l.due, spoke: l.spoke, flows: l.flows,
		engine: l.exchange.request.service.Engine().Slots() > 0, reached: b.reached.quickly(), backend: b,
	}
}

// ----------------------------------------------------------------
// All of them

// begin takes an attempt in, and has look called from now on until all have ended.
func (s *silences) begin(l *listening, look func()) {
	q := l.exchange.request
	s.mu.Lock()
	defer s.mu.Unlock()
	l.due = s.usual(q.waitKey()).due(l.sent, q.forecast, q.route.Objective())
	if s.under == nil {
		s.under = map[*listening]bool{}
	}
	s.under[l] = true
	if !s.looking {
		s.looking, s.looked = true, time.Now()
		time.AfterFunc(lookEvery, look)
	}
}

// end takes an attempt out; it counts as evidence for a while.
func (s *silences) end(l *listening) {
	h := l.hearing()
	h.over = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.under, l)
	if address := h.address; h.flows {
		s.flowing[address]--
		if s.flowing[address] == 0 {
			delete(s.flowing, address)
		}
	}
	s.ended = append(s.ended, h)
	if surplus := len(s.ended) - mostEnded; surplus > 0 {
		s.ended = s.ended[surplus:]
	}
}

// event learns from an event of a stream, and returns for how long silence is usual
// from then on.
func (s *silences) event(l *listening, now, before time.Time, first bool) time.Duration {
	q, address := l.exchange.request, l.exchange.backend.address
	s.mu.Lock()
	defer s.mu.Unlock()
	pauses := s.usual(usualKey{q.service.Name(), usualPause})
	if first {
		if s.flowing == nil {
			s.flowing = map[string]int{}
		}
		s.flowing[address]++
	} else {
		pauses.saw(now, now.Sub(before))
		if len(s.flowing) >= fewestAddresses && !l.made.After(s.heard) {
			// Over a connection made since, it says nothing of those before.
			s.quiet.saw(now, now.Sub(s.heard))
		}
	}
	s.heard = now
	return pauses.due(now, 0, q.route.GapObjective())
}

// learn learns from a time.
func (s *silences) learn(key usualKey, now time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usual(key).saw(now, took)
}

// due returns what is out of the usual for a kind of time; 0 where that is not known.
func (s *silences) due(key usualKey, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usual(key).due(now, 0, 0)
}

// due returns for how long silence is usual, after a forecast where there is one: a
// quarter longer than the longest of late. otherwise is the time where nothing was
// learned; 0 has none judged.
func (u *usual) due(now time.Time, forecast, otherwise time.Duration) time.Duration {
	longest, known := u.longest(now)
	if !known {
		if otherwise == 0 {
			return 0
		}
		return max(forecast+otherwise, leastSilence)
	}
	return max(forecast+longest+longest/4, leastSilence)
}

func (s *silences) usual(key usualKey) *usual {
	u := s.usuals[key]
	if u == nil {
		if s.usuals == nil {
			s.usuals = map[usualKey]*usual{}
		}
		u = &usual{}
		s.usuals[key] = u
	}
	return u
}

// hearings returns what was heard of all attempts under way, then of those that ended
// lately. What was silent while this process stood still counts as silent from then on.
func (s *silences) hearings(now time.Time) (under []*listening, all []hearing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.looked) > stoodStill {
		s.resumed = now
	}
	s.looked = now
	for len(s.ended) > 0 && now.Sub(s.ended[0].over) > evidenceLife {
		s.ended = s.ended[1:]
	}
	for l := range s.under {
		h := l.hearing()
		if h.since.Before(s.resumed) {
			h.since = s.resumed
		}
		under, all = append(under, l), append(all, h)
	}
	for _, h := range s.ended {
		h.reached = h.backend.reached.quickly()
		all = append(all, h)
	}
	return under, all
}

// lookAgain has look called once more while anything is under way. It comes after a look
// and not beside it, so that none overtakes the one before.
func (s *silences) lookAgain(look func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.looking = len(s.under) > 0; s.looking {
		time.AfterFunc(lookEvery, look)
	}
}

// silentEverywhere tells since when connections everywhere are silent, and whether that
// is new; zero where they are not. suspected is since when they may be: dials have to
// tell.
func (s *silences) silentEverywhere(now time.Time, all []hearing) (since time.Time, isNew bool, suspected time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := silentEverywhere(now, s.quietOfLate(now), all); at.After(s.foundAt) {
		if isReached(now, at, all) {
			s.everywhere, s.foundAt = at, now
			return at, true, time.Time{}
		}
		suspected = at
	}
	if now.Sub(s.foundAt) > evidenceLife {
		return time.Time{}, false, suspected
	}
	return s.everywhere, false, suspected
}

// quietOfLate returns the longest time of late in which nothing came, for whoever holds
// the lock.
func (s *silences) quietOfLate(now time.Time) time.Duration {
	if longest, known := s.quiet.longest(now); known {
		return longest
	}
	return unknownQuiet
}

// usualQuiet is quietOfLate for whoever does not hold it.
func (s *silences) usualQuiet(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quietOfLate(now)
}

// ----------------------------------------------------------------
// Looks

// lookForSilence looks for silent connections and gives them up.
func (g *Gateway) lookForSilence(now time.Time) {
	defer g.silences.lookAgain(func() { g.lookForSilence(time.Now()) })
	under, all := g.silences.hearings(now)
	everywhere, isNew, suspected := g.silences.silentEverywhere(now, all)
	if !suspected.IsZero() {
		g.dialSilent(now, suspected, all)
	}
	if isNew {
		_ = level.Warn(g.process.Logger).Log("msg", "connections everywhere are silent", "silent_ms", now.Sub(everywhere).Milliseconds(),
			"usual_quiet_ms", g.silences.usualQuiet(now).Milliseconds(), "attempts", len(under))
		g.backends.each(func(b *backend, _ string) { g.distrust(b, everywhere, now, evidenceMany) })
	}
	found := judge(now, everywhere, all)
	var waits, flows []func()
	for _, f := range found {
		l, h := under[f.index], all[f.index]
		b := l.exchange.backend
		if !h.isOneOf(everywhere) {
			g.distrust(b, h.since.Add(leastSilence), now, f.evidence)
		}
		if f.dial && b.reached.mayDial(now, everywhere) {
			g.doubt(b)
		}
		if f.evidence == evidenceSuspected || l.breakOff == nil || l.found.Load() != nil {
			continue
		}
		if h.flows && !l.exchange.mayBreakOff() {
			continue
		}
		l.found.Store(&silence{f.evidence, h.silent(now), h.due})
		g.metrics.distrusted.WithLabelValues(string(f.evidence)).Inc()
		if h.flows {
			flows = append(flows, l.breakOff)
		} else {
			waits = append(waits, l.breakOff)
		}
	}
	// Repeats have a budget: those that can still be in time come first.
	for _, breakOff := range append(waits, flows...) {
		breakOff()
	}
}

// dialSilent dials the backend servers whose connections may be silent since a moment.
func (g *Gateway) dialSilent(now, since time.Time, all []hearing) {
	for _, h := range all {
		if h.tellsOf(now, since) && h.backend.reached.mayDial(now, since) {
			g.doubt(h.backend)
		}
	}
}

// distrust closes the resting connections to a backend server that nothing has come on
// since some moment.
func (g *Gateway) distrust(b *backend, since, now time.Time, e evidence) {
	closed := b.pool.Distrust(since)
	if closed == 0 {
		return
	}
	g.metrics.distrusted.WithLabelValues(string(e)).Add(float64(closed))
	_ = level.Info(g.process.Logger).Log("msg", "resting connections given up as silent", "backend", b.word().Incarnation(),
		"address", b.address, "closed", closed, "silent_ms", now.Sub(since).Milliseconds(), "evidence", string(e))
}

// ----------------------------------------------------------------
// Dials that were answered

// reached is when dials of a backend server were answered. The zero value is never.
type reached struct {
	at    moment // of the last one's beginning
	quick moment // the same of one that was answered at once
}

func (b *backend) sawReached(dialed time.Time, took time.Duration) {
	b.reached.at.set(dialed)
	if took <= quickDial {
		b.reached.quick.set(dialed)
	}
}

// quickly returns when a dial began that was answered at once.
func (r *reached) quickly() time.Time { return r.quick.time() }

// mayDial tells whether no dial was answered since some moment, or none lately.
func (r *reached) mayDial(now, since time.Time) bool {
	at := r.at.time()
	return at.Before(since) || now.Sub(at) > dialAgain
}
