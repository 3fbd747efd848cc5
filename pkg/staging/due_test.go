package staging

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// anew returns a member that has just started and was told of versions 2 and 3 of a
// model, named some time ago.
func anew(second, third time.Duration) *Member {
	m := &Member{versions: feed.NewVersions(), copies: map[string][]*weightsCopy{}}
	m.versions.Hear([]feed.Weights{feed.NewWeights("menu", 2, second), feed.NewWeights("menu", 3, third)}, time.Now())
	return m
}

// Found by reading, when nodes were to tell the earlier versions too: a stager or a
// cache that had just started took the newest version for one that is not to be had,
// since it was named long ago and nothing of it was here, and gathered the one before.
func TestMemberThatStartsAnewGathersTheNewestVersion(t *testing.T) {
	m := anew(30*time.Second, 20*time.Second)
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("version %d is gathered", got)
	}
}

// A version may be served until the time of the next one ends, so one whose
// successor is due as well is no engine's next.
func TestVersionWhoseSuccessorIsDueIsNotNext(t *testing.T) {
	m := anew(30*time.Second, 20*time.Second)
	m.within = 8 * time.Second
	if due := m.nextDue("menu", 1).Version(); due != 3 {
		t.Fatalf("version %d is the next where 3 is due", due)
	}
	m = anew(9*time.Second, 3*time.Second)
	m.within = 8 * time.Second
	if due := m.nextDue("menu", 1).Version(); due != 2 {
		t.Fatalf("version %d is the next where 3 is not due yet", due)
	}
	if due := m.nextDue("menu", 2).Version(); due != 3 {
		t.Fatalf("version %d is the next where 2 is served", due)
	}
}
