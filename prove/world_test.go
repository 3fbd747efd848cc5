// ================================================================
// A small world: entries and agents of three failure domains, as whole
// processes but for the main function, over the network in memory.
//
//	domain a: entry-1 (voter), entry-4, agent-1, agent-2
//	domain b: entry-2 (voter), agent-3, agent-4
//	domain c: entry-3 (voter), agent-5 with the plain service
// ================================================================

package prove

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/internal/memnet"
	"github.com/tidepost/tidepost/pkg/agent"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/engine"
	"github.com/tidepost/tidepost/pkg/entry"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/invariant"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/vm"
)

// latency is what every write takes to arrive.
const latency = time.Millisecond

// place says where a process stands.
type place struct {
	domain  string
	address string
	voter   bool
}

var entryPlaces = map[string]place{
	"entry-1": {"a", "127.0.0.1:7001", true},
	"entry-2": {"b", "127.0.0.2:7001", true},
	"entry-3": {"c", "127.0.0.3:7001", true},
	"entry-4": {"a", "127.0.0.4:7001", false},
}

var agentPlaces = map[string]place{
	"agent-1": {"a", "127.0.0.11:7001", false},
	"agent-2": {"a", "127.0.0.12:7001", false},
	"agent-3": {"b", "127.0.0.13:7001", false},
	"agent-4": {"b", "127.0.0.14:7001", false},
	"agent-5": {"c", "127.0.0.15:7001", false},
}

// process is a running entry or agent.
type process struct {
	signals chan os.Signal
	done    chan struct{}
}

// world is the whole.
type world struct {
	t       *testing.T
	random  *rand.Rand
	network *memnet.Network
	folder  string
	ledger  *ledger
	origin  *origin
	service *plainService
	engines map[string]*modelEngine

	entryFaults entry.Faults
	agentFaults agent.Faults
	// agentSettings are the lines of an agent's settings about its engine.
	agentSettings string
	beforeSend    func(attempt string)
	sendAnswer    func(send func(contract.ResponsePart) error, part contract.ResponsePart) error
	// mangle is for hooks that run beside the scenario, each under a lock of
	// its own, so that random stays with the scenario.
	mangle *rand.Rand
	// mangling says that the scenario damages answers on purpose.
	mangling bool

	mu        sync.Mutex
	processes map[string]*process
	entries   map[string]*entry.Entry
	agents    map[string]*agent.Agent
	operator  *link.Endpoint
	faults    int
	requests  sync.WaitGroup
	restore   func()
}

func newWorld(t *testing.T, seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, seed))
	w := &world{
		t: t, random: random, network: memnet.New(latency), folder: t.TempDir(), ledger: newLedger(),
		origin:  newOrigin(rand.New(rand.NewPCG(seed, 2))),
		engines: map[string]*modelEngine{}, processes: map[string]*process{}, entries: map[string]*entry.Entry{},
		agentSettings: "engine: {url: \"http://127.0.0.1:1\", checks_fences: true}",
		beforeSend:    func(string) {}, agents: map[string]*agent.Agent{},
		mangle: rand.New(rand.NewPCG(seed, 3)),
	}
	w.service = &plainService{ledger: w.ledger}
	w.origin.put("v1", 1)
	w.origin.put("v2", 2)
	w.operator = link.NewEndpoint(link.Config{
		Own: vm.NewIdentity("operator", 1, "", "", ""), Clock: event.NewClock(time.Now),
		Logger: log.NewNopLogger(), Dial: w.network.Dial("operator"),
	})
	w.restore = invariant.Listen(func(name, detail string) {
		if w.mangling && strings.HasPrefix(name, "answer_") {
			// The very check that the scenario calls for.
			return
		}
		w.ledger.violation("invariant %s: %s", name, detail)
	})
	return w
}

// start brings everything up with version v1 in force.
func (w *world) start() {
	for _, name := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		w.startEntry(name)
	}
	time.Sleep(100 * time.Millisecond)
	w.must(w.call("entry-1", link.KindVoterChange, contract.NewVoterChange(contract.VoterBootstrap, "", "", 0), &contract.Acknowledgement{}))
	for _, name := range []string{"entry-2", "entry-3"} {
		w.eventually("voter "+name, func() bool {
			c := contract.NewVoterChange(contract.VoterAdd, "", entryPlaces[name].address, 0)
			return w.call("entry-1", link.KindVoterChange, c, &contract.Acknowledgement{}) == nil
		})
	}
	for name := range agentPlaces {
		w.startAgent(name)
	}
	_, err := w.apply("entry-1", "base", 0, "v1")
	w.must(err)
	w.eventually("all replicas ready", func() bool { return w.ready("v1") == len(agentPlaces) })
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// patience is how long the world waits for something to come about, in
// virtual time.
const patience = 2 * time.Minute

