package gateway

import (
	"bufio"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Seen: a request waited 1.5 s at an engine and began on a version whose time was over;
// its gateway had not taken it back, and passed the answer on.
//
// How: the gateway sent it 1.4 s before that time ended, and what it knew then of the
// versions was all that counted afterwards. Cause: the moment at which a request has to
// be taken back was worked out once, in the gateway alone. A version, or an earlier naming
// of one, that is heard of later did not move it, and the engine never learned of it.
//
// Proved by the tests here: each fails where that moment is worked out once, or where the
// request does not carry it.

// lapsing is a gateway before two engines, of which the first is preferred and serves
// version 1, and the second version 2.
func newExpiringFixture(t *testing.T, first, second responseScript) *fixture {
	t.Helper()
	return newExpiringFixtureOf(t, newFakeBackend(t, "i-old", first), newFakeBackend(t, "i-young", second))
}

// newExpiringFixtureOf is newLapsing before two stand-ins.
func newExpiringFixtureOf(t *testing.T, old, young *fakeBackend) *fixture {
	t.Helper()
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Raise(engineDocument(t))
	f.registerVersion(old, 1)
	f.registerVersion(young, 2)
	for _, b := range f.gateway.backends.forService("menu") {
		if b.latestRegistration().Incarnation() == young.incarnation {
			b.startRequest(time.Second, nil)
		}
	}
	return f
}

// engineDocument has one route to engines, whose streams may be resumed.
func engineDocument(t *testing.T) serviceconfig.Document {
	t.Helper()
	return documentOf(t, testEngine(), true)
}

// documentOf has one route to engines of a kind.
func documentOf(t *testing.T, e serviceconfig.Engine, resumable bool) serviceconfig.Document {
	t.Helper()
	route := serviceconfig.NewRoute("r", "menus.example", "/draft/", serviceconfig.Stream, time.Minute, 400*time.Millisecond, 400*time.Millisecond, 1,
		[]serviceconfig.Target{serviceconfig.NewTarget("menu", 1)}, 2, false, resumable)
	d := serviceconfig.NewDocument(2, []serviceconfig.Route{route},
		[]serviceconfig.Service{serviceconfig.NewService("menu", "", 0, "", e, false)},
		[]serviceconfig.Organisation{serviceconfig.NewOrganisation("larder", []string{"k1"}, 0, false)}, serviceconfig.Limits{})
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	return d
}

// registerVersion makes an engine known by a heartbeat that tells what it serves.
func (f *fixture) registerVersion(s *fakeBackend, version uint64) {
	f.gateway.backends.applyRegistration(registry.NewRegistration(s.incarnation, "menu", s.listener.Addr().String(), "hall-a", "v1", 16, registry.Ready, 0,
		[]registry.Holding{registry.NewHolding("menu", version, 0, 1)}, 1, 0))
}

// setNamedVersion has the gateway know that version 2 was named, when so much of its time is
// left; it is not woken.
func (f *fixture) setNamedVersion(left time.Duration) {
	f.gateway.versions.Add(f.namedUpdate(left).Versions(), time.Now())
}

// namedUpdate is a control node's word of it.
func (f *fixture) namedUpdate(left time.Duration) feed.Update {
	named := []feed.NamedVersion{feed.NewNamedVersion("menu", 2, f.gateway.settings.WeightsWithin()-left)}
	return feed.NewUpdate(0, nil, named, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil)
}

func (f *fixture) draftRequest(t *testing.T) *http.Request {
	r := f.request(t, http.MethodPost, "a", "draft")
	r.Header.Set(headerModel, "menu")
	r.Header.Set(headerDeadline, "60000")
	return r
}

// expiredAttempts counts the attempts that were taken back for their version.
func (f *fixture) expiredAttempts(t *testing.T) float64 { return f.countEnds(t, attemptVersionExpired) }

// silentUntilClosed is an engine that says nothing until its connection breaks.
func silentUntilClosed(came chan<- *http.Request) responseScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		came <- r
		for {
			if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil || w.Flush() != nil {
				return false
			}
			<-time.After(100 * time.Millisecond)
		}
	}
}

func completeStream(w *bufio.Writer, r *http.Request) bool {
	writeEvents(w, r, 1, 3)
	_, _ = w.WriteString("0\r\n\r\n")
	return true
}

