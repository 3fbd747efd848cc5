package staging

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// memberWithCopies returns a member that knows of versions 2 and 3 of a model, named
// 5 and 3 s ago, and holds a copy of each.
func memberWithCopies(t *testing.T) (m *Member, second, third *weightsCopy, data [][]byte) {
	t.Helper()
	return memberWithCopiesOf(t, 4)
}

// memberWithCopiesOf does so for versions of a number of chunks.
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
		t.Fatalf("version %d is gathered", got)
	}
}

// Two versions were named 2 s apart and the origin crashed: no engine had either
// when the first was due, although the caches had all of it.
func TestPreviousVersionIsTheTargetWhileTheNewestStalls(t *testing.T) {
	m, second, third, data := memberWithCopies(t)
	third.lastAdded = time.Now().Add(-2 * stallTimeout)
	second.lastAdded = third.lastAdded
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("version %d is gathered where neither is to be had", got)
	}
	second.addHoldings("10.0.0.1:7", []byte{1})
	if got := m.target("menu", 1).Version(); got != 2 {
		t.Fatalf("version %d is gathered", got)
	}
	if got := m.target("menu", 2).Version(); got != 3 {
		t.Fatalf("version %d is gathered where 2 is served", got)
	}
	third.addHoldings("10.0.0.1:7", []byte{1})
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("version %d is gathered while somebody has a chunk of 3", got)
	}
	third.removeHolder("10.0.0.1:7", 0)
	addChunks(t, second, data)
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("version %d is gathered after 2 is whole", got)
	}
}

func TestTwoNewestCopiesAreKept(t *testing.T) {
	m, second, third, data := memberWithCopies(t)
	addChunks(t, second, data)
	if m.copyOf("menu", 2) != second || m.copyOf("menu", 3) != third {
		t.Fatal("a copy was given up for the next version")
	}
	if m.newestComplete("menu") != 2 {
		t.Fatalf("the newest complete copy is of version %d", m.newestComplete("menu"))
	}
	if m.addEmptyCopy(NewManifest("menu", 1, second.manifest.digests)) != nil {
		t.Fatal("a third copy is kept")
	}
	fourth := m.addEmptyCopy(NewManifest("menu", 4, second.manifest.digests))
	if fourth == nil || m.copyOf("menu", 2) != nil || m.copyOf("menu", 3) != third {
		t.Fatal("not the oldest copy was given up")
	}
}

func TestOrderTimesAreSpreadOverTheRemainingTime(t *testing.T) {
	named := time.Now()
	within := 8 * time.Second
	first := named.Add(time.Duration(firstOrderShare * float64(within)))
	last := named.Add(time.Duration(lastOrderShare * float64(within)))
	if at := orderTimeAt(0, 5, named, within, named); !at.Equal(first) {
		t.Errorf("the first turn is %s after the naming", at.Sub(named))
	}
	if at := orderTimeAt(4, 5, named, within, named); !at.Equal(last) {
		t.Errorf("the last turn is %s after the naming", at.Sub(named))
	}
	late := named.Add(5 * time.Second)
	if at := orderTimeAt(2, 5, named, within, late); !at.Equal(late.Add(last.Sub(late) / 2)) {
		t.Errorf("the turn in the middle is %s after a late copy", at.Sub(late))
	}
	if at := orderTimeAt(3, 5, named, within, named.Add(within)); !at.Equal(named.Add(within)) {
		t.Errorf("a turn after the time is over is %s after the naming", at.Sub(named))
	}
}

// A copy that lacked 6 of 96 chunks was left for the next version, and that one
// came after the time of both.
func TestNearlyCompleteVersionIsFinishedFirst(t *testing.T) {
	m, second, third, data := memberWithCopiesOf(t, 20)
	addChunks(t, second, data[:19])
	if got := m.target("menu", 1).Version(); got != 2 {
		t.Fatalf("version %d is gathered while one chunk of 2 is missing", got)
	}
	second.lastAdded = time.Now().Add(-2 * stallTimeout)
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("version %d is gathered while the last chunk of 2 does not come", got)
	}
	third.lastAdded = second.lastAdded
	if isDueVersionPreferred(time.Unix(0, 0)) || !isDueVersionPreferred(time.Unix(0, int64(stallTimeout))) {
		t.Fatal("while neither comes they are not tried in turn")
	}
}

// Eight chunks under way to an engine that served kept its requests waiting for a
// quarter of a second.
func TestFastRepliesDoNotExceedTheMaximumWindow(t *testing.T) {
	c, _ := testCopy(4)
	g := newFetchScheduler(c, func() plan { return plan{} }, maxRequestsWhileServing)
	for number := range 20 {
		g.done(fetchStep{number: number % 4, source: "10.0.0.1:7"}, true, time.Millisecond, time.Now())
	}
	if g.window != maxRequestsWhileServing {
		t.Fatalf("%d questions may be under way", g.window)
	}
}
