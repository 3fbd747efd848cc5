package staging

import (
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/feed"
)

// testSwarm returns the swarm of two failure domains, "a" with a cache and "b"
// without, as the member own sees it.
func testSwarm(own string, unavailable string) swarm {
	return swarm{
		own:         own,
		domains:     map[string]string{"a1": "a", "a2": "a", "a3": "a", "acache": "a", "b1": "b", "b2": "b"},
		caches:      map[string]bool{"acache": true},
		holders:     map[string]bool{"a3": own != "a3", "b2": own != "b2"},
		unavailable: map[string]bool{unavailable: true},
	}
}

// Where there is a cache, chunks come from it alone: it owns all, and is the
// importer of its failure domain.
func TestPlanUsesCachesAsSources(t *testing.T) {
	for _, own := range []string{"a1", "a2", "b1", "acache"} {
		p := newPlan(testSwarm(own, ""), "menu", 2, 32)
		for number := range 32 {
			if p.owners[number] != "acache" {
				t.Fatalf("chunk %d is owned by %s", number, p.owners[number])
			}
			source := p.source(number)
			if own == "a1" && source != "acache" {
				t.Fatalf("a1 asks %s", source)
			}
			if own == "b1" && source == "a1" {
				t.Fatal("b1 asks a stager of another failure domain")
			}
		}
		if own == "a1" && len(p.preferredHolders) > 0 {
			t.Fatalf("a stager beside a cache asks holders %v", p.preferredHolders)
		}
		if own == "acache" && len(p.preferredHolders) == 0 {
			t.Fatal("the cache does not ask those who hold the version already")
		}
	}
}

// A cache that does not answer is left out; the stagers go on by themselves.
func TestPlanOmitsUnavailableCache(t *testing.T) {
	p := newPlan(testSwarm("a1", "acache"), "menu", 2, 32)
	for number := range 32 {
		if p.owners[number] == "acache" || p.source(number) == "acache" {
			t.Fatal("a cache that rests is asked")
		}
	}
	if len(p.preferredHolders) == 0 {
		t.Fatal("holders are not asked although no cache answers")
	}
}

func completeCopy(t *testing.T, n int) *weightsCopy {
	t.Helper()
	c, data := testCopy(n)
	for i := range data {
		if _, err := c.add(i, data[i]); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// What a loss of power leaves of a stored copy is used whole or not at all.
func TestStoredCopyIsVerifiedOnLoad(t *testing.T) {
	memory := disk.NewMemory()
	open := func() (*disk.Folder, error) { return memory.Folder(), nil }
	store := newCopyStore(open, log.NewNopLogger())
	if err := store.write(completeCopy(t, 5)); err != nil {
		t.Fatal(err)
	}
	again := newCopyStore(open, log.NewNopLogger()).load()
	if len(again) != 1 || !again[0].isComplete() || again[0].manifest.version != 2 {
		t.Fatalf("read back %d copies", len(again))
	}
	whole, err := memory.Folder().Read(fileName("menu"))
	if err != nil {
		t.Fatal(err)
	}
	for _, spoilt := range [][]byte{whole[:len(whole)/2], append([]byte{}, whole...)} {
		spoilt[len(spoilt)-1] ^= 1
		if err := memory.Folder().Replace(fileName("menu"), spoilt); err != nil {
			t.Fatal(err)
		}
		if copies := newCopyStore(open, log.NewNopLogger()).load(); len(copies) != 0 {
			t.Fatal("a spoilt copy was used")
		}
	}
}

// A disk that refuses leaves the copy waiting for the next try.
func TestCopyIsStoredAfterDiskRecovers(t *testing.T) {
	memory := disk.NewMemory()
	refuse := true
	store := newCopyStore(func() (*disk.Folder, error) {
		if refuse {
			return nil, errors.New("the disk is full")
		}
		return memory.Folder(), nil
	}, log.NewNopLogger())
	c := completeCopy(t, 3)
	if store.write(c) == nil {
		t.Fatal("a refused copy counts as stored")
	}
	store.requeue(c)
	refuse = false
	for _, waiting := range store.takePending() {
		if err := store.write(waiting); err != nil {
			t.Fatal(err)
		}
	}
	if len(newCopyStore(store.open, log.NewNopLogger()).load()) != 1 {
		t.Fatal("the copy was not stored")
	}
}

// The oldest named version that is not served yet gives the turn: a later one
// does not move it.
func TestOldestNamedVersionIsDueFirst(t *testing.T) {
	now := time.Now()
	m := &Member{versions: feed.NewVersionTable()}
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 0)}, now.Add(-3*time.Second))
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 3, 0)}, now)
	if due := m.nextDue("menu", 1); due.Version() != 2 {
		t.Fatalf("due %d at an engine that serves 1", due.Version())
	}
	if due := m.nextDue("menu", 2); due.Version() != 3 || !due.Since().Equal(now) {
		t.Fatalf("due %d at an engine that serves 2", due.Version())
	}
	if want := m.wanted("menu"); want.Version() != 3 {
		t.Fatalf("wanted %d", want.Version())
	}
}