func TestVersionReceivedWhileRequestWaitsCancelsIt(t *testing.T) {
	cases := map[string]func(f *fixture){
		"named and heard of after the sending": func(*fixture) {},
		"heard of too young before the sending": func(f *fixture) {
			f.setNamedVersion(f.gateway.settings.WeightsWithin())
		},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			came := make(chan *http.Request, 1)
			f := newExpiringFixture(t, silentUntilClosed(came), completeStream)
			before(f)
			go func() {
				<-came
				f.gateway.applyUpdate("10.0.0.9:7700", f.namedUpdate(defaultCancelMargin/2))
			}()
			status, _, body, err := f.do(t, f.draftRequest(t))
			if status != http.StatusOK || body != events(1, 3) || err != nil {
				t.Fatalf("%d %q %v", status, body, err)
			}
			if f.expiredAttempts(t) != 1 {
				t.Fatal("the request was not taken back for its version")
			}
		})
	}
}

// An engine that has gone on to the next version while the request waits serves it, and
// one of which nothing is known now counts as it did when the request was sent.
func TestExpiryUsesCurrentKnowledge(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	q := &request{service: f.service(t), model: "menu"}
	old := f.backend("i-old")
	f.setNamedVersion(time.Second)
	first := f.gateway.versionExpiryOf(q, old, 1)
	if !first.expires() {
		t.Fatal("version 1 does not lapse")
	}
	f.setNamedVersion(time.Second / 2)
	if second := f.gateway.versionExpiryOf(q, old, 1); !second.at.Before(first.at) {
		t.Fatalf("an earlier naming did not move the lapse from %s to before %s", second.at, first.at)
	}
	old.recordLoadReport(feed.NewLoad("menu", old.address, "menu", 0, 1, 0, 1, true, false))
	if third := f.gateway.versionExpiryOf(q, old, 1); third.served != 1 || !third.expires() {
		t.Fatalf("an engine of which nothing is known: %+v", third)
	}
	f.setNamedVersion(-time.Second)
	if late := f.gateway.versionExpiryOf(q, old, 1); !late.mustCancel() {
		t.Fatalf("the same after its time: %+v", late)
	}
	old.recordLoadReport(feed.NewLoad("menu", old.address, "menu", 2, 1, 0, 1, false, false))
	if fourth := f.gateway.versionExpiryOf(q, old, 1); fourth.expires() {
		t.Fatalf("the newest version lapses at %s", fourth.at)
	}
}

func (f *fixture) backend(incarnation string) *backend {
	for _, b := range f.gateway.backends.forService("menu") {
		if b.latestRegistration().Incarnation() == incarnation {
			return b
		}
	}
	return nil
}

func (f *fixture) service(t *testing.T) *serviceconfig.Service {
	s, found := f.gateway.index.Load().Service("menu")
	if !found {
		t.Fatal("no service")
	}
	return s
}

// A request that would still run when the version's time ends goes to an engine that
// serves the next one, however short it would wait.
func TestLongRequestNeedsNextVersion(t *testing.T) {
	f := newExpiringFixture(t, completeStream, completeStream)
	f.setNamedVersion(minVersionMargin + time.Second)
	if v := f.gateway.minUsableVersion("menu", 0, 0, defaultCancelMargin); v != 0 {
		t.Fatalf("a short request needs version %d", v)
	}
	if v := f.gateway.minUsableVersion("menu", 0, 2*time.Second, defaultCancelMargin); v != 2 {
		t.Fatalf("a request of 2 s may go where version %d serves for 1.3 s yet", v)
	}
	// What would be taken back at once is not sent.
	f.setNamedVersion(defaultCancelMargin - time.Millisecond)
	if v := f.gateway.minUsableVersion("menu", 0, 0, defaultCancelMargin); v != 2 {
		t.Fatalf("a request may go to version %d within the time in which it is taken back", v)
	}
}

