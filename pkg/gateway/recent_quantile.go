package gateway

import (
	"cmp"
	"slices"
)

// recentQuantile is a quantile of the latest samples.
type recentQuantile[T cmp.Ordered] struct {
	samples []T
	next    int // index of the oldest one, once there are most samples
	share   float64
	most    int
	cached  T    // the quantile, unless stale
	stale   bool // a sample was added since
}

// newRecentQuantile returns the quantile at a share, from 0 to 1, of at most the given number of samples.
func newRecentQuantile[T cmp.Ordered](share float64, most int) *recentQuantile[T] {
	return &recentQuantile[T]{share: share, most: most}
}

// add adds a sample in place of the oldest one.
func (q *recentQuantile[T]) add(sample T) {
	if len(q.samples) < q.most {
		q.samples = append(q.samples, sample)
	} else {
		q.samples[q.next] = sample
		q.next = (q.next + 1) % q.most
	}
	q.stale = true
}

// value returns the least sample that has share of the samples below it, or the largest one. There must be one.
func (q *recentQuantile[T]) value() T {
	if q.stale {
		sorted := slices.Sorted(slices.Values(q.samples))
		q.cached, q.stale = sorted[min(int(q.share*float64(len(sorted))), len(sorted)-1)], false
	}
	return q.cached
}

// count returns how many samples there are.
func (q *recentQuantile[T]) count() int { return len(q.samples) }
