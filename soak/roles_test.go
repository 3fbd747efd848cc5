// ================================================================
// The kinds of connections between the programs, by who dials whom.
// ================================================================

package soak

import (
	"strings"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
)

// connectionKind is a kind of connection.
type connectionKind struct {
	name    string
	proxies func(cl *cluster) []*faultproxy.Proxy
	dialer  string // what its label begins with
}

func (r connectionKind) matches(label string) bool {
	return label != "" && strings.HasPrefix(label, r.dialer)
}

var connectionKinds = []connectionKind{
	{"gateway to backend server", func(cl *cluster) []*faultproxy.Proxy {
		return append(append([]*faultproxy.Proxy(nil), cl.servers[engineVMs]...), cl.servers[plainVMs]...)
	}, "gateway"},
	{"gateway to stager", stagerLinks, "gateway"},
	{"gateway to control node", controlLinks, "gateway"},
	{"control node to control node", controlLinks, "control"},
	{"stager to control node", controlLinks, "stager"},
	{"stager to stager", stagerLinks, "stager"},
	{"stager to engine", func(cl *cluster) []*faultproxy.Proxy { return cl.servers[engineVMs] }, "stager"},
}

func controlLinks(cl *cluster) []*faultproxy.Proxy { return cl.links[controlVMs] }
func stagerLinks(cl *cluster) []*faultproxy.Proxy  { return cl.links[engineVMs] }

// silencedDialer is one dialer whose connections to one address went silent.
type silencedDialer struct {
	kind  string
	proxy *faultproxy.Proxy
	label string
	count int
	at    time.Time
}

// silence makes the open connections of some roles silent.
func (cl *cluster) silence(some []connectionKind, m faultproxy.Manner) []silencedDialer {
	var all []silencedDialer
	for _, r := range some {
		for _, p := range r.proxies(cl) {
			at := time.Now()
			for label, count := range p.Silence(r.matches, m) {
				all = append(all, silencedDialer{r.name, p, label, count, at})
			}
		}
	}
	return all
}
