package staging

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// memberWithCopies returns a member that knows of versions 2 and 3 of a model, named 5 and 3 s ago,
// and has an empty copy of each.
func memberWithCopies(t *testing.T) (m *Member, second, third *weightsCopy, data [][]byte) {
	t.Helper()
	return memberWithCopiesOf(t, 4)
}

// memberWithCopiesOf does the same for versions with a given number of chunks.
func memberWithCopiesOf(t *testing.T, chunks int) (m *Member, second, third *weightsCopy, data [][]byte) {
	t.Helper()
	m = &Member{versions: feed.NewVersionTable(), copies: map[string][]*weightsCopy{}}
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 5*time.Second)}, time.Now())
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 3, 3*time.Second)}, time.Now())
	empty, data := testCopy(chunks)
	second = m.addEmptyCopy(NewManifest("menu", 2, empty.manifest.digests))
	third = m.addEmptyCopy(NewManifest("menu", 3, empty.manifest.digests))
	return m, second, third, data
}

func addChunks(t *testing.T, c *weightsCopy, data [][]byte) {
	t.Helper()
	for number := range data {
		if _, err := c.add(number, data[number]); err != nil {
			t.Fatal(err)
		}
	}
}

func TestNewestVersionIsTheTargetWhileItDownloads(t *testing.T) {
	m, _, _, _ := memberWithCopies(t)
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("target is version %d", got)
	}
}

// Guards against this failure: two versions were named 2 s apart and the origin crashed. No engine
// had either version when the first was due, although the caches held all of it.
func TestPreviousVersionIsTheTargetWhileTheNewestStalls(t *testing.T) {
	m, second, third, data := memberWithCopies(t)
	third.lastAdded = time.Now().Add(-2 * stallTimeout)
	second.lastAdded = third.lastAdded
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("target is version %d where both are stalled", got)
	}
	second.addHoldings("10.0.0.1:7", []byte{1})
	if got := m.target("menu", 1).Version(); got != 2 {
		t.Fatalf("target is version %d", got)
	}
	if got := m.target("menu", 2).Version(); got != 3 {
		t.Fatalf("target is version %d where 2 is served", got)
	}
	third.addHoldings("10.0.0.1:7", []byte{1})
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("target is version %d while a member holds a chunk of 3", got)
	}
	third.removeHolder("10.0.0.1:7", 0)
	addChunks(t, second, data)
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("target is version %d after 2 is complete", got)
	}
}

func TestTwoNewestCopiesAreKept(t *testing.T) {
	m, second, third, data := memberWithCopies(t)
	addChunks(t, second, data)
	if m.copyOf("menu", 2) != second || m.copyOf("menu", 3) != third {
		t.Fatal("a copy was evicted for the next version")
	}
	if m.newestComplete("menu") != 2 {
		t.Fatalf("the newest complete copy is of version %d", m.newestComplete("menu"))
	}
	if m.addEmptyCopy(NewManifest("menu", 1, second.manifest.digests)) != nil {
		t.Fatal("a third copy was added")
	}
	fourth := m.addEmptyCopy(NewManifest("menu", 4, second.manifest.digests))
	if fourth == nil || m.copyOf("menu", 2) != nil || m.copyOf("menu", 3) != third {
		t.Fatal("a copy other than the oldest was evicted")
	}
}

func TestOrderTimesAreSpreadOverTheRemainingTime(t *testing.T) {
	named := time.Now()
	limit := 8 * time.Second
	first := named.Add(time.Duration(firstOrderShare * float64(limit)))
	last := named.Add(time.Duration(lastOrderShare * float64(limit)))
	if at := orderTimeAt(0, 5, named, limit, named); !at.Equal(first) {
		t.Errorf("first order time is %s after the naming", at.Sub(named))
	}
	if at := orderTimeAt(4, 5, named, limit, named); !at.Equal(last) {
		t.Errorf("last order time is %s after the naming", at.Sub(named))
	}
	late := named.Add(5 * time.Second)
	if at := orderTimeAt(2, 5, named, limit, late); !at.Equal(late.Add(last.Sub(late) / 2)) {
		t.Errorf("middle order time is %s after a late copy", at.Sub(late))
	}
	if at := orderTimeAt(3, 5, named, limit, named.Add(limit)); !at.Equal(named.Add(limit)) {
		t.Errorf("order time of a copy completed after the limit is %s after the naming", at.Sub(named))
	}
}

// Guards against this failure: a copy that lacked 6 of 96 chunks was abandoned for the next
// version, which arrived after both were due.
func TestNearlyCompleteVersionIsFinishedFirst(t *testing.T) {
	m, second, third, data := memberWithCopiesOf(t, 20)
	addChunks(t, second, data[:19])
	if got := m.target("menu", 1).Version(); got != 2 {
		t.Fatalf("target is version %d while one chunk of 2 is missing", got)
	}
	second.lastAdded = time.Now().Add(-2 * stallTimeout)
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("target is version %d while the last chunk of 2 is unavailable", got)
	}
	third.lastAdded = second.lastAdded
	if isDueVersionPreferred(time.Unix(0, 0)) || !isDueVersionPreferred(time.Unix(0, int64(stallTimeout))) {
		t.Fatal("stalled versions are not tried in turn")
	}
}

// Guards against this failure: eight chunks in flight to an engine that served delayed its requests
// by a quarter of a second.
func TestFastRepliesDoNotExceedTheMaximumWindow(t *testing.T) {
	c, _ := testCopy(4)
	g := newFetchScheduler(c, func() plan { return plan{} }, maxRequestsWhileServing)
	for number := range 20 {
		g.done(fetchStep{number: number % 4, source: "10.0.0.1:7"}, true, time.Millisecond, time.Now())
	}
	if g.window != maxRequestsWhileServing {
		t.Fatalf("%d requests may be in flight", g.window)
	}
}
