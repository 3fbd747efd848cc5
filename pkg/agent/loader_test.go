package agent

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/bubble"
	"github.com/tidepost/tidepost/internal/golden"
	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/engine"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/weights"
)

// loaderRun is a loader with one complete copy and an engine that does not check what it loads. It
// records the orders and the phases of the copy.
type loaderRun struct {
	t          *testing.T
	agent      *Agent
	assignment configstate.Assignment
	data       []byte
	held       *weights.Copy
	trace      strings.Builder

	loaded   string // the digest of the weights that the engine has read; empty if it has none
	fence    uint64
	instance int
	// refuses is the action that the engine refuses.
	refuses engine.Action
	// duringLoad runs after an order to load has arrived and before the file is read.
	duringLoad func()
}

const loaderChunkSize = 16

func newLoaderRun(t *testing.T) *loaderRun {
	folder := t.TempDir()
	path := filepath.Join(folder, "agent.yaml")
	text := fmt.Sprintf(`
vm: {name: agent-1, region: a, failure_domain: a, labels: {purpose: menu}}
data: {folder: %s}
peers: {listen: "127.0.0.1:7001", entries: ["127.0.0.2:7001"]}
engine: {url: "http://127.0.0.1:1", checks_fences: true}
`, filepath.Join(folder, "data"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.LoadAgent(path)
	if err != nil {
		t.Fatal(err)
	}
	r := &loaderRun{t: t, data: []byte(strings.Repeat("weights of menu ", 5)), duringLoad: func() {}}
	r.data[3*loaderChunkSize] = 'W'
	hooks := Hooks{Hooks: daemon.Hooks{Log: io.Discard}, Engine: &engine.Engine{SendOrder: r.sendOrder, ReadState: r.readState}}
	if r.agent, err = New(s, hooks); err != nil {
		t.Fatal(err)
	}
	manifest := contract.ManifestOf(r.data, loaderChunkSize)
	r.assignment = configstate.Assignment{Model: "menu", Version: "v1", Digest: manifest.Digest(), Manifest: manifest, Role: contract.RoleServe}
	if r.held, err = r.agent.store.Open(manifest); err != nil {
		t.Fatal(err)
	}
	r.agent.copies.markWanted(r.assignment)
	r.complete()
	return r
}

// complete writes the chunks that are missing, as the copier does.
func (r *loaderRun) complete() {
	r.t.Helper()
	for i := range r.assignment.Manifest.Chunks() {
		offset, length := r.assignment.Manifest.ChunkRange(i)
		if err := r.held.Write(i, r.data[offset:offset+length]); err != nil {
			r.t.Fatal(err)
		}
	}
	if err := r.held.Complete(); err != nil {
		r.t.Fatal(err)
	}
	r.agent.copies.markVerified(r.assignment.Digest)
	r.note("copy complete")
}

// damage flips a bit of the file on disk.
func (r *loaderRun) damage() {
	raw, err := os.ReadFile(r.held.Path())
	if err != nil {
		r.t.Fatal(err)
	}
	raw[len(raw)/2] ^= 1
	if err := os.WriteFile(r.held.Path(), raw, 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.note("the disk damages the copy")
}

func (r *loaderRun) note(format string, arguments ...any) {
	fmt.Fprintf(&r.trace, "  "+format+"\n", arguments...)
}

// rounds runs the loader's loop n times and notes the copy after each.
func (r *loaderRun) rounds(n int) {
	for range n {
		r.agent.loader.poll(context.Background())
		r.agent.loader.sendNextOrder(context.Background())
		r.note("%s, %d of %d chunks, engine %s", r.agent.copies.snapshot()[0].phase,
			r.held.Held().Count(), r.held.Held().Total(), r.loadedState())
	}
}

func (r *loaderRun) loadedState() string {
	switch r.loaded {
	case "":
		return "empty"
	case r.assignment.Digest.String():
		return "sound"
	default:
		return "corrupt"
	}
}

func (r *loaderRun) restartEngine() {
	r.instance++
	r.loaded = ""
	r.note("the engine restarts")
}

func (r *loaderRun) readState(context.Context) (engine.State, error) { return r.state(), nil }

func (r *loaderRun) state() engine.State {
	s := engine.State{Instance: fmt.Sprint(r.instance), Fence: r.fence}
	if r.loaded != "" {
		s.Models = []engine.LoadedModel{{Model: "menu", Digest: r.assignment.Digest.String()}}
	}
	return s
}

// sendOrder ignores an order to load what is loaded.
func (r *loaderRun) sendOrder(_ context.Context, o engine.Order) (engine.State, error) {
	if o.Action == r.refuses {
		r.note("order %s, refused", o.Action)
		return engine.State{}, failure.New(failure.BackendFailed, "refused")
	}
	r.note("order %s", o.Action)
	r.fence = o.Fence
	if o.Action == engine.ActionUnload {
		r.loaded = ""
		return r.state(), nil
	}
	if r.loaded == "" {
		r.duringLoad()
		data, err := os.ReadFile(o.Path)
		if err != nil {
			return engine.State{}, failure.New(failure.BackendFailed, "%v", err)
		}
		r.loaded = contract.ManifestOf(data, o.ChunkSize).Digest().String()
	}
	return r.state(), nil
}

// damageOnce damages the copy during the next load.
func (r *loaderRun) damageOnce() {
	r.duringLoad = func() {
		r.duringLoad = func() {}
		r.damage()
	}
}

var loaderCases = []struct {
	name string
	run  func(r *loaderRun)
}{
	{"sound copy, loaded right after it is complete", func(r *loaderRun) { r.rounds(2) }},
	{"sound copy, engine restarts an hour later", func(r *loaderRun) {
		r.rounds(1)
		time.Sleep(time.Hour)
		r.restartEngine()
		r.rounds(3)
	}},
	{"damaged long before the order", func(r *loaderRun) {
		r.rounds(1)
		time.Sleep(time.Hour)
		r.damage()
		r.restartEngine()
		r.rounds(2)
		r.complete()
		r.rounds(2)
	}},
	{"damaged during the load", func(r *loaderRun) {
		r.damageOnce()
		r.rounds(2)
		r.complete()
		r.rounds(2)
	}},
	{"damaged during the load, and the engine does not unload at once", func(r *loaderRun) {
		r.damageOnce()
		r.refuses = engine.ActionUnload
		r.rounds(2)
		r.complete()
		r.rounds(1)
		r.refuses = ""
		r.rounds(2)
	}},
	{"damaged while a request runs on an earlier load of a silent engine", func(r *loaderRun) {
		r.rounds(1)
		r.agent.copies.pin(r.assignment.Digest)
		r.agent.copies.setPhase(r.assignment.Digest, contract.PhaseVerified)
		r.damage()
		r.rounds(1)
		r.complete()
		r.rounds(1)
		r.agent.copies.unpin(r.assignment.Digest)
		r.note("the request ends")
		r.rounds(2)
	}},
	{"removed from the disk", func(r *loaderRun) {
		time.Sleep(time.Hour)
		if err := os.Remove(r.held.Path()); err != nil {
			r.t.Fatal(err)
		}
		r.rounds(2)
		r.complete()
		r.rounds(1)
	}},
}

// The loader's orders and the phases of a copy that its disk damages at several moments. An engine
// loaded what had been damaged since the only verification, and served it.
func TestLoaderVerifiesAroundOrders(t *testing.T) {
	var b strings.Builder
	for _, c := range loaderCases {
		bubble.Run(t, func(t *testing.T) {
			r := newLoaderRun(t)
			c.run(r)
			fmt.Fprintf(&b, "%s\n%s", c.name, r.trace.String())
		})
	}
	golden.Check(t, "testdata/loads.txt", b.String())
}

// Orders that an engine refuses are repeated at every poll. Without a bound they would read the whole
// copy each time, beside an engine that needs the disk.
func TestRefusedOrdersReadTheCopyOncePerBound(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newLoaderRun(t)
		r.refuses = engine.ActionLoad
		reads := map[time.Time]bool{}
		orders := func() int { return strings.Count(r.trace.String(), "refused") }
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(pollInterval) {
			r.rounds(1)
			reads[r.held.VerifiedAt()] = true
		}
		if len(reads) > 6 || orders() < 100 {
			t.Errorf("%d reads of the copy for %d orders within a minute, want at most 6 for 100 or more", len(reads), orders())
		}
	})
}
