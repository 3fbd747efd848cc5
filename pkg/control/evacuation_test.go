package control

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/placement"
)

// evacuate changes whether a failure domain is evacuated, through one node.
func (c *cluster) evacuate(n *testNode, domain string, evacuated bool) {
	c.t.Helper()
	c.eventually("evacuate", func() error {
		return n.node.service.SetEvacuated(context.Background(), domain, evacuated)
	})
}

// requireEvacuated waits until a node lists exactly these evacuated failure domains.
func (c *cluster) requireEvacuated(n *testNode, domains ...string) {
	c.t.Helper()
	c.eventually("evacuated", func() error {
		if got := n.node.service.EvacuatedDomains(); fmt.Sprint(got) != fmt.Sprint(domains) {
			return fmt.Errorf("%s lists %v, want %v", n.name, got, domains)
		}
		return nil
	})
}

// An evacuation that was acknowledged is known to all nodes, may be sent again, and is kept through the
// restart of all of them and the loss of a disk.
func TestEvacuationIsKept(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	for _, n := range c.nodes {
		n.node.service.regions["hall-x"] = "south"
	}
	c.evacuate(c.nodes[1], "hall-x", true)
	c.evacuate(c.nodes[2], "hall-x", true)
	c.evacuate(c.nodes[0], "hall-control-0", true)
	c.evacuate(c.nodes[0], "hall-control-0", false)
	for _, n := range c.nodes {
		c.requireEvacuated(n, "hall-x")
	}
	for i, n := range c.nodes {
		c.stop(n)
		n.bootstrap = false
		n.disk.Crash(0)
		if i == 1 {
			n.disk = disk.NewMemory()
		}
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	for _, n := range c.nodes {
		c.requireEvacuated(n, "hall-x")
	}
}

// A call that was delayed at its node until the evacuation has been ended elsewhere is not applied, and
// its caller is told to send it again.
func TestDelayedEvacuationIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	domain := "hall-control-0"
	for _, n := range c.nodes {
		n.node.service.regions[domain] = "north"
	}
	delayed := placement.NewChange(domain, true, 0)
	c.evacuate(c.nodes[1], domain, true)
	c.requireEvacuated(c.nodes[2], domain)
	c.evacuate(c.nodes[2], domain, false)
	if err := c.nodes[0].node.service.proposeEvacuation(context.Background(), delayed); !failure.Is(err, failure.NotReady) {
		t.Fatalf("a delayed evacuation: %v", err)
	}
	for _, n := range c.nodes {
		c.requireEvacuated(n)
	}
}

// A failure domain that is not known is refused with a status that ends an operator's attempts, and so is
// a call with a body.
func TestInvalidEvacuationsAreRefused(t *testing.T) {
	c := newCluster(t, 3)
	n := c.nodes[0]
	c.awaitVoters(c.nodes...)
	for _, call := range []struct {
		name, path, body string
		status           int
	}{
		{"unknown", "/nowhere", "", http.StatusBadRequest},
		{"10,000 names", "/" + strings.Repeat("hall-control-0,", 10_000), "", http.StatusBadRequest},
		{"a body", "/hall-control-0", `{"domains": ["hall-control-1"]}`, http.StatusBadRequest},
		{"an empty name", "/", "", http.StatusNotFound},
		{"blank", "/%20", "", http.StatusBadRequest},
		{"known", "/hall-control-0", "", http.StatusOK},
	} {
		for _, method := range []string{http.MethodPut, http.MethodDelete} {
			r, err := http.NewRequest(method, "http://"+n.httpAddress+"/v1/evacuations"+call.path, strings.NewReader(call.body))
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatalf("%s: %v", call.name, err)
			}
			_ = response.Body.Close()
			if response.StatusCode != call.status && !(len(call.path) > maxHeaderBytes && response.StatusCode/100 == 4) {
				t.Errorf("%s %s: status %d, want %d", method, call.name, response.StatusCode, call.status)
			}
		}
	}
	c.requireEvacuated(n)
}
