// ================================================================
// Compares the errors of requests that cannot be served with a golden file:
// their kind, and whether they state that the request was executed.
// ================================================================

package prove

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/bubble"
	"github.com/tidepost/tidepost/pkg/entry"
)

var update = flag.Bool("update", false, "rewrite the golden file")

const refusalsFile = "testdata/refusals.golden"

// refusedCalls are requests that an entry must refuse.
var refusedCalls = []struct {
	name, path, body string
	headers          map[string]string
}{
	{"bad body", "/v1/chat/completions", "{", nil},
	{"unknown model", "/v1/chat/completions", `{"model":"nothing"}`, nil},
	{"unknown organisation", "/v1/chat/completions", `{"model":"menu"}`, map[string]string{entry.HeaderOrganisation: "nobody"}},
	{"unknown service", "/services/nothing/x", "", nil},
	{"unknown path", "/v2/elsewhere", "", nil},
	{"body too large", "/v1/chat/completions", strings.Repeat("x", 2<<20), nil},
	{"key too long", "/services/ordering/orders", "flour", map[string]string{entry.HeaderIdempotencyKey: strings.Repeat("k", 300)}},
	{"deadline passed", "/v1/chat/completions", `{"model":"menu"}`, map[string]string{entry.HeaderDeadline: "1999-01-01T00:00:00Z"}},
	{"deadline unreadable", "/v1/chat/completions", `{"model":"menu"}`, map[string]string{entry.HeaderDeadline: "soon"}},
	{"repeatable unreadable", "/v1/chat/completions", `{"model":"menu"}`, map[string]string{entry.HeaderRepeatable: "perhaps"}},
	{"priority unreadable", "/v1/chat/completions", `{"model":"menu"}`, map[string]string{entry.HeaderPriority: "high"}},
}

func TestRefusalsAreTypedAndAccurate(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.start()
		cl.eventually("the plain service", func() bool { return cl.orderFromService("entry-1", "", "try").isComplete() })
		before := cl.record.runCount("flour")
		var lines strings.Builder
		for _, c := range refusedCalls {
			fmt.Fprintf(&lines, "%s: %s\n", c.name, cl.refusal(c.path, c.body, c.headers))
		}
		cl.orderFromService("entry-1", "key-1", "flour")
		fmt.Fprintf(&lines, "key used for another body: %s\n", cl.refusal("/services/ordering/orders", "sugar", map[string]string{entry.HeaderIdempotencyKey: "key-1"}))
		if n := cl.record.runCount("flour") - before; n != 1 || cl.record.runCount("sugar") != 0 {
			t.Errorf("flour was executed %d times, sugar %d times; want 1 and 0", n, cl.record.runCount("sugar"))
		}
		checkGolden(t, refusalsFile, lines.String())
	})
}

// refusal sends a request to entry-1 and returns the error in the response, on one line.
func (cl *cluster) refusal(path, body string, headers map[string]string) string {
	r := httptest.NewRequest("POST", path, strings.NewReader(body))
	r.Header.Set(entry.HeaderOrganisation, "larder")
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	recorder := httptest.NewRecorder()
	cl.mu.Lock()
	e := cl.entries["entry-1"]
	cl.mu.Unlock()
	e.Handler().ServeHTTP(recorder, r)
	var response struct {
		Error struct{ Type, Message, Remedy, Ran string }
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &response); err != nil {
		return fmt.Sprintf("%d %q", recorder.Code, recorder.Body.String())
	}
	a := response.Error
	return fmt.Sprintf("%d %s, ran=%s, %s; %s", recorder.Code, a.Type, a.Ran, a.Message, a.Remedy)
}

func checkGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs.\n--- got\n%s--- want\n%s", path, got, want)
	}
}

// Guards against a caller's header that overrides the configuration: a call of a service that is
// not repeatable must not be executed a second time after its response was lost.
func TestCallerCannotMakeAnOrderRepeatable(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.start()
		cl.eventually("the plain service in two failure domains", func() bool {
			return cl.orderFromService("entry-1", "", "try").isComplete() && cl.orderFromService("entry-3", "", "try").isComplete()
		})
		// Entries exchange the state of their services once a second.
		time.Sleep(5 * time.Second)
		cl.service.setMode(modeLoseResponse)
		a := cl.post("entry-1", "/services/ordering/orders", "flour", map[string]string{entry.HeaderRepeatable: "true"})
		if n := cl.record.runCount("flour"); n != 1 || a.saysNotRun() {
			t.Errorf("executed %d times, response %+v; want 1 and no response that says not run", n, a)
		}
	})
}
