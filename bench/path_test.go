//go:build bench

// ================================================================
// Compares requests through an entry and an agent with requests sent directly to
// the same engine: processor time, allocated bytes and delay. Everything runs in
// one process over loopback, so only ratios and differences are meaningful.
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

// pathSetup is one entry, one agent, one engine and an origin on loopback.
type pathSetup struct {
	t                                       *testing.T
	callersAddress, entryAddress, engineURL string
}

func newPathSetup(t *testing.T) *pathSetup {
	model := fake.NewEngine(64)
	model.Step = 0
	engineServer := httptest.NewServer(model.Handler())
	t.Cleanup(engineServer.Close)
	origin := fake.NewOrigin(64<<10, 0)
	origin.Publish("menu", "v7", 1<<20, 1)
	originServer := httptest.NewServer(origin.Handler())
	t.Cleanup(originServer.Close)
	p := &pathSetup{t: t, callersAddress: loopback.FreeAddress(t), entryAddress: loopback.FreeAddress(t), engineURL: engineServer.URL}
	agentAddress := loopback.FreeAddress(t)

	es, err := settings.LoadEntry(writeSettings(t, fmt.Sprintf(`
vm: {name: entry-1, region: r, failure_domain: d}
data: {folder: %s}
peers: {listen: "%s"}
callers: {listen: "%s"}
control_log: {voter: true}
`, t.TempDir(), p.entryAddress, p.callersAddress)))
	if err != nil {
		t.Fatal(err)
	}
	as, err := settings.LoadAgent(writeSettings(t, fmt.Sprintf(`
vm: {name: agent-1, region: r, failure_domain: d, labels: {purpose: menu}}
data: {folder: %s}
peers: {listen: "%s", entries: ["%s"]}
engine: {url: "%s", checks_fences: true}
heartbeat: {interval: 100ms}
`, t.TempDir(), agentAddress, p.entryAddress, p.engineURL)))
	if err != nil {
		t.Fatal(err)
	}
	e, err := entry.New(es, entry.Hooks{Hooks: daemon.Hooks{Log: io.Discard}})
	if err != nil {
		t.Fatal(err)
	}
	a, err := agent.New(as, agent.Hooks{Hooks: daemon.Hooks{Log: io.Discard}})
	if err != nil {
		t.Fatal(err)
	}
	p.run(e.Run)
	p.run(a.Run)
	p.configure(originServer.URL)
	return p
}

func (p *pathSetup) run(run func(<-chan os.Signal) error) {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	go func() {
		defer close(done)
		_ = run(signals)
	}()
	p.t.Cleanup(func() {
		signals <- os.Kill
		<-done
	})
}

func (p *pathSetup) configure(origin string) {
	operator := link.NewEndpoint(link.Config{Self: vm.NewIdentity("op", 1, "", "", ""), Clock: event.NewClock(time.Now), Logger: log.NewNopLogger()})
	defer operator.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	bootstrap := contract.NewVoterChange(contract.VoterBootstrap, "", "", 0)
	for operator.Call(ctx, p.entryAddress, link.KindVoterChange, bootstrap, &contract.Acknowledgement{}) != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	var objects []contract.Object
	add := func(kind contract.ObjectKind, name string, body any) {
		o, err := contract.EncodeObject(kind, name, body)
		if err != nil {
			p.t.Fatal(err)
		}
		objects = append(objects, o)
	}
	add(contract.KindSource, "origin", contract.NewSource(origin, false))
	add(contract.KindOrganisation, "larder", contract.NewOrganisation(1, 0))
	add(contract.KindGroup, "menu", contract.NewGroup("purpose=menu", "menu", "v7", contract.RoleServe))
	apply := contract.NewApplyRequest(contract.NewChange("c", "ann", 0, objects, contract.Digest{}), []contract.ModelVersion{contract.NewModelVersion("menu", "v7")})
	for operator.Call(ctx, p.entryAddress, link.KindApply, apply, &contract.ChangeResult{}) != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	for ctx.Err() == nil {
		if status, _ := p.post("http://"+p.callersAddress, 1, true); status == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.t.Fatal("the entry did not answer a request within 20 s")
}

func (p *pathSetup) post(base string, tokens int, stream bool) (int, int64) {
	body := fmt.Sprintf(`{"model":"menu","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"a soft breakfast"}]}`, stream, tokens)
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
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

// costPerRequest sends requests one after another and returns the means of one: processor time,
// delay and allocated bytes.
func (p *pathSetup) costPerRequest(base string, tokens int) (processor, delay time.Duration, allocated uint64) {
	const requests = 400
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used, began := processorTime(), time.Now()
	for range requests {
		if status, _ := p.post(base, tokens, true); status != http.StatusOK {
			p.t.Fatalf("status %d", status)
		}
	}
	processor, delay = (processorTime()-used)/requests, time.Since(began)/requests
	runtime.ReadMemStats(&after)
	return processor, delay, (after.TotalAlloc - before.TotalAlloc) / requests
}

func TestPath(t *testing.T) {
	p := newPathSetup(t)
	var added []point
	for _, tokens := range []int{1, 32, 128} {
		direct, directDelay, directBytes := p.costPerRequest(p.engineURL, tokens)
		proxied, proxiedDelay, proxiedBytes := p.costPerRequest("http://"+p.callersAddress, tokens)
		added = append(added, point{float64(tokens), microseconds(proxied - direct)})
		fmt.Printf("path tokens=%d processor_ratio=%.2f added_processor_us=%.0f added_delay_us=%.0f added_allocated_KiB=%.0f\n",
			tokens, float64(proxied)/float64(direct), microseconds(proxied-direct), microseconds(proxiedDelay-directDelay),
			float64(int64(proxiedBytes)-int64(directBytes))/1024)
	}
	fitLine("path_added_processor_time", "token", "us", added)
}
