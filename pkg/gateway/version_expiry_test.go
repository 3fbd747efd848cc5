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

// These tests guard against requests that begin on an expired version. A gateway that computes
// the time to cancel a waiting request only once, when it sends the request, misses a version, or
// an earlier age of one, that it receives later. The engine then begins the request after the
// expiry, unless the request carries the expiry as its deadline.

// newExpiringFixture returns a gateway with two engines. The first serves version 1 and is
// preferred; the second serves version 2.
func newExpiringFixture(t *testing.T, first, second responseScript) *fixture {
	t.Helper()
	return newExpiringFixtureOf(t, newFakeBackend(t, "i-old", first), newFakeBackend(t, "i-young", second))
}

// newExpiringFixtureOf is newExpiringFixture with two given fake servers.
func newExpiringFixtureOf(t *testing.T, old, next *fakeBackend) *fixture {
	t.Helper()
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Advance(engineDocument(t))
	f.registerVersion(old, 1)
	f.registerVersion(next, 2)
	for _, b := range f.gateway.backends.forService("menu") {
		if b.latestRegistration().Incarnation() == next.incarnation {
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

// documentOf has one route to engines of the given kind.
func documentOf(t *testing.T, e serviceconfig.Engine, resumable bool) serviceconfig.Document {
	t.Helper()
	return documentWithAttempts(t, e, resumable, 2)
}

// documentWithAttempts is documentOf with the most servers that a request may be sent to.
func documentWithAttempts(t *testing.T, e serviceconfig.Engine, resumable bool, attempts int) serviceconfig.Document {
	t.Helper()
	route := serviceconfig.NewRoute("r", "menus.example", "/draft/", serviceconfig.Stream, time.Minute, 400*time.Millisecond, 400*time.Millisecond, 1,
		[]serviceconfig.Target{serviceconfig.NewTarget("menu", 1)}, attempts, false, resumable, nil)
	d := serviceconfig.NewDocument(uint64(attempts), []serviceconfig.Route{route},
		[]serviceconfig.Service{serviceconfig.NewService("menu", "", 0, "", e, false, 0)},
		[]serviceconfig.Organisation{serviceconfig.NewOrganisation("larder", []string{"k1"}, 0, false, nil)}, serviceconfig.Limits{})
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	return d
}

// registerVersion registers an engine with the version that it serves.
func (f *fixture) registerVersion(s *fakeBackend, version uint64) {
	f.gateway.backends.applyRegistration(registry.NewRegistration(s.incarnation, "menu", s.listener.Addr().String(), "hall-a", "v1", 16, registry.Ready, 0,
		[]registry.Holding{registry.NewHolding("menu", version, 0, 1)}, 1, 0))
}

// setNamedVersion records that version 2 was named and that version 1 expires after left, without
// triggering the watchdogs.
func (f *fixture) setNamedVersion(left time.Duration) {
	f.gateway.versions.Add(f.namedUpdate(left).NamedVersions(), time.Now())
}

// namedUpdate returns an update from a control node with the same content.
func (f *fixture) namedUpdate(left time.Duration) feed.Update {
	named := []feed.NamedVersion{feed.NewNamedVersion("menu", 2, f.gateway.settings.RolloutLimit()-left)}
	return feed.NewUpdate(0, nil, named, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil, nil)
}

func (f *fixture) draftRequest(t *testing.T) *http.Request {
	r := f.request(t, http.MethodPost, "a", "draft")
	r.Header.Set(headerModel, "menu")
	r.Header.Set(headerDeadline, "60000")
	return r
}

// expiredAttempts counts the attempts that were canceled because their version expired.
func (f *fixture) expiredAttempts(t *testing.T) float64 { return f.countEnds(t, attemptVersionExpired) }

// silentUntilClosed is an engine that sends no answer until its connection closes.
func silentUntilClosed(received chan<- *http.Request) responseScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		received <- r
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
		"named after the request was sent": func(*fixture) {},
		"received with too low an age before the request was sent": func(f *fixture) {
			f.setNamedVersion(f.gateway.settings.RolloutLimit())
		},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			received := make(chan *http.Request, 1)
			f := newExpiringFixture(t, silentUntilClosed(received), completeStream)
			before(f)
			go func() {
				<-received
				f.gateway.applyUpdate("10.0.0.9:7700", f.namedUpdate(defaultCancelMargin/2))
			}()
			status, _, body, err := f.do(t, f.draftRequest(t))
			if status != http.StatusOK || body != events(1, 3) || err != nil {
				t.Fatalf("%d %q %v", status, body, err)
			}
			if f.expiredAttempts(t) != 1 {
				t.Fatal("the request was not canceled for its version")
			}
		})
	}
}

