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
	now      time.Duration
	waiting  []*modelRequest
	running  []*modelRequest
	finished int
	late     int
	started  int
}

type modelRequest struct {
	arrivedAt time.Duration
	prompt    int
	remaining int // tokens to write
}

// report is what the engine says at the beginning of a pass.
func (m *engineModel) report() Work {
	return Work{Running: len(m.running), Queued: max(len(m.waiting)-(testEngine().Slots()-len(m.running)), 0)}
}

// runPass plays one pass.
func (m *engineModel) runPass() {
	e := testEngine()
	admitted := min(e.Slots()-len(m.running), len(m.waiting))
	unread := 0
	for _, r := range m.waiting[:admitted] {
		unread += r.prompt
	}
	m.now += decodePassTime(e, len(m.running)) + e.PrefillTime(unread)
	var still []*modelRequest
	for _, r := range append(m.running, m.waiting[:admitted]...) {
		if r.remaining -= e.Stride(); r.remaining > 0 {
			still = append(still, r)
		} else {
			m.finished++
		}
	}
	for _, r := range m.waiting[:admitted] {
		m.started++
		if m.now-r.arrivedAt > objective {
			m.late++
		}
	}
	m.waiting = m.waiting[admitted:]
	m.running = still
}

// simulateEngine offers an engine requests at a rate for a minute, those that the book
// grants, and returns how many it began, and how many of these late.
func simulateEngine(perSecond float64, granted func(now time.Time, w Work, a Request) bool) (begun, late int) {
	random := rand.New(rand.NewPCG(7, 11))
	start := time.Unix(0, 0)
	m := &engineModel{}
	next := time.Duration(0)
	for m.now < time.Minute {
		before := m.report()
		until := m.now
		m.runPass()
		for ; next < m.now; next += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			if next < until {
				continue
			}
			prompt := 400 + random.IntN(1200)
			if granted(start.Add(next), before, NewRequest(prompt, objective, objective)) {
				m.waiting = append(m.waiting, &modelRequest{arrivedAt: next, prompt: prompt, remaining: 5 + random.IntN(190)})
			}
		}
	}
	return m.started, m.late
}

// A modelled engine of 12 places carries about 7.5 requests a second. With half as
// many more it has to begin nearly all that it takes in time, and to go on working
// at its capacity.
func TestModelledEngineUnderOverload(t *testing.T) {
	var b Controller
	begun, late := simulateEngine(11, func(now time.Time, w Work, a Request) bool {
		granted, _, _ := b.Decide(now, testEngine(), w, a)
		return granted
	})
	all, allLate := simulateEngine(11, func(_ time.Time, w Work, _ Request) bool { return w.Queued < 3 })
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
	var b Controller
	offered := 0
	begun, late := simulateEngine(4, func(now time.Time, w Work, a Request) bool {
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
