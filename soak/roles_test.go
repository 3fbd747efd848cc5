// ================================================================
// The kinds of connections between the programs, by who dials whom.
// ================================================================

package soak

import (
	"strings"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
)

// role is a kind of connection.
type role struct {
	name    string
	proxies func(w *world) []*faultproxy.Proxy
	dialer  string // what its label begins with
}

func (r role) has(label string) bool { return label != "" && strings.HasPrefix(label, r.dialer) }

var roles = []role{
	{"gateway to backend server", func(w *world) []*faultproxy.Proxy {
		return append(append([]*faultproxy.Proxy(nil), w.servers[engineVMs]...), w.servers[plainVMs]...)
	}, "gateway"},
	{"gateway to stager", stagerLinks, "gateway"},
	{"gateway to control node", controlLinks, "gateway"},
	{"control node to control node", controlLinks, "control"},
	{"stager to control node", controlLinks, "stager"},
	{"stager to stager", stagerLinks, "stager"},
	{"stager to engine", func(w *world) []*faultproxy.Proxy { return w.servers[engineVMs] }, "stager"},
}

func controlLinks(w *world) []*faultproxy.Proxy { return w.links[controlVMs] }
func stagerLinks(w *world) []*faultproxy.Proxy  { return w.links[engineVMs] }

// silenced is one dialer whose connections to one address went silent.
type silenced struct {
	role  string
	proxy *faultproxy.Proxy
	label string
	count int
	at    time.Time
}

// silence makes the open connections of some roles silent.
func (w *world) silence(some []role, m faultproxy.Manner) []silenced {
	var all []silenced
	for _, r := range some {
		for _, p := range r.proxies(w) {
			at := time.Now()
			for label, count := range p.Silence(r.has, m) {
				all = append(all, silenced{r.name, p, label, count, at})
			}
		}
	}
	return all
}
