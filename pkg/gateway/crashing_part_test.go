// ================================================================
// Requests that differ as a whole and share one part of their prompts, which crashes each backend
// server that runs them. Guards against counting crashes for whole requests only: no two of these are
// alike, so each was a first crash, and they crashed server after server.
// ================================================================

package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	sharedPart   = "5c1e07a2"
	crashingPart = "91bd3f06"
)

// newServersThatCrashOn starts servers that answer each request in full, except those with a certain
// part of the prompt, which crash them.
func newServersThatCrashOn(t *testing.T, part string, count int) *crashingServers {
	s := &crashingServers{status: "200 OK"}
	for i := range count {
		server := &crashingServer{}
		script := func(w *bufio.Writer, r *http.Request) bool {
			if slices.Contains(SplitList(r.Header.Get(headerPromptParts)), part) {
				s.crash(server)
				return false
			}
			writeResponse(w, r, s.status, "", "whole")
			return true
		}
		server.fakeBackend = newFakeBackendWithAccept(t, fmt.Sprintf("i-%d", i+1), script, server.accept)
		s.all = append(s.all, server)
	}
	return s
}

// sendWithParts sends a request with a body of its own and with the given parts of a prompt.
func (f *fixture) sendWithParts(t *testing.T, id, parts string) int {
	t.Helper()
	return f.sendAttempt(t, id, "order "+id, func(r *http.Request) { r.Header.Set(headerPromptParts, parts) })
}

// Requests of one part crash three servers at most, whichever part it is and whatever else they hold. Those
// that share their other parts are served.
func TestPartThatCrashesServers(t *testing.T) {
	for name, parts := range map[string]string{
		"in the middle": sharedPart + "," + crashingPart,
		"first":         crashingPart + "," + sharedPart,
		"alone":         crashingPart,
	} {
		for _, kind := range []serviceconfig.Kind{serviceconfig.Repeatable, serviceconfig.Once} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				servers := newServersThatCrashOn(t, crashingPart, 8)
				f := newFixture(t, kind, false, servers.list()...)
				const requests = 20
				for i := range requests {
					f.sendWithParts(t, fmt.Sprintf("ending-%d", i), parts)
					if status := f.sendWithParts(t, fmt.Sprintf("sound-%d", i), sharedPart); status != http.StatusOK {
						t.Errorf("status %d for request %d with the shared part", status, i)
					}
				}
				if n := servers.count(); n > maxCrashesPerRequest {
					t.Errorf("%d requests with one part crashed %d servers; %d may crash", requests, n, maxCrashesPerRequest)
				}
				if status := f.sendWithParts(t, "more", parts); status != http.StatusServiceUnavailable {
					t.Errorf("status %d for a request with the part after %d crashes", status, servers.count())
				}
			})
		}
	}
}