// An engine that switches to the next version while the request waits serves it; one whose
// version is unknown now is treated by its version at the time of sending.
func TestExpiryUsesCurrentKnowledge(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	q := &request{service: f.service(t), model: "menu"}
	old := f.backend("i-old")
	f.setNamedVersion(time.Second)
	first := f.gateway.versionExpiryOf(q, old, 1)
	if !first.expires() {
		t.Fatal("version 1 does not expire")
	}
	f.setNamedVersion(time.Second / 2)
	if second := f.gateway.versionExpiryOf(q, old, 1); !second.at.Before(first.at) {
		t.Fatalf("a higher age did not move the expiry; it is %s and was %s", second.at, first.at)
	}
	old.recordLoadReport(feed.NewLoad("menu", old.address, "menu", 0, 1, 0, 1, true, false))
	if third := f.gateway.versionExpiryOf(q, old, 1); third.served != 1 || !third.expires() {
		t.Fatalf("an engine whose version is unknown: %+v", third)
	}
	f.setNamedVersion(-time.Second)
	if late := f.gateway.versionExpiryOf(q, old, 1); !late.mustCancel() {
		t.Fatalf("the same after the expiry: %+v", late)
	}
	old.recordLoadReport(feed.NewLoad("menu", old.address, "menu", 2, 1, 0, 1, false, false))
	if fourth := f.gateway.versionExpiryOf(q, old, 1); fourth.expires() {
		t.Fatalf("the newest version expires at %s", fourth.at)
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

// A request that would still run when the version expires needs an engine with the next version,
// even if it would wait only briefly.
func TestLongRequestNeedsNextVersion(t *testing.T) {
	f := newExpiringFixture(t, completeStream, completeStream)
	f.setNamedVersion(minVersionMargin + time.Second)
	if v := f.gateway.minUsableVersion("menu", 0, 0, defaultCancelMargin); v != 0 {
		t.Fatalf("a short request needs version %d", v)
	}
	if v := f.gateway.minUsableVersion("menu", 0, 2*time.Second, defaultCancelMargin); v != 2 {
		t.Fatalf("a request of 2 s may use version %d, which expires in 1.3 s", v)
	}
	// A request that would be canceled immediately is not sent.
	f.setNamedVersion(defaultCancelMargin - time.Millisecond)
	if v := f.gateway.minUsableVersion("menu", 0, 0, defaultCancelMargin); v != 2 {
		t.Fatalf("a request may use version %d within the cancel margin", v)
	}
}

// If no engine of the next version is available, a request may run past the expiry. It must begin
// before that, and it keeps the deadline of its caller.
func TestLongRequestRunsPastExpiryWithoutAlternative(t *testing.T) {
	received := make(chan *http.Request, 1)
	f := newExpiringFixture(t, func(w *bufio.Writer, r *http.Request) bool {
		received <- r
		return completeStream(w, r)
	}, closeWithoutResponse)
	f.gateway.backends.markDeparted("i-young", 0)
	f.setNamedVersion(defaultCancelMargin + 50*time.Millisecond)
	if status, _, _, _ := f.do(t, f.draftRequest(t)); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if deadline, _ := strconv.Atoi((<-received).Header.Get(headerDeadline)); deadline < 10_000 {
		t.Fatalf("the request carries a deadline of %d ms", deadline)
	}
}

// A request without a model name uses the only model.
func TestRequestWithoutModelUsesOnlyModel(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, completeStream)
	f.setNamedVersion(-time.Second)
	r := f.draftRequest(t)
	r.Header.Del(headerModel)
	if status, _, body, err := f.do(t, r); status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
}

// The watchdog checks exactly when the version expires, cancels a waiting request then and not
// earlier, and does not cancel a started stream.
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
		t.Fatalf("next check after %s although no version expires", pause)
	}
	f.setNamedVersion(defaultCancelMargin + watchdogInterval/2)
	if pause := w.untilNextCheck(); pause > watchdogInterval/2 || w.cancelExpired() {
		t.Fatalf("next check after %s, canceled %v, %s before", pause, w.versionExpired.Load(), watchdogInterval/2)
	}
	f.setNamedVersion(defaultCancelMargin)
	w.startStreaming()
	if w.cancelExpired() {
		t.Fatal("a started stream was canceled")
	}
	w.streaming.Store(false)
	if !w.cancelExpired() || !w.versionExpired.Load() {
		t.Fatal("not canceled when the version expires")
	}
}

// A version update triggers all watchdogs, since their next regular check may come after the
// expiry.
func TestVersionUpdateTriggersAllWatchdogs(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	checked := make(chan bool)
	f.gateway.watchdogs.add(&watchdog{timer: time.AfterFunc(time.Hour, func() { checked <- true })})
	for _, left := range []time.Duration{time.Minute, time.Second} {
		f.gateway.applyUpdate("10.0.0.9:7700", f.namedUpdate(left))
		<-checked
	}
}

