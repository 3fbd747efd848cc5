// ================================================================
// The chunks in the engine's staging area: writes, verification, and their concurrent calls.
// ================================================================

package staging

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// verificationTime is the time after which a verification ends, once a layer is complete. What is
	// left of maxVerificationAge is for the order.
	verificationTime = maxVerificationAge / 2
	// reverifyInterval is the time between verifications while the engine does not answer an order.
	reverifyInterval = 500 * time.Millisecond
	// maxChunkCalls bounds the concurrent calls for chunks. One call runs at first, and another one
	// besides after each chunkCallDelay, so that an engine that answers quickly gets one at a time.
	maxChunkCalls  = 8
	chunkCallDelay = 50 * time.Millisecond
)

// withoutLimit is for forEachChunk where the time is not limited.
func withoutLimit() bool { return true }

// stageChunks writes every chunk to the engine's staging area.
func (s *Stager) stageChunks(ctx context.Context, staged *stagedCopy) error {
	return forEachChunk(ctx, 0, len(staged.copy.manifest.digests), withoutLimit, func(ctx context.Context, number int) error {
		return s.stageChunk(ctx, staged, number)
	})
}

// stageChunk writes a chunk, which is intact from then on.
func (s *Stager) stageChunk(ctx context.Context, staged *stagedCopy, number int) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	began := s.now()
	if err := s.protocol.PutChunk(ctx, s.settings.Engine(), staged.copy.manifest.model, number, staged.copy.get(number)); err != nil {
		staged.addFailedWrite(number)
		return err
	}
	staged.addWrite(number, began, s.now())
	return nil
}

func (s *Stager) readStagedChunk(ctx context.Context, model string, number int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.GetChunk(ctx, s.settings.Engine(), model, number)
}

// verifiedLayers is the result of a verification: the layers whose chunks it found or made intact.
type verifiedLayers struct {
	layers    layerRange
	took      time.Duration
	rewritten int // corrupt chunks that were written again
}

// verifyLayers verifies the staged chunks of the layers from a first one on, as many layers as
// verificationTime allows. It fails with CorruptChunk if not one layer was verified.
func (s *Stager) verifyLayers(ctx context.Context, staged *stagedCopy, from int) (verifiedLayers, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := s.now()
	// Calls that are under way when the time is over would only make the first verifications older.
	endIfDue := func() {
		if s.now()-began >= verificationTime && !staged.checkedLayers(from, began).isEmpty() {
			cancel()
		}
	}
	timer := time.AfterFunc(verificationTime, endIfDue)
	defer timer.Stop()
	hasTime := func() bool { return s.now()-began < maxVerificationAge }
	var rewritten atomic.Int64
	first, end := staged.chunksOf(layerRange{from, staged.layers})
	err := forEachChunk(ctx, first, end, hasTime, func(ctx context.Context, number int) error {
		defer endIfDue()
		intact, err := s.verifyChunk(ctx, staged, number)
		if !intact && err == nil {
			rewritten.Add(1)
		}
		return err
	})
	layers := staged.checkedLayers(from, began)
	switch {
	case !layers.isEmpty():
		return verifiedLayers{layers, s.now() - began, int(rewritten.Load())}, nil
	case err != nil:
		return verifiedLayers{}, err
	}
	return verifiedLayers{}, failure.New(failure.CorruptChunk, "no layer of %s version %d was verified within %s; check the load of the VM and the engine",
		staged.copy.manifest.model, staged.copy.manifest.version, maxVerificationAge)
}

// verifyChunk reads a chunk back, and writes it again if it is corrupt. intact reports whether it was
// not.
func (s *Stager) verifyChunk(ctx context.Context, staged *stagedCopy, number int) (intact bool, err error) {
	began := s.now()
	data, err := s.readStagedChunk(ctx, staged.copy.manifest.model, number)
	if err == nil && digestOf(data) == staged.copy.manifest.digests[number] {
		staged.addVerification(number, began)
		return true, nil
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	_ = level.Warn(s.process.Logger).Log("msg", "staged chunk corrupt; writing it again", "chunk", number, "err", err)
	s.metrics.chunks.WithLabelValues(string(sourceCorrupt)).Inc()
	return false, s.stageChunk(ctx, staged, number)
}

// keepVerified verifies the chunks of some layers at intervals until the returned function is called.
func (s *Stager) keepVerified(ctx context.Context, staged *stagedCopy, layers layerRange) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = daemon.Every(ctx, reverifyInterval, func() { s.verifyAgain(ctx, staged, layers) })
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (s *Stager) verifyAgain(ctx context.Context, staged *stagedCopy, layers layerRange) {
	first, end := staged.chunksOf(layers)
	err := forEachChunk(ctx, first, end, withoutLimit, func(ctx context.Context, number int) error {
		_, err := s.verifyChunk(ctx, staged, number)
		return err
	})
	if err != nil && ctx.Err() == nil {
		_ = level.Warn(s.process.Logger).Log("msg", "staged chunks not verified", "err", err)
	}
}

// forEachChunk calls f for the chunks from first to end (exclusive), in order and several at a time if
// the calls are slow. It begins no call once hasTime returns false, and none after an error, which it
// returns.
func forEachChunk(ctx context.Context, first, end int, hasTime func() bool, f func(ctx context.Context, number int) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	next.Store(int64(first))
	allBegun := make(chan struct{})
	closeAllBegun := sync.OnceFunc(func() { close(allBegun) })
	var group sync.WaitGroup
	for i := range maxChunkCalls {
		group.Go(func() {
			defer closeAllBegun()
			select {
			case <-ctx.Done():
				return
			case <-allBegun:
				return
			case <-time.After(time.Duration(i) * chunkCallDelay):
			}
			for ctx.Err() == nil && hasTime() {
				number := int(next.Add(1)) - 1
				if number >= end {
					return
				}
				if err := f(ctx, number); err != nil {
					cancel(err)
				}
			}
		})
	}
	group.Wait()
	return context.Cause(ctx)
}