// Where no engine of the next version has a place, a request may run on past the end; it
// must have begun by then, and its caller's deadline stays its own.
func TestLongRequestRunsPastExpiryWithoutAlternative(t *testing.T) {
	came := make(chan *http.Request, 1)
	f := newExpiringFixture(t, func(w *bufio.Writer, r *http.Request) bool {
		came <- r
		return completeStream(w, r)
	}, closeWithoutResponse)
	f.gateway.backends.markDeparted("i-young", 0)
	f.setNamedVersion(defaultCancelMargin + 50*time.Millisecond)
	if status, _, _, _ := f.do(t, f.draftRequest(t)); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if told, _ := strconv.Atoi((<-came).Header.Get(headerDeadline)); told < 10_000 {
		t.Fatalf("the engine is to end it after %d ms", told)
	}
}

// A request that names no model uses the only one that there is.
func TestRequestWithoutModelUsesOnlyModel(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, completeStream)
	f.setNamedVersion(-time.Second)
	r := f.draftRequest(t)
	r.Header.Del(headerModel)
	if status, _, body, err := f.do(t, r); status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
}

// The watchdog looks at the moment itself, takes back then and not before, and leaves a
// stream alone that has begun.
func TestWatchdogChecksAtVersionExpiry(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	q := &request{ctx: t.Context(), service: f.service(t), model: "menu"}
	old := f.backend("i-old")
	conn, err := old.pool.Get(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	w := &watchdog{exchange: &exchange{gateway: f.gateway, request: q, backend: old, conn: &attemptConn{Connection: conn}}, servedVersion: 1}
	if pause := w.untilNextCheck(); pause != watchdogInterval {
		t.Fatalf("next look after %s where nothing lapses", pause)
	}
	f.setNamedVersion(defaultCancelMargin + watchdogInterval/2)
	if pause := w.untilNextCheck(); pause > watchdogInterval/2 || w.cancelExpired() {
		t.Fatalf("next look after %s, taken back %v, %s before", pause, w.lapsed.Load(), watchdogInterval/2)
	}
	f.setNamedVersion(defaultCancelMargin)
	w.startStreaming()
	if w.cancelExpired() {
		t.Fatal("a stream that has begun was taken back")
	}
	w.streaming.Store(false)
	if !w.cancelExpired() || !w.lapsed.Load() {
		t.Fatal("not taken back when the version lapses")
	}
}

// Whoever waits looks again as soon as a version, or an earlier naming of one, is heard of:
// by the next look it may be too late.
func TestVersionUpdateTriggersAllWatchdogs(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	looked := make(chan bool)
	f.gateway.watchdogs.add(&watchdog{timer: time.AfterFunc(time.Hour, func() { looked <- true })})
	for _, left := range []time.Duration{time.Minute, time.Second} {
		f.gateway.applyUpdate("10.0.0.9:7700", f.namedUpdate(left))
		<-looked
	}
}

// No look touches the connection once the attempt is over: another request may have it.
func TestStoppedWatchdogLeavesConnection(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	route := f.gateway.index.Load().Document().Routes()[0]
	q := &request{ctx: t.Context(), service: f.service(t), model: "menu", route: &route}
	w := newWatchdog(&exchange{gateway: f.gateway, request: q, backend: f.backend("i-old")})
	w.stop()
	f.setNamedVersion(0)
	f.gateway.watchdogs.checkNow()
	w.check() // would break a connection that is not there
}

// A request that may run once can't be taken back, so its engine has to drop it.
func TestNonIdempotentRequestCarriesVersionDeadline(t *testing.T) {
	came := make(chan *http.Request, 1)
	f := newExpiringFixture(t, func(w *bufio.Writer, r *http.Request) bool {
		came <- r
		return completeStream(w, r)
	}, closeWithoutResponse)
	f.disableResume(t)
	const left = 4 * time.Second
	f.setNamedVersion(left)
	if status, _, _, _ := f.do(t, f.draftRequest(t)); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	told, err := strconv.Atoi((<-came).Header.Get(headerDeadline))
	if err != nil || time.Duration(told)*time.Millisecond > left-versionDeadlineMargin {
		t.Fatalf("the engine may begin it for %d ms, %v; its version has %s left", told, err, left)
	}
}

// disableResume has the route's streams not be resumed.
func (f *fixture) disableResume(t *testing.T) {
	t.Helper()
	d := documentOf(t, testEngine(), false)
	f.gateway.index.Raise(serviceconfig.NewDocument(d.Number()+1, d.Routes(), d.Services(), d.Organisations(), d.Limits()))
}

// A stream that has begun runs on past the end of its version at the server that has it, however
// much longer it takes than was thought: a deadline set to that end broke it off there.
func TestStreamRunsPastVersionExpiry(t *testing.T) {
	const left = 1600 * time.Millisecond
	old := newFakeBackend(t, "i-old", endsAtDeadline(left+watchdogInterval, 1, 3))
	f := newExpiringFixtureOf(t, old, newFakeBackend(t, "i-young", completeStream))
	f.setNamedVersion(left)
	status, _, body, err := f.do(t, f.draftRequest(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if f.expiredAttempts(t) > 0 || f.interruptedStreams(t, interruptDeadline) > 0 {
		t.Error("it was interrupted at the end of the version")
	}
}

// interruptedStreams counts the streams under way that a guard ended.
func (f *fixture) interruptedStreams(t *testing.T, why interruption) float64 {
	t.Helper()
	return counterValue(t, f.gateway.metrics.interrupted.WithLabelValues(string(why)))
}

// counterValue returns what a counter counts.
func counterValue(t *testing.T, c prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

// A break lies behind the chunks on its link, so a request that waits there is taken back sooner,
// and not sent within that time.
func TestRequestBehindTransfersIsCanceledEarlier(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	q := &request{service: f.service(t), model: "menu"}
	old := f.backend("i-old")
	const left = (defaultCancelMargin + transferCancelMargin) / 2
	f.setNamedVersion(left)
	report := func(exchanging bool) {
		old.recordLoadReport(feed.NewLoad("menu", old.address, "menu", 1, 1, 0, 1, false, exchanging))
	}
	wants := requirements{service: "menu", model: "menu", layers: 1, minVersion: func(_, back time.Duration) uint64 {
		return f.gateway.minUsableVersion("menu", 0, 0, back)
	}}
	for _, c := range []struct {
		name   string
		begin  func()
		sooner bool
	}{
		{"free", func() { report(false) }, false},
		{"chunks", func() { report(true) }, true},
		{"free again", func() { report(false) }, false},
		{"chunks again, reported long ago", func() { report(true); old.ageLoadReport(2 * reportTTL) }, true},
	} {
		c.begin()
		if over := f.gateway.versionExpiryOf(q, old, 1).mustCancel(); over != c.sooner {
			t.Errorf("%s: taken back %s before the end: %t", c.name, left, over)
		}
		if sent := wants.allows(old, time.Now()); sent == c.sooner {
			t.Errorf("%s: sent %s before the end: %t", c.name, left, sent)
		}
	}
}

// Seen: streams under way ended without their last events, while engines that were short
// of processor time served the version before. How: each carried the end of that version
// as its deadline, since it should have been over by then, and its engine broke it off
// there. Cause: how long a request runs was taken from the configuration's figures alone.
// A request may run on past that end; only to begin late is not allowed.
func TestRecentLongRunsKeepCallerDeadline(t *testing.T) {
	came := make(chan *http.Request, 1)
	f := newExpiringFixture(t, func(w *bufio.Writer, r *http.Request) bool {
		came <- r
		return completeStream(w, r)
	}, completeStream)
	q := &request{service: f.service(t), model: "menu"}
	q.estimateWork()
	left := 4 * q.maxRun
	f.setNamedVersion(left)
	for range minSamples {
		q.recordRunTime(&f.gateway.silenceDetector, time.Now(), 5*q.maxRun)
	}
	if status, _, _, err := f.do(t, f.draftRequest(t)); status != http.StatusOK || err != nil {
		t.Fatalf("%d %v", status, err)
	}
	if told, _ := strconv.Atoi((<-came).Header.Get(headerDeadline)); time.Duration(told)*time.Millisecond < 2*left {
		t.Errorf("it carries %d ms as its deadline; the version has %s left", told, left)
	}
	f.disableResume(t)
	if status, _, _, err := f.do(t, f.draftRequest(t)); status != http.StatusOK || err != nil {
		t.Fatalf("%d %v", status, err)
	}
	if told, _ := strconv.Atoi((<-came).Header.Get(headerDeadline)); time.Duration(told)*time.Millisecond < 2*left {
		t.Errorf("one that may run once carries %d ms as its deadline; the version has %s left", told, left)
	}
}
