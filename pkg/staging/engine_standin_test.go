package staging

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	testChunks = 96
	testLayers = 16
)

// standinEngine is an engine in virtual time. It loads what its staging area contains when it takes
// an order, intact or not.
type standinEngine struct {
	// readTime and writeTime are the times that a call for a chunk takes, and loadTime the time to load
	// all layers. orderDelay returns the time after which the engine takes an order that was sent with a
	// sequence, and answers. losesAnswer reports whether that answer is lost.
	readTime, writeTime, loadTime time.Duration
	orderDelay                    func(sequence uint64) time.Duration
	losesAnswer                   func(sequence uint64) bool
	manifests                     map[uint64]Manifest // by version

	mu            sync.Mutex
	staged        map[int][]byte
	changedAt     map[int]time.Time // when a chunk got its present content
	version       uint64
	layers        layerRange
	badFor        map[int]time.Duration // by held layer: how long its worst chunk had been bad when it was loaded
	busy          bool
	sequence      uint64
	orders        int
	reads, writes int
}

// newStandinEngine returns an engine that serves version 1 and knows the digests of some copies.
func newStandinEngine(copies ...*weightsCopy) *standinEngine {
	manifests := map[uint64]Manifest{}
	for _, c := range copies {
		manifests[c.manifest.version] = c.manifest
	}
	return &standinEngine{
		manifests: manifests, writeTime: 5 * time.Millisecond, loadTime: 300 * time.Millisecond,
		orderDelay: func(uint64) time.Duration { return 0 }, losesAnswer: func(uint64) bool { return false },
		staged: map[int][]byte{}, changedAt: map[int]time.Time{}, badFor: map[int]time.Duration{},
		version: 1, layers: layerRange{0, testLayers},
	}
}

func (e *standinEngine) protocol() Protocol {
	return Protocol{ReadReport: e.readReport, PutChunk: e.putChunk, GetChunk: e.getChunk, SendOrder: e.takeOrder}
}

func (e *standinEngine) readReport(context.Context, string) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Report{Busy: e.busy, Sequence: e.sequence, StartedAt: 1}
	if !e.layers.isEmpty() {
		r.Holdings = []registry.Holding{registry.NewHolding("menu", e.version, e.layers.from, e.layers.to)}
	}
	return r, nil
}

func (e *standinEngine) putChunk(ctx context.Context, _, _ string, number int, data []byte) error {
	if err := sleep(ctx, e.writeTime); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writes++
	e.staged[number], e.changedAt[number] = data, time.Now()
	return nil
}

