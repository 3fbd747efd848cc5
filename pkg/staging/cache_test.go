package staging

import (
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/feed"
)

// testSwarm returns the swarm of two failure domains, "a" with a cache and "b" without, as the
// member own sees it.
func testSwarm(own string, unavailable string) swarm {
	return swarm{
		own:         own,
		domains:     map[string]string{"a1": "a", "a2": "a", "a3": "a", "acache": "a", "b1": "b", "b2": "b"},
		caches:      map[string]bool{"acache": true},
		holders:     map[string]bool{"a3": own != "a3", "b2": own != "b2"},
		unavailable: map[string]bool{unavailable: true},
	}
}

// Where there is a cache, it owns all chunks and imports them into its failure domain.
func TestPlanUsesCachesAsSources(t *testing.T) {
	for _, own := range []string{"a1", "a2", "b1", "acache"} {
		p := newPlan(testSwarm(own, ""), "menu", 2, 32)
		for number := range 32 {
			if p.owners[number] != "acache" {
				t.Fatalf("owner of chunk %d is %s, want acache", number, p.owners[number])
			}
			source := p.source(number)
			if own == "a1" && source != "acache" {
				t.Fatalf("a1 requests a chunk from %s, want acache", source)
			}
			if own == "b1" && source == "a1" {
				t.Fatal("b1 requests a chunk from a stager in another failure domain")
			}
		}
		if own == "a1" && len(p.preferredHolders) > 0 {
			t.Fatalf("a stager with a cache in its failure domain prefers holders %v", p.preferredHolders)
		}
		if own == "acache" && len(p.preferredHolders) == 0 {
			t.Fatal("the cache does not prefer members that hold the version already")
		}
	}
}

// An unavailable cache is left out of the plan, and the stagers exchange chunks without it.
func TestPlanOmitsUnavailableCache(t *testing.T) {
	p := newPlan(testSwarm("a1", "acache"), "menu", 2, 32)
	for number := range 32 {
		if p.owners[number] == "acache" || p.source(number) == "acache" {
			t.Fatal("the plan contains an unavailable cache")
		}
	}
	if len(p.preferredHolders) == 0 {
		t.Fatal("holders are not preferred although no cache is available")
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

// A stored copy that a power loss has damaged is used either whole or not at all.
func TestStoredCopyIsVerifiedOnLoad(t *testing.T) {
	memory := disk.NewMemory()
	open := func() (*disk.Folder, error) { return memory.Folder(), nil }
	store := newCopyStore(open, log.NewNopLogger())
	if err := store.write(completeCopy(t, 5)); err != nil {
		t.Fatal(err)
	}
	loaded := newCopyStore(open, log.NewNopLogger()).load()
	if len(loaded) != 1 || !loaded[0].isComplete() || loaded[0].manifest.version != 2 {
		t.Fatalf("loaded %d copies", len(loaded))
	}
	whole, err := memory.Folder().Read(fileName("menu"))
	if err != nil {
		t.Fatal(err)
	}
	for _, corrupt := range [][]byte{whole[:len(whole)/2], append([]byte{}, whole...)} {
		corrupt[len(corrupt)-1] ^= 1
		if err := memory.Folder().Replace(fileName("menu"), corrupt); err != nil {
			t.Fatal(err)
		}
		if copies := newCopyStore(open, log.NewNopLogger()).load(); len(copies) != 0 {
			t.Fatal("a corrupt copy was loaded")
		}
	}
}

// A copy that could not be stored stays pending until the next attempt.
func TestCopyIsStoredAfterDiskRecovers(t *testing.T) {
	memory := disk.NewMemory()
	diskFull := true
	store := newCopyStore(func() (*disk.Folder, error) {
		if diskFull {
			return nil, errors.New("the disk is full")
		}
		return memory.Folder(), nil
	}, log.NewNopLogger())
	c := completeCopy(t, 3)
	if store.write(c) == nil {
		t.Fatal("a failed write returned no error")
	}
	store.requeue(c)
	diskFull = false
	for _, pending := range store.takePending() {
		if err := store.write(pending); err != nil {
			t.Fatal(err)
		}
	}
	if len(newCopyStore(store.open, log.NewNopLogger()).load()) != 1 {
		t.Fatal("the copy was not stored")
	}
}

// The oldest named version that is not served yet is due first; a later one does not change that.
func TestOldestNamedVersionIsDueFirst(t *testing.T) {
	now := time.Now()
	m := &Member{versions: feed.NewVersionTable()}
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 0)}, now.Add(-3*time.Second))
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 3, 0)}, now)
	if due := m.nextDue("menu", 1); due.Version() != 2 {
		t.Fatalf("version %d is due for an engine that serves 1", due.Version())
	}
	if due := m.nextDue("menu", 2); due.Version() != 3 || !due.NamedAt().Equal(now) {
		t.Fatalf("version %d is due for an engine that serves 2", due.Version())
	}
	if want := m.newestNamed("menu"); want.Version() != 3 {
		t.Fatalf("newest version is %d", want.Version())
	}
}
