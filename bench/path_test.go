//go:build bench

// ================================================================
// The path of a request through entry and agent, against the same engine
// called directly: processor time, bytes allocated and added delay. All run in
// one process over loopback, so only the ratios and differences mean much.
// ================================================================

package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/internal/loopback"
	"github.com/tidepost/tidepost/pkg/agent"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/entry"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/fake"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/vm"
)

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// pathWorld is one entry, one agent, one engine and an origin on loopback.
type pathWorld struct {
	t                        *testing.T
	callers, entryAt, engine string
}

func newPathWorld(t *testing.T) *pathWorld {
	model := fake.NewEngine(64)
	model.Step = 0
	engineServer := httptest.NewServer(model.Handler())
	t.Cleanup(engineServer.Close)
	origin := fake.NewOrigin(64<<10, 0)
	origin.Put("menu", "v7", 1<<20, 1)
	originServer := httptest.NewServer(origin.Handler())
	t.Cleanup(originServer.Close)
	w := &pathWorld{t: t, callers: loopback.FreeAddress(t), entryAt: loopback.FreeAddress(t), engine: engineServer.URL}
	agentAt := loopback.FreeAddress(t)

	es, err := settings.LoadEntry(writeSettings(t, fmt.Sprintf(`
vm: {name: entry-1, region: r, failure_domain: d}
data: {folder: %s}
peers: {listen: "%s"}
callers: {listen: "%s"}
control_log: {voter: true}
`, t.TempDir(), w.entryAt, w.callers)))
	if err != nil {
		t.Fatal(err)
	}
	as, err := settings.LoadAgent(writeSettings(t, fmt.Sprintf(`
vm: {name: agent-1, region: r, failure_domain: d, labels: {purpose: menu}}
data: {folder: %s}
peers: {listen: "%s", entries: ["%s"]}
engine: {url: "%s", checks_fences: true}
heartbeat: {interval: 100ms}
`, t.TempDir(), agentAt, w.entryAt, w.engine)))
	if err != nil {
		t.Fatal(err)
	}
	e, err := entry.New(es, entry.Hooks{Seams: daemon.Seams{Log: io.Discard}})
	if err != nil {
		t.Fatal(err)
	}
	a, err := agent.New(as, agent.Hooks{Seams: daemon.Seams{Log: io.Discard}})
	if err != nil {
		t.Fatal(err)
	}
	w.run(e.Run)
	w.run(a.Run)
	w.configure(originServer.URL)
	return w
}

func (w *pathWorld) run(run func(<-chan os.Signal) error) {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	go func() {
		defer close(done)
		_ = run(signals)
	}()
	w.t.Cleanup(func() {
		signals <- os.Kill
		<-done
	})
}

func (w *pathWorld) configure(origin string) {
	operator := link.NewEndpoint(link.Config{Own: vm.NewIdentity("op", 1, "", "", ""), Clock: event.NewClock(time.Now), Logger: log.NewNopLogger()})
	defer operator.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	boot := contract.NewVoterChange(contract.VoterBootstrap, "", "", 0)
	for operator.Call(ctx, w.entryAt, link.KindVoterChange, boot, &contract.Acknowledgement{}) != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	var objects []contract.Object
	add := func(kind contract.ObjectKind, name string, body any) {
		o, err := contract.EncodeObject(kind, name, body)
		if err != nil {
			w.t.Fatal(err)
		}
		objects = append(objects, o)
	}
	add(contract.KindSource, "origin", contract.NewSource(origin, false))
	add(contract.KindOrganisation, "larder", contract.NewOrganisation(1, 0))
	add(contract.KindGroup, "menu", contract.NewGroup("purpose=menu", "menu", "v7", contract.RoleServe))
	apply := contract.NewApply(contract.NewChange("c", "ann", 0, objects, contract.Digest{}), []contract.ModelName{contract.NewModelName("menu", "v7")})
	for operator.Call(ctx, w.entryAt, link.KindApply, apply, &contract.ChangeResult{}) != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	for ctx.Err() == nil {
		if status, _ := w.ask("http://"+w.callers, 1, true); status == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.t.Fatal("the path does not come up")
}

func (w *pathWorld) ask(base string, tokens int, stream bool) (int, int64) {
	body := fmt.Sprintf(`{"model":"menu","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"a soft breakfast"}]}`, stream, tokens)
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Header.Set(entry.HeaderOrganisation, "larder")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	n, _ := io.Copy(io.Discard, response.Body)
	return response.StatusCode, n
}

// cost measures requests one after another.
func (w *pathWorld) cost(base string, tokens int) (processor, delay time.Duration, allocated uint64) {
	const requests = 400
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used, began := processorTime(), time.Now()
	for range requests {
		if status, _ := w.ask(base, tokens, true); status != http.StatusOK {
			w.t.Fatalf("status %d", status)
		}
	}
	processor, delay = (processorTime()-used)/requests, time.Since(began)/requests
	runtime.ReadMemStats(&after)
	return processor, delay, (after.TotalAlloc - before.TotalAlloc) / requests
}

func TestPath(t *testing.T) {
	w := newPathWorld(t)
	var added []point
	for _, tokens := range []int{1, 32, 128} {
		direct, directDelay, directBytes := w.cost(w.engine, tokens)
		whole, wholeDelay, wholeBytes := w.cost("http://"+w.callers, tokens)
		added = append(added, point{float64(tokens), microseconds(whole - direct)})
		fmt.Printf("path tokens=%d processor_ratio=%.2f added_processor_us=%.0f added_delay_us=%.0f added_allocated_KiB=%.0f\n",
			tokens, float64(whole)/float64(direct), microseconds(whole-direct), microseconds(wholeDelay-directDelay),
			float64(int64(wholeBytes)-int64(directBytes))/1024)
	}
	fit("path_added_processor_time", "token", "us", added)
}
