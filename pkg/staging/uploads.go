// ================================================================
// The uploads of one stager: a few at a time, and of those that wait the one
// whose engine is to take the version first. A VM's link carries what comes and
// what goes, so all copies together take as long in any order; served in turn,
// the first engines can begin while the last ones still gather.
// ================================================================

package staging

import (
	"context"
	"sync"
)

// uploads grants uploads by rank, the lowest first. It is safe for concurrent
// use.
type uploads struct {
	mu      sync.Mutex
	free    int
	waiting []*uploadTurn
}

type uploadTurn struct {
	rank    int
	granted chan struct{}
}

func newUploads(atOnce int) *uploads { return &uploads{free: atOnce} }

// begin waits for a turn; false when the context ended first. After true, call
// end.
func (u *uploads) begin(ctx context.Context, rank int) bool {
	turn := &uploadTurn{rank, make(chan struct{})}
	u.mu.Lock()
	u.waiting = append(u.waiting, turn)
	u.grant()
	u.mu.Unlock()
	select {
	case <-turn.granted:
		return true
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, w := range u.waiting {
		if w == turn {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			return false
		}
	}
	// It was granted meanwhile: the turn is handed on.
	u.free++
	u.grant()
	return false
}

// end ends an upload.
func (u *uploads) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.free++
	u.grant()
}

// grant lets the lowest ranks go; the caller holds the lock.
func (u *uploads) grant() {
	for u.free > 0 && len(u.waiting) > 0 {
		first := 0
		for i, w := range u.waiting {
			if w.rank < u.waiting[first].rank {
				first = i
			}
		}
		close(u.waiting[first].granted)
		u.waiting = append(u.waiting[:first], u.waiting[first+1:]...)
		u.free--
	}
}
