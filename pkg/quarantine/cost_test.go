// ================================================================
// Benchmarks of what the quarantine costs each request of a gateway, and of the memory of a full
// table.
// ================================================================

package quarantine

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkFingerprint measures the fingerprint of one request.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 2 << 10, 64 << 10} {
		c := Content{Organisation: "larder", Method: "POST", Host: "menus.example", Target: "/draft/x", Body: bytes.Repeat([]byte("x"), size)}
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			for range b.N {
				NewFingerprint(c)
			}
		})
	}
}

// BenchmarkCompletedRequest measures the calls to the table for a request that runs to completion.
func BenchmarkCompletedRequest(b *testing.B) {
	table := NewTable(nil)
	fingerprints := make([]Fingerprint, 1<<14)
	for i := range fingerprints {
		fingerprints[i] = NewFingerprint(Content{Target: fmt.Sprint(i)})
	}
	b.ResetTimer()
	for i := range b.N {
		f := fingerprints[i%len(fingerprints)]
		table.BeginAttempt(f)
		table.Crashes(f)
		table.RecordCompletion(f, "v1/1")
	}
}

// BenchmarkFullTable measures the heap size of a full table.
func BenchmarkFullTable(b *testing.B) {
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable(nil)
		for i := range 4 * shardCount * maxRecords {
			f := NewFingerprint(Content{Target: fmt.Sprint(i)})
			for n := range maxCrashes {
				table.RecordCrash(f, NewCrash(fmt.Sprintf("server-%d", n), 1, "hall-a", Build("v1", 1), n, 0))
			}
		}
		for i := range 2 * shardCount * maxCompletions {
			table.RecordCompletion(NewFingerprint(Content{Target: fmt.Sprint("whole", i)}), Build("v1", 1))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<10), "KiB")
		runtime.KeepAlive(table)
	}
}
