// ================================================================
// The cache: a member without an engine, on a VM with a disk and a wide link.
// It keeps the newest version of each model's weights, on disk too, and hands
// it to the stagers of its failure domain. So a copy crosses into a failure
// domain once, the engines' links only receive, and after a loss of power the
// weights are there without the origin.
//
// It is never needed: while none is in reach, stagers draw and exchange by
// themselves.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/feed"
)

const (
	// maxCacheUploads bounds the chunks on their way to others at one time.
	maxCacheUploads = 64
	// cacheInterval is the time between looks at what is named.
	cacheInterval = time.Second
	// defaultRolloutLimit stands for the agreed time, which a cache is not told: where the
	// newest version is not to be had, it gathers none whose successor is due. A
	// cache that has just started hears of hours of them.
	defaultRolloutLimit = time.Minute
)

// Cache keeps copies for the stagers.
type Cache struct {
	*Member
	store *copyStore
}

// NewCache returns a cache that is not running yet. seeds returns the link
// addresses of control nodes; open opens the folder of the copies, and may be
// nil for a cache in memory.
func NewCache(process *daemon.Process, protocol Protocol, seeds func() []string, open func() (*disk.Folder, error)) *Cache {
	hello := feed.NewHello(feed.RoleCache, process.Identity, "", "", nil, false)
	k := &Cache{
		Member: newMember(process, protocol, hello, seeds, maxCacheUploads),
		store:  newCopyStore(open, process.Logger),
	}
	k.rolloutLimit = defaultRolloutLimit
	return k
}

// Run runs the cache until the context ends.
func (k *Cache) Run(ctx context.Context) error {
	defer k.notices.Close()
	k.runContext = ctx
	for _, c := range k.store.load() {
		k.addCopy(c)
	}
	go k.store.run(ctx)
	following, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = k.follower.Run(following) }()
	for ctx.Err() == nil {
		for _, model := range k.models() {
			k.update(ctx, model)
		}
		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-time.After(cacheInterval):
		}
	}
	return nil
}

// models returns the models of all engines.
func (k *Cache) models() []string {
	index := k.index.Load()
	if index == nil {
		return nil
	}
	var models []string
	document := index.Document()
	for _, s := range document.Services() {
		models = append(models, s.Engine().Models()...)
	}
	return models
}

// update gathers the version of a model that is the target and has it stored.
func (k *Cache) update(ctx context.Context, model string) {
	held := func() uint64 { return k.newestComplete(model) }
	c, err := k.obtain(ctx, model, k.target(model, held()), held)
	if err != nil {
		_ = level.Info(k.process.Logger).Log("msg", "manifest not found", "model", model, "err", err)
	}
	if c != nil {
		k.store.enqueue(c)
	}
}
