// ================================================================
// How often requests of one route are served, by their size: the requests are sorted by the length of
// their prompt, or of the longest answer that they allow, and divided into tenths. A request and its caller's
// retries have the same content and count once.
// ================================================================

package explain

import (
	"cmp"
	"io"
	"slices"
)

const (
	sizeClasses = 10
	// minSizedRequests is the least number of requests of a route that are divided into classes.
	minSizedRequests = 10 * sizeClasses
)

// SizeClass is a tenth of the requests of one route.
type SizeClass struct {
	// Largest is the size of its largest request, in tokens.
	Largest int
	// Requests and Served count its requests, and those that were answered in one of their tries.
	Requests, Served int
	// Tries and ServedTries count the tries of their callers, and those that were answered.
	Tries, ServedTries int
}

// Share returns the share of its requests that were answered.
func (c SizeClass) Share() float64 { return float64(c.Served) / float64(max(c.Requests, 1)) }

// TryShare returns the share of the tries that were answered.
func (c SizeClass) TryShare() float64 { return float64(c.ServedTries) / float64(max(c.Tries, 1)) }

// RouteSizes says how often the requests of one route were served, by their size.
type RouteSizes struct {
	Route string
	// By is what the size is: the length of the prompt or of the longest answer.
	By string
	// All counts the requests of the route, and Classes their tenths, the smallest requests first.
	All     SizeClass
	Classes []SizeClass
}

// LargestRatio returns a share of the largest tenth over that of all requests; 0 if none was served.
func (r RouteSizes) LargestRatio(share func(SizeClass) float64) float64 {
	if r.All.Served == 0 {
		return 0
	}
	return share(r.Classes[len(r.Classes)-1]) / share(r.All)
}

// sizeMeasure is one meaning of the size of a request.
type sizeMeasure struct {
	name string
	size func(l line) int
}

var sizeMeasures = []sizeMeasure{
	{"prompt", func(l line) int { return l.Prompt }},
	{"answer", func(l line) int { return l.Answer }},
}

// sizedRequest is a request with its caller's retries.
type sizedRequest struct {
	line               line // of one of the tries
	tries, servedTries int
}

// Sizes reads logs and returns the sizes of each route whose requests have any, sorted by route. Routes with
// less than minSizedRequests requests are left out.
func Sizes(r io.Reader) ([]RouteSizes, error) {
	byRoute := map[string]map[string]*sizedRequest{}
	err := readLines(r, func(l line) {
		if l.Message != "request" || l.Prompt == 0 {
			return
		}
		if byRoute[l.Route] == nil {
			byRoute[l.Route] = map[string]*sizedRequest{}
		}
		content := cmp.Or(l.Fingerprint, l.Request)
		q := byRoute[l.Route][content]
		if q == nil {
			q = &sizedRequest{line: l}
			byRoute[l.Route][content] = q
		}
		q.tries++
		if l.Outcome == "served" {
			q.servedTries++
		}
	})
	var all []RouteSizes
	for route, requests := range byRoute {
		if len(requests) < minSizedRequests {
			continue
		}
		for _, m := range sizeMeasures {
			all = append(all, newRouteSizes(route, m, requests))
		}
	}
	slices.SortStableFunc(all, func(a, b RouteSizes) int { return cmp.Compare(a.Route, b.Route) })
	return all, err
}

// newRouteSizes divides the requests of a route by one measure of size.
func newRouteSizes(route string, m sizeMeasure, requests map[string]*sizedRequest) RouteSizes {
	sorted := make([]*sizedRequest, 0, len(requests))
	for _, q := range requests {
		sorted = append(sorted, q)
	}
	slices.SortFunc(sorted, func(a, b *sizedRequest) int {
		return cmp.Or(cmp.Compare(m.size(a.line), m.size(b.line)), cmp.Compare(a.line.Request, b.line.Request))
	})
	s := RouteSizes{Route: route, By: m.name, All: newSizeClass(m, sorted)}
	for i := range sizeClasses {
		s.Classes = append(s.Classes, newSizeClass(m, sorted[i*len(sorted)/sizeClasses:(i+1)*len(sorted)/sizeClasses]))
	}
	return s
}

// newSizeClass counts requests, the largest of which is last.
func newSizeClass(m sizeMeasure, requests []*sizedRequest) SizeClass {
	c := SizeClass{Largest: m.size(requests[len(requests)-1].line), Requests: len(requests)}
	for _, q := range requests {
		c.Tries += q.tries
		c.ServedTries += q.servedTries
		if q.servedTries > 0 {
			c.Served++
		}
	}
	return c
}