func (e *standinEngine) getChunk(ctx context.Context, _, _ string, number int) ([]byte, error) {
	if err := sleep(ctx, e.readTime); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	return e.staged[number], nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return failure.New(failure.Unreachable, "%v", ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// takeOrder takes an order after its delay, also if the call has ended by then.
func (e *standinEngine) takeOrder(ctx context.Context, _ string, o Order) error {
	taken := make(chan error, 1)
	go func() {
		time.Sleep(e.orderDelay(o.Sequence))
		err := e.load(o)
		if !e.losesAnswer(o.Sequence) {
			taken <- err
		}
	}()
	select {
	case <-ctx.Done():
		return failure.New(failure.Unreachable, "%v", ctx.Err())
	case err := <-taken:
		return err
	}
}

func (e *standinEngine) load(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Sequence != e.sequence || e.busy {
		return failure.New(failure.Conflict, "sequence %d, busy %t", e.sequence, e.busy)
	}
	wanted := layerRange{0, testLayers}
	if o.Partial {
		wanted.to = o.Layers
	}
	e.orders++
	e.sequence++
	if e.version != o.Version {
		e.layers = layerRange{}
	}
	loaded := 0
	for layer := e.layers.to; layer < wanted.to; layer++ {
		e.badFor[layer] = e.worstOf(o.Version, layer)
		loaded++
	}
	e.version, e.layers = o.Version, layerRange{0, min(e.layers.to, wanted.to)}
	if loaded == 0 {
		return nil
	}
	e.busy = true
	time.AfterFunc(e.loadTime*time.Duration(loaded)/testLayers, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy, e.layers = false, wanted
	})
	return nil
}

// worstOf returns for how long the worst chunk of a layer of a version has been bad; the lock is held.
func (e *standinEngine) worstOf(version uint64, layer int) time.Duration {
	var worst time.Duration
	first, end := chunksOf(layerRange{layer, layer + 1}, testChunks, testLayers)
	for number := first; number < end; number++ {
		if digestOf(e.staged[number]) != e.manifests[version].digests[number] {
			worst = max(worst, time.Since(e.changedAt[number]))
		}
	}
	return worst
}

// spoilt is the content of a spoilt chunk.
const spoilt = "spoilt"

// spoil makes a chunk bad, once until it is written again.
func (e *standinEngine) spoil(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if string(e.staged[number]) != spoilt {
		e.staged[number], e.changedAt[number] = []byte(spoilt), time.Now()
	}
}

// spoilAtRandom spoils a chunk at each interval until the context ends.
func (e *standinEngine) spoilAtRandom(ctx context.Context, seed uint64, interval time.Duration) {
	random := rand.New(rand.NewPCG(seed, seed))
	_ = daemon.Every(ctx, interval, func() { e.spoil(random.IntN(testChunks)) })
}

// isIntact reports whether the engine serves all layers of a version, none of which was loaded from a
// chunk that had been bad for longer than maxVerificationAge.
func (e *standinEngine) isIntact(version uint64) (worst time.Duration, intact bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for layer := range testLayers {
		worst = max(worst, e.badFor[layer])
	}
	return worst, e.version == version && e.layers.to == testLayers && worst <= maxVerificationAge
}

// stage puts all chunks of a copy into the staging area, as a stager of an earlier process did.
func (e *standinEngine) stage(c *weightsCopy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for number := range testChunks {
		e.staged[number] = c.get(number)
	}
}

// offered returns the version with which the stager offers the engine to gateways now; 0 if there is none
// above the first. It fails the test, and returns false, if the engine does not hold that version intact.
func offered(ctx context.Context, t *testing.T, e *standinEngine, s *Stager) (version uint64, intact bool) {
	t.Helper()
	load, ok := s.load(ctx)
	if !ok || load.Busy() || load.Version() < 2 {
		return 0, true
	}
	worst, intact := e.isIntact(load.Version())
	if !intact {
		t.Errorf("version %d is offered, and a chunk had been corrupt for %s when it was loaded", load.Version(), worst)
	}
	return load.Version(), intact
}

// stagerOf returns a stager, without its loops, beside an engine that serves version 1. It must be called
// in a bubble of synctest.
func stagerOf(t *testing.T, e *standinEngine) *Stager {
	t.Helper()
	m := &Member{
		protocol: e.protocol(), process: &daemon.Process{Logger: log.NewNopLogger()}, metrics: newMetrics(prometheus.NewRegistry()),
		versions: feed.NewVersionTable(), copies: map[string][]*weightsCopy{}, follower: &feed.Follower{}, registry: registry.NewTable(nil),
		peerFailures: newPeerFailures(), wake: make(chan struct{}, 1), runContext: t.Context(),
	}
	engine := serviceconfig.NewEngine(16, []string{"menu"}, testLayers, testChunks, 8, time.Millisecond, 0, 0, 0, 0, 0, 0)
	service := serviceconfig.NewService("", "", 0, "", engine, true, 0)
	m.index.Advance(serviceconfig.NewDocument(1, nil, []serviceconfig.Service{service}, nil, serviceconfig.Limits{}))
	startedAt := time.Now()
	s := &Stager{Member: m, loadChanged: make(chan struct{}, 1), now: func() time.Duration { return time.Since(startedAt) }}
	return s
}

// name names the version of a copy, which is complete.
func name(s *Stager, c *weightsCopy) {
	s.addCopy(c)
	s.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", c.manifest.version, 0)}, time.Now())
	s.setReady(c)
}

// fullCopy returns a complete copy of a version.
func fullCopy(t *testing.T, version uint64) *weightsCopy {
	t.Helper()
	var digests []string
	var chunks [][]byte
	for number := range testChunks {
		chunks = append(chunks, fmt.Appendf(nil, "chunk %d of version %d", number, version))
		digests = append(digests, digestOf(chunks[number]))
	}
	c := newCopy(NewManifest("menu", version, digests))
	for number, data := range chunks {
		if _, err := c.add(number, data); err != nil {
			t.Fatal(err)
		}
	}
	return c
}
