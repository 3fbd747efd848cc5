//go:build bench

// ================================================================
// Measures processor time and live heap, and fits a line through values taken at
// several sizes.
// ================================================================

package bench

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// processorTime returns the processor time that all threads of this process have used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// perCall returns the mean processor time of a call of f, over at least minTime.
func perCall(f func()) time.Duration {
	const minTime = 100 * time.Millisecond
	calls := 0
	usedBefore := processorTime()
	for batch := 1; ; batch *= 2 {
		for range batch {
			f()
		}
		calls += batch
		if used := processorTime() - usedBefore; used > minTime {
			return used / time.Duration(calls)
		}
	}
}

// liveHeap returns the bytes of heap in use after a garbage collection.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// heapOf returns the heap that the value returned by build keeps alive, in bytes.
func heapOf(build func() any) int64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return after - before
}

// point is a value measured at a size.
type point struct{ size, value float64 }

// fitLine prints the values and their least-squares line, value = base + slope*size. The error is the
// largest deviation from the line, relative to the largest value.
func fitLine(name, per, unit string, points []point) {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept := (sy - slope*sx) / n
	maxError, maxValue := 0.0, 0.0
	for _, p := range points {
		maxError = math.Max(maxError, math.Abs(intercept+slope*p.size-p.value))
		maxValue = math.Max(maxValue, math.Abs(p.value))
	}
	var values []string
	for _, p := range points {
		values = append(values, fmt.Sprintf("%.0f:%.4g", p.size, p.value))
	}
	fmt.Printf("capacity %s slope=%.4g%s/%s base=%.4g%s error=%.0f%% at=%s\n",
		name, slope, unit, per, intercept, unit, 100*maxError/maxValue, strings.Join(values, ","))
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
