// ================================================================
// The cache: a member without an engine, on a VM with a disk and a wide link. It keeps the newest
// version of each model's weights in memory and on disk. Caches are optional: while none is
// reachable, stagers fetch and exchange chunks themselves.
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
	// maxCacheUploads bounds the concurrent uploads of a cache.
	maxCacheUploads = 64
	// cacheInterval is the longest time between checks for new versions.
	cacheInterval = time.Second
	// defaultRolloutLimit replaces the rollout limit, which a cache does not know. While the newest
	// version is unavailable, the cache downloads no version whose successor is due: a restarted
	// cache learns of the versions of several hours.
	defaultRolloutLimit = time.Minute
)

// Cache keeps copies of the newest weights and sends them to the stagers of its failure domain. So
// a copy crosses into a failure domain once, the engines' links only receive, and the weights
// survive a power loss without the origin.
type Cache struct {
	*Member
	store *copyStore
}

// NewCache returns a cache that is not running yet. seeds returns the link addresses of control
// nodes. open opens the folder of stored copies; it is nil for a cache that only uses memory.
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
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = k.follower.Run(followCtx) }()
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

// update downloads the target version of a model and schedules the storing of its copy.
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
