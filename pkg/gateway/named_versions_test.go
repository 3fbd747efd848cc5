package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// A restarted gateway stores all versions that a control node reports, each with its own age, and
// reports them to control nodes that start later.
func TestGatewayKeepsTheAgesOfAllNamedVersions(t *testing.T) {
	g := newFixture(t, serviceconfig.Repeatable, false).gateway
	for _, versions := range [][]feed.NamedVersion{
		{feed.NewNamedVersion("menu", 2, 0), feed.NewNamedVersion("menu", 3, 0)},
		{feed.NewNamedVersion("menu", 2, time.Hour), feed.NewNamedVersion("menu", 3, time.Minute)},
	} {
		g.applyUpdate("10.0.0.9:7700", feed.NewUpdate(0, nil, versions, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil, nil))
	}
	kept := g.follower.NamedVersions()
	if len(kept) != 2 || kept[0].Version() != 2 || kept[0].Age() < time.Hour || kept[1].Age() < time.Minute {
		t.Fatalf("kept %v", kept)
	}
}