func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("%s: not within %s", what, patience)
}

// ----------------------------------------------------------------
// Processes

func (w *world) write(name, text string) string {
	path := filepath.Join(w.folder, name+".yaml")
	w.must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (w *world) seams(name string) daemon.Seams {
	return daemon.Seams{Listen: w.network.Listen(name), Dial: w.network.Dial(name), Log: io.Discard}
}

func (w *world) startEntry(name string) {
	p := entryPlaces[name]
	var others []string
	for other, q := range entryPlaces {
		if other != name {
			others = append(others, q.address)
		}
	}
	path := w.write(name, fmt.Sprintf(`
vm: {name: %s, region: %s, failure_domain: %s}
data: {folder: %s}
peers: {listen: "%s", entries: ["%s"]}
callers: {listen: "%s"}
control_log: {voter: %t}
drain: {notice: 1s, limit: 30s}
`, name, p.domain, p.domain, filepath.Join(w.folder, name), p.address, strings.Join(others, `", "`),
		strings.Replace(p.address, ":7001", ":8001", 1), p.voter))
	s, err := settings.LoadEntry(path)
	w.must(err)
	e, err := entry.New(s, entry.Hooks{
		Seams: w.seams(name), Manifest: w.origin.manifest, Faults: w.entryFaults,
		BeforeSend: func(attempt string) { w.beforeSend(attempt) },
	})
	w.must(err)
	w.mu.Lock()
	w.entries[name] = e
	w.mu.Unlock()
	w.run(name, e.Run)
}

func (w *world) startAgent(name string) {
	p := agentPlaces[name]
	var entries []string
	for _, q := range entryPlaces {
		if q.domain == p.domain {
			entries = append(entries, q.address)
		}
	}
	path := w.write(name, fmt.Sprintf(`
vm: {name: %s, region: %s, failure_domain: %s, labels: {purpose: menu, vm: %s}}
data: {folder: %s}
peers: {listen: "%s", entries: ["%s"]}
%s
drain: {limit: 30s}
`, name, p.domain, p.domain, name, filepath.Join(w.folder, name), p.address, strings.Join(entries, `", "`), w.agentSettings))
	s, err := settings.LoadAgent(path)
	w.must(err)
	w.mu.Lock()
	if w.engines[name] == nil {
		w.engines[name] = newModelEngine(w.ledger)
	}
	w.mu.Unlock()
	seams := agent.Hooks{Seams: w.seams(name), Engine: w.engines[name].engine(), FetchFromSource: w.origin.draw, SendAnswer: w.sendAnswer, Faults: w.agentFaults}
	if name == "agent-5" || name == "agent-1" {
		seams.Services = map[string]*engine.Engine{"ordering": w.service.engine()}
	}
	a, err := agent.New(s, seams)
	w.must(err)
	w.mu.Lock()
	w.agents[name] = a
	w.mu.Unlock()
	w.run(name, a.Run)
}

func (w *world) run(name string, run func(<-chan os.Signal) error) {
	p := &process{signals: make(chan os.Signal, 1), done: make(chan struct{})}
	w.mu.Lock()
	w.processes[name] = p
	w.mu.Unlock()
	go func() {
		defer close(p.done)
		if err := run(p.signals); err != nil {
			w.ledger.violation("%s ended: %v", name, err)
		}
	}()
}

// kill ends a process without a word and waits until it is gone.
func (w *world) kill(name string) {
	w.mu.Lock()
	p := w.processes[name]
	delete(w.processes, name)
	delete(w.entries, name)
	delete(w.agents, name)
	w.mu.Unlock()
	if p == nil {
		return
	}
	w.network.DisconnectHost(name)
	p.signals <- os.Kill
	<-p.done
}

// terminate asks a process to leave in order, and returns its end.
func (w *world) terminate(name string) <-chan struct{} {
	w.mu.Lock()
	p := w.processes[name]
	w.mu.Unlock()
	p.signals <- os.Interrupt
	return p.done
}

func (w *world) up(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[name] != nil
}

// stop ends everything, and every goroutine with it.
func (w *world) stop() {

	w.network.RestoreAll()
	w.requests.Wait()
	w.mu.Lock()
	var names []string
	for name := range w.processes {
		names = append(names, name)
	}
	w.mu.Unlock()
	for _, name := range names {
		w.kill(name)
	}
	w.operator.Close()
	w.network.DisconnectHost("operator")
	w.restore()
	time.Sleep(time.Minute)
}

// ----------------------------------------------------------------
// Operators

func (w *world) call(to string, kind link.Kind, request, answer any) error {
	p, ok := entryPlaces[to]
	if !ok {
		p = agentPlaces[to]
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return w.operator.Call(ctx, p.address, kind, request, answer)
}

// apply puts a version of the model, an organisation and the service in force.
func (w *world) apply(at, id string, base uint64, version string) (contract.ChangeResult, error) {
	var objects []contract.Object
	add := func(kind contract.ObjectKind, name string, body any) {
		o, err := contract.EncodeObject(kind, name, body)
		w.must(err)
		objects = append(objects, o)
	}
	add(contract.KindSource, "origin", contract.NewSource("http://origin", false))
	add(contract.KindOrganisation, "larder", contract.NewOrganisation(4, 0))
	add(contract.KindGroup, "menu", contract.NewGroup("purpose=menu", "menu", version, contract.RoleServe))
	add(contract.KindService, "ordering", contract.NewService("purpose=menu", false))
	return w.submit(at, id, base, objects, []contract.ModelName{contract.NewModelName("menu", version)})
}

func (w *world) submit(at, id string, base uint64, objects []contract.Object, models []contract.ModelName) (contract.ChangeResult, error) {
	content := contract.DigestOf([]byte(fmt.Sprint(id, base, len(objects), models)))
	change := contract.NewChange(id, "operator", base, objects, content)
	var result contract.ChangeResult
	err := w.call(at, link.KindApply, contract.NewApply(change, models), &result)
	return result, err
}

func (w *world) status(at string) (contract.Status, error) {
	var s contract.Status
	err := w.call(at, link.KindStatus, contract.Acknowledgement{}, &s)
	return s, err
}

// ready counts the replicas that entries see ready with a version.
func (w *world) ready(version string) int {
	manifest, err := w.origin.manifest(context.Background(), "", contract.NewModelName("menu", version))
	w.must(err)
	digest := manifest.Digest()
	n := 0
	for _, at := range []string{"entry-1", "entry-2", "entry-3"} {
		s, err := w.status(at)
		if err != nil {
			continue
		}
		for _, a := range s.Agents() {
			for _, c := range a.LastHeartbeat().Copies() {
				if c.Digest() == digest && c.Phase() == contract.PhaseReady && a.Leaving() == "" {
					n++
				}
			}
		}
	}
	return n
}

// ----------------------------------------------------------------
// Callers

// answer is what a caller got.
type answer struct {
	status  int
	body    string
	ran     string
	aborted bool
}

// whole tells whether the caller has reason to take the answer for whole.
func (a answer) whole() bool {
	return a.status == http.StatusOK && !a.aborted && !strings.Contains(a.body, "event: error")
}

// saysNotRun tells whether the caller was told that nothing ran.
func (a answer) saysNotRun() bool {
	return a.status != http.StatusOK && a.ran == failure.NotRun.String()
}

// ask sends a request to an entry, as the balancer would.
func (w *world) ask(at, path, body string, headers map[string]string) answer {
	w.mu.Lock()
	e := w.entries[at]
	w.mu.Unlock()
	if e == nil {
		return answer{status: http.StatusBadGateway, ran: failure.RanUnknown.String()}
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set(entry.HeaderOrganisation, "larder")
	r.Header.Set(entry.HeaderDeadline, "20s")
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	recorder := httptest.NewRecorder()
	aborted := false
	func() {
		defer func() { aborted = recover() != nil }()
		e.Handler().ServeHTTP(recorder, r)
	}()
	return answer{recorder.Code, recorder.Body.String(), recorder.Header().Get(entry.HeaderRan), aborted}
}

// chat asks the model; the body names the request.
func (w *world) chat(at, name string) (string, answer) {
	body := fmt.Sprintf(`{"model":"menu","stream":true,"name":%q}`, name)
	return body, w.ask(at, "/v1/chat/completions", body, nil)
}

// order sends an order to the plain service under a key.
func (w *world) order(at, key, body string) answer {
	headers := map[string]string{}
	if key != "" {
		headers[entry.HeaderIdempotencyKey] = key
	}
	return w.ask(at, "/services/ordering/orders", body, headers)
}

// background runs a caller beside the scenario.
func (w *world) background(f func()) {
	w.requests.Add(1)
	go func() {
		defer w.requests.Done()
		f()
	}()
}

func (w *world) pick(names ...string) string { return names[w.random.IntN(len(names))] }
