package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// A version keeps its due time when a later version is named.
func TestEarlierVersionKeepsItsDueTime(t *testing.T) {
	table := feed.NewVersionTable()
	start := time.Unix(100, 0)
	table.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 0)}, start)
	table.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 3, 0)}, start.Add(2*time.Second))
	if v := table.Due("menu", 7*time.Second, start.Add(8*time.Second)); v != 2 {
		t.Fatalf("8 s after version 2 was named, version %d is due", v)
	}
	if v := table.Due("menu", 7*time.Second, start.Add(9*time.Second)); v != 3 {
		t.Fatalf("7 s after version 3 was named, version %d is due", v)
	}
}
