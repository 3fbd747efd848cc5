// ================================================================
// The kinds of connections between the programs, by dialer and target, and how they are
// made silent.
// ================================================================

package soak

import (
	"strings"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
)

// connectionKind is a kind of connection, by dialer and target.
type connectionKind struct {
	name    string
	proxies func(cl *cluster) []*faultproxy.Proxy
	dialer  string // prefix of the proxies' labels of its connections
}

func (k connectionKind) matches(label string) bool {
	return label != "" && strings.HasPrefix(label, k.dialer)
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

// silencedDialer is a dialer whose connections to one address went silent.
type silencedDialer struct {
	kind  string
	proxy *faultproxy.Proxy
	label string
	count int
	at    time.Time
}

// silence makes the open connections of some kinds silent, and returns their dialers.
func (cl *cluster) silence(kinds []connectionKind, m faultproxy.SilenceOptions) []silencedDialer {
	var dialers []silencedDialer
	for _, k := range kinds {
		for _, p := range k.proxies(cl) {
			at := time.Now()
			for label, count := range p.Silence(k.matches, m) {
				dialers = append(dialers, silencedDialer{k.name, p, label, count, at})
			}
		}
	}
	return dialers
}