// A check must not touch the connection after the attempt ended: another request may use it.
func TestStoppedWatchdogLeavesConnection(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	route := f.gateway.index.Load().Document().Routes()[0]
	q := &request{ctx: t.Context(), service: f.service(t), model: "menu", route: &route}
	w := newWatchdog(&exchange{gateway: f.gateway, request: q, backend: f.backend("i-old")})
	w.stop()
	f.setNamedVersion(0)
	f.gateway.watchdogs.checkNow()
	w.check() // would abort a connection that does not exist
}

// A request that is not idempotent can't be canceled, so it carries the expiry as its deadline and
// its engine drops it.
func TestNonIdempotentRequestCarriesVersionDeadline(t *testing.T) {
	received := make(chan *http.Request, 1)
	f := newExpiringFixture(t, func(w *bufio.Writer, r *http.Request) bool {
		received <- r
		return completeStream(w, r)
	}, closeWithoutResponse)
	f.disableResume(t)
	const left = 4 * time.Second
	f.setNamedVersion(left)
	if status, _, _, _ := f.do(t, f.draftRequest(t)); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	deadline, err := strconv.Atoi((<-received).Header.Get(headerDeadline))
	if err != nil || time.Duration(deadline)*time.Millisecond > left-versionDeadlineMargin {
		t.Fatalf("the request carries a deadline of %d ms, %v; its version expires in %s", deadline, err, left)
	}
}

// disableResume makes streams of the route non-resumable, so their requests are not idempotent.
func (f *fixture) disableResume(t *testing.T) {
	t.Helper()
	d := documentOf(t, testEngine(), false)
	f.gateway.index.Advance(serviceconfig.NewDocument(d.Number()+1, d.Routes(), d.Services(), d.Organisations(), d.Limits()))
}

// A started stream runs past the expiry of its version at its server, even if it takes longer
// than expected. A deadline at the expiry would break it off.
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
		t.Error("it was interrupted at the expiry of its version")
	}
}

// interruptedStreams counts the started streams that the gateway ended for a reason.
func (f *fixture) interruptedStreams(t *testing.T, reason interruptReason) float64 {
	t.Helper()
	return counterValue(t, f.gateway.metrics.interrupted.WithLabelValues(string(reason)))
}

func counterValue(t *testing.T, c prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

// The close of a connection queues behind chunks on its link, so a request on such a link is
// canceled earlier, and no request is sent to its engine within that time.
func TestRequestBehindTransfersIsCanceledEarlier(t *testing.T) {
	f := newExpiringFixture(t, closeWithoutResponse, closeWithoutResponse)
	q := &request{service: f.service(t), model: "menu"}
	old := f.backend("i-old")
	const left = (defaultCancelMargin + transferCancelMargin) / 2
	f.setNamedVersion(left)
	report := func(transferring bool) {
		old.recordLoadReport(feed.NewLoad("menu", old.address, "menu", 1, 1, 0, 1, false, transferring))
	}
	required := requirements{service: "menu", model: "menu", layers: 1, minVersion: func(_, margin time.Duration) uint64 {
		return f.gateway.minUsableVersion("menu", 0, 0, margin)
	}}
	for _, c := range []struct {
		name    string
		prepare func()
		earlier bool
	}{
		{"free", func() { report(false) }, false},
		{"chunks", func() { report(true) }, true},
		{"free again", func() { report(false) }, false},
		{"chunks again, in an old report", func() { report(true); old.ageLoadReport(2 * reportTTL) }, true},
	} {
		c.prepare()
		if canceled := f.gateway.versionExpiryOf(q, old, 1).mustCancel(); canceled != c.earlier {
			t.Errorf("%s: canceled %s before the expiry: %t", c.name, left, canceled)
		}
		if sent := required.allows(old, time.Now()); sent == c.earlier {
			t.Errorf("%s: sent %s before the expiry: %t", c.name, left, sent)
		}
	}
}

// Guards against started streams that lose their last events at engines short of CPU time. If run
// times are taken from the configuration alone, a request carries the expiry of its version as
// its deadline although it will run longer, and the engine breaks it off at that time. A request
// may run past the expiry, but must not begin after it.
func TestRecentLongRunsKeepCallerDeadline(t *testing.T) {
	received := make(chan *http.Request, 1)
	f := newExpiringFixture(t, func(w *bufio.Writer, r *http.Request) bool {
		received <- r
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
	if deadline, _ := strconv.Atoi((<-received).Header.Get(headerDeadline)); time.Duration(deadline)*time.Millisecond < 2*left {
		t.Errorf("the request carries a deadline of %d ms; the version expires in %s", deadline, left)
	}
	f.disableResume(t)
	if status, _, _, err := f.do(t, f.draftRequest(t)); status != http.StatusOK || err != nil {
		t.Fatalf("%d %v", status, err)
	}
	if deadline, _ := strconv.Atoi((<-received).Header.Get(headerDeadline)); time.Duration(deadline)*time.Millisecond < 2*left {
		t.Errorf("the non-idempotent request carries a deadline of %d ms; the version expires in %s", deadline, left)
	}
}
