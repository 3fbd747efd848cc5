package reservation

import (
	"math/rand/v2"
	"testing"
	"time"
)

// engineModel plays an engine in virtual time: passes that read the prompts that
// have a place and write five tokens for each request that runs. What it reads it
// does not report, as the users' engines do.
type engineModel struct {
	now     time.Duration
	waiting []*modelRequest
	running []*modelRequest
	ended   int
	late    int
	begun   int
}

type modelRequest struct {
	came   time.Duration
	prompt int
	left   int // tokens to write
}

// report is what the engine says at the beginning of a pass.
func (m *engineModel) report() Work {
	return Work{Running: len(m.running), Queued: max(len(m.waiting)-(testEngine().Slots()-len(m.running)), 0)}
}

// pass plays one pass.
func (m *engineModel) pass() {
	e := testEngine()
	admitted := min(e.Slots()-len(m.running), len(m.waiting))
	unread := 0
	for _, r := range m.waiting[:admitted] {
		unread += r.prompt
	}
	m.now += passOf(e, len(m.running)) + e.Reading(unread)
	var still []*modelRequest
	for _, r := range append(m.running, m.waiting[:admitted]...) {
		if r.left -= e.Stride(); r.left > 0 {
			still = append(still, r)
		} else {
			m.ended++
		}
	}
	for _, r := range m.waiting[:admitted] {
		m.begun++
		if m.now-r.came > objective {
			m.late++
		}
	}
	m.waiting = m.waiting[admitted:]
	m.running = still
}

// playEngine offers an engine requests at a rate for a minute, those that the book
// grants, and returns how many it began, and how many of these late.
func playEngine(perSecond float64, granted func(now time.Time, w Work, a Ask) bool) (begun, late int) {
	random := rand.New(rand.NewPCG(7, 11))
	start := time.Unix(0, 0)
	m := &engineModel{}
	next := time.Duration(0)
	for m.now < time.Minute {
		before := m.report()
		until := m.now
		m.pass()
		for ; next < m.now; next += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			if next < until {
				continue
			}
			prompt := 400 + random.IntN(1200)
			if granted(start.Add(next), before, NewAsk(prompt, objective, objective)) {
				m.waiting = append(m.waiting, &modelRequest{came: next, prompt: prompt, left: 5 + random.IntN(190)})
			}
		}
	}
	return m.begun, m.late
}

// A modelled engine of 12 places carries about 7.5 requests a second. With half as
// many more it has to begin nearly all that it takes in time, and to go on working
// at its capacity.
func TestModelledEngineUnderOverload(t *testing.T) {
	var b Book
	begun, late := playEngine(11, func(now time.Time, w Work, a Ask) bool {
		granted, _, _ := b.Decide(now, testEngine(), w, a)
		return granted
	})
	all, allLate := playEngine(11, func(_ time.Time, w Work, _ Ask) bool { return w.Queued < 3 })
	t.Logf("with the book %d begun, %d late; while two wait at most, as reported, %d begun, %d late", begun, late, all, allLate)
	if late*5 > begun {
		t.Errorf("%d of %d requests began late", late, begun)
	}
	if begun*10 < all*9 {
		t.Errorf("%d requests begun where %d can be", begun, all)
	}
}

// Without overload nearly everything is granted and in time.
func TestModelledEngineAtUsualLoad(t *testing.T) {
	var b Book
	offered := 0
	begun, late := playEngine(4, func(now time.Time, w Work, a Ask) bool {
		offered++
		granted, _, _ := b.Decide(now, testEngine(), w, a)
		return granted
	})
	if late*20 > begun {
		t.Errorf("%d of %d requests began late", late, begun)
	}
	if begun*100 < offered*95 {
		t.Errorf("%d of %d requests granted", begun, offered)
	}
}
