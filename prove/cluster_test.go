// ================================================================
// An in-process cluster for the proofs: complete entries and agents (all but
// their main function) in three failure domains, over an in-memory network.
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

// linkLatency is the delivery delay of every write on the in-memory network.
const linkLatency = time.Millisecond

// location is the failure domain and the link address of a process, and whether it is a voter.
type location struct {
	domain  string
	address string
	voter   bool
}

var entryLocations = map[string]location{
	"entry-1": {"a", "127.0.0.1:7001", true},
	"entry-2": {"b", "127.0.0.2:7001", true},
	"entry-3": {"c", "127.0.0.3:7001", true},
	"entry-4": {"a", "127.0.0.4:7001", false},
}

var agentLocations = map[string]location{
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

// cluster holds the processes, the network between them, the backend servers and the run's results.
type cluster struct {
	t       *testing.T
	random  *rand.Rand
	network *memnet.Network
	folder  string
	record  *runRecord
	origin  *origin
	service *plainService
	engines map[string]*modelEngine

	entryFaults entry.Faults
	agentFaults agent.Faults
	// agentSettings is the part of an agent's settings file that describes its engine.
	agentSettings string
	beforeSend    func(attempt string)
	sendResponse  func(send func(contract.ResponsePart) error, part contract.ResponsePart) error
	// faultRandom is used by hooks that run concurrently with the scenario, each under its own
	// lock. Only the scenario uses random, so that its sequence depends on the seed alone.
	faultRandom *rand.Rand
	// damagesResponses is set if the scenario damages responses on purpose.
	damagesResponses bool

	mu             sync.Mutex
	processes      map[string]*process
	entries        map[string]*entry.Entry
	agents         map[string]*agent.Agent
	operator       *link.Endpoint
	faultCount     int
	callers        sync.WaitGroup
	removeListener func()
}

func newCluster(t *testing.T, seed uint64) *cluster {
	random := rand.New(rand.NewPCG(seed, seed))
	cl := &cluster{
		t: t, random: random, network: memnet.New(linkLatency), folder: t.TempDir(), record: newRunRecord(),
		origin:  newOrigin(rand.New(rand.NewPCG(seed, 2))),
		engines: map[string]*modelEngine{}, processes: map[string]*process{}, entries: map[string]*entry.Entry{},
		agentSettings: "engine: {url: \"http://127.0.0.1:1\", checks_fences: true}",
		beforeSend:    func(string) {}, agents: map[string]*agent.Agent{},
		faultRandom: rand.New(rand.NewPCG(seed, 3)),
	}
	cl.service = &plainService{record: cl.record}
	cl.origin.put("v1", 1)
	cl.origin.put("v2", 2)
	cl.operator = link.NewEndpoint(link.Config{
		Self: vm.NewIdentity("operator", 1, "", "", ""), Clock: event.NewClock(time.Now),
		Logger: log.NewNopLogger(), Dial: cl.network.Dial("operator"),
	})
	cl.removeListener = invariant.Listen(func(name, detail string) {
		if cl.damagesResponses && strings.HasPrefix(name, "answer_") {
			// The scenario damages responses, so this invariant is expected to report them.
			return
		}
		cl.record.addViolation("invariant %s: %s", name, detail)
	})
	return cl
}

// start starts all processes, forms the voters, and returns once every replica is ready with
// version v1.
func (cl *cluster) start() {
	for _, name := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		cl.startEntry(name)
	}
	time.Sleep(100 * time.Millisecond)
	cl.must(cl.call("entry-1", link.KindVoterChange, contract.NewVoterChange(contract.VoterBootstrap, "", "", 0), &contract.Acknowledgement{}))
	for _, name := range []string{"entry-2", "entry-3"} {
		cl.eventually("voter "+name, func() bool {
			c := contract.NewVoterChange(contract.VoterAdd, "", entryLocations[name].address, 0)
			return cl.call("entry-1", link.KindVoterChange, c, &contract.Acknowledgement{}) == nil
		})
	}
	for name := range agentLocations {
		cl.startAgent(name)
	}
	_, err := cl.apply("entry-1", "base", 0, "v1")
	cl.must(err)
	cl.eventually("all replicas ready", func() bool { return cl.ready("v1") == len(agentLocations) })
}

func (cl *cluster) must(err error) {
	cl.t.Helper()
	if err != nil {
		cl.t.Fatal(err)
	}
}

// eventuallyTimeout bounds every wait of eventually, in virtual time.
const eventuallyTimeout = 2 * time.Minute

// eventually polls holds until it is true, and fails the test after eventuallyTimeout.
func (cl *cluster) eventually(what string, holds func() bool) {
	cl.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	cl.t.Fatalf("%s: did not happen within %s", what, eventuallyTimeout)
}

// ----------------------------------------------------------------
// Processes

func (cl *cluster) writeSettings(name, text string) string {
	path := filepath.Join(cl.folder, name+".yaml")
	cl.must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (cl *cluster) hooks(name string) daemon.Hooks {
	return daemon.Hooks{Listen: cl.network.Listen(name), Dial: cl.network.Dial(name), Log: io.Discard}
}

func (cl *cluster) startEntry(name string) {
	p := entryLocations[name]
	var otherAddresses []string
	for other, q := range entryLocations {
		if other != name {
			otherAddresses = append(otherAddresses, q.address)
		}
	}
	path := cl.writeSettings(name, fmt.Sprintf(`
vm: {name: %s, region: %s, failure_domain: %s}
data: {folder: %s}
peers: {listen: "%s", entries: ["%s"]}
callers: {listen: "%s"}
control_log: {voter: %t}
drain: {notice: 1s, limit: 30s}
`, name, p.domain, p.domain, filepath.Join(cl.folder, name), p.address, strings.Join(otherAddresses, `", "`),
		strings.Replace(p.address, ":7001", ":8001", 1), p.voter))
	s, err := settings.LoadEntry(path)
	cl.must(err)
	e, err := entry.New(s, entry.Hooks{
		Hooks: cl.hooks(name), FetchManifest: cl.origin.manifest, Faults: cl.entryFaults,
		BeforeSend: func(attempt string) { cl.beforeSend(attempt) },
	})
	cl.must(err)
	cl.mu.Lock()
	cl.entries[name] = e
	cl.mu.Unlock()
	cl.run(name, e.Run)
}

func (cl *cluster) startAgent(name string) {
	p := agentLocations[name]
	var entries []string
	for _, q := range entryLocations {
		if q.domain == p.domain {
			entries = append(entries, q.address)
		}
	}
	path := cl.writeSettings(name, fmt.Sprintf(`
vm: {name: %s, region: %s, failure_domain: %s, labels: {purpose: menu, vm: %s}}
data: {folder: %s}
peers: {listen: "%s", entries: ["%s"]}
%s
drain: {limit: 30s}
`, name, p.domain, p.domain, name, filepath.Join(cl.folder, name), p.address, strings.Join(entries, `", "`), cl.agentSettings))
	s, err := settings.LoadAgent(path)
	cl.must(err)
	cl.mu.Lock()
	if cl.engines[name] == nil {
		cl.engines[name] = newModelEngine(cl.record)
	}
	cl.mu.Unlock()
	hooks := agent.Hooks{Hooks: cl.hooks(name), Engine: cl.engines[name].engine(), FetchFromSource: cl.origin.fetchChunk, SendResponsePart: cl.sendResponse, Faults: cl.agentFaults}
	if name == "agent-5" || name == "agent-1" {
		hooks.Services = map[string]*engine.Engine{"ordering": cl.service.engine()}
	}
	a, err := agent.New(s, hooks)
	cl.must(err)
	cl.mu.Lock()
	cl.agents[name] = a
	cl.mu.Unlock()
	cl.run(name, a.Run)
}

func (cl *cluster) run(name string, run func(<-chan os.Signal) error) {
	p := &process{signals: make(chan os.Signal, 1), done: make(chan struct{})}
	cl.mu.Lock()
	cl.processes[name] = p
	cl.mu.Unlock()
	go func() {
		defer close(p.done)
		if err := run(p.signals); err != nil {
			cl.record.addViolation("%s ended: %v", name, err)
		}
	}()
}

// kill ends a process without a graceful shutdown, breaking its connections first, and waits
// for it to end.
func (cl *cluster) kill(name string) {
	cl.mu.Lock()
	p := cl.processes[name]
	delete(cl.processes, name)
	delete(cl.entries, name)
	delete(cl.agents, name)
	cl.mu.Unlock()
	if p == nil {
		return
	}
	cl.network.DisconnectHost(name)
	p.signals <- os.Kill
	<-p.done
}

// terminate starts a process's graceful shutdown; the returned channel is closed when it has ended.
func (cl *cluster) terminate(name string) <-chan struct{} {
	cl.mu.Lock()
	p := cl.processes[name]
	cl.mu.Unlock()
	p.signals <- os.Interrupt
	return p.done
}

func (cl *cluster) isRunning(name string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.processes[name] != nil
}

// stop ends all processes. It then sleeps for a minute of virtual time, so that the remaining
// goroutines reach their timeouts and end within the bubble.
func (cl *cluster) stop() {
	cl.network.RestoreAll()
	cl.callers.Wait()
	cl.mu.Lock()
	var names []string
	for name := range cl.processes {
		names = append(names, name)
	}
	cl.mu.Unlock()
	for _, name := range names {
		cl.kill(name)
	}
	cl.operator.Close()
	cl.network.DisconnectHost("operator")
	cl.removeListener()
	time.Sleep(time.Minute)
}

// ----------------------------------------------------------------
// Operators

func (cl *cluster) call(to string, kind link.Kind, request, response any) error {
	p, ok := entryLocations[to]
	if !ok {
		p = agentLocations[to]
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return cl.operator.Call(ctx, p.address, kind, request, response)
}

// apply submits a change that configures the origin, an organisation, the service, and the group
// with the given model version.
func (cl *cluster) apply(at, id string, base uint64, version string) (contract.ChangeResult, error) {
	var objects []contract.Object
	add := func(kind contract.ObjectKind, name string, body any) {
		o, err := contract.EncodeObject(kind, name, body)
		cl.must(err)
		objects = append(objects, o)
	}
	add(contract.KindSource, "origin", contract.NewSource("http://origin", false))
	add(contract.KindOrganisation, "larder", contract.NewOrganisation(4, 0))
	add(contract.KindGroup, "menu", contract.NewGroup("purpose=menu", "menu", version, contract.RoleServe))
	add(contract.KindService, "ordering", contract.NewService("purpose=menu", false))
	return cl.submit(at, id, base, objects, []contract.ModelVersion{contract.NewModelVersion("menu", version)})
}

func (cl *cluster) submit(at, id string, base uint64, objects []contract.Object, models []contract.ModelVersion) (contract.ChangeResult, error) {
	content := contract.DigestOf([]byte(fmt.Sprint(id, base, len(objects), models)))
	change := contract.NewChange(id, "operator", base, objects, content)
	var result contract.ChangeResult
	err := cl.call(at, link.KindApply, contract.NewApplyRequest(change, models), &result)
	return result, err
}

func (cl *cluster) status(at string) (contract.Status, error) {
	var s contract.Status
	err := cl.call(at, link.KindStatus, contract.Acknowledgement{}, &s)
	return s, err
}

// ready returns how many replicas the voters report as ready with a version and not leaving. An
// agent counts once for each voter that lists it.
func (cl *cluster) ready(version string) int {
	manifest, err := cl.origin.manifest(context.Background(), "", contract.NewModelVersion("menu", version))
	cl.must(err)
	digest := manifest.Digest()
	n := 0
	for _, at := range []string{"entry-1", "entry-2", "entry-3"} {
		s, err := cl.status(at)
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

// callerResponse is a caller's view of a response. ran is the header that states whether the request was
// executed; aborted is set if the handler aborted the connection.
type callerResponse struct {
	status  int
	body    string
	ran     string
	aborted bool
}

// isComplete reports whether the caller must take the response as complete.
func (a callerResponse) isComplete() bool {
	return a.status == http.StatusOK && !a.aborted && !strings.Contains(a.body, "event: error")
}

// saysNotRun reports whether the response states that the request was not executed.
func (a callerResponse) saysNotRun() bool {
	return a.status != http.StatusOK && a.ran == failure.NotRun.String()
}

// post sends a request to an entry, as the load balancer in front of the entries would.
func (cl *cluster) post(at, path, body string, headers map[string]string) callerResponse {
	cl.mu.Lock()
	e := cl.entries[at]
	cl.mu.Unlock()
	if e == nil {
		return callerResponse{status: http.StatusBadGateway, ran: failure.RanUnknown.String()}
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
	return callerResponse{recorder.Code, recorder.Body.String(), recorder.Header().Get(entry.HeaderRan), aborted}
}

// chat sends a chat request and returns its body, which is unique to the name, with the response.
func (cl *cluster) chat(at, name string) (string, callerResponse) {
	body := fmt.Sprintf(`{"model":"menu","stream":true,"name":%q}`, name)
	return body, cl.post(at, "/v1/chat/completions", body, nil)
}

// orderFromService sends an order to the plain service, with an idempotency key unless it is empty.
func (cl *cluster) orderFromService(at, key, body string) callerResponse {
	headers := map[string]string{}
	if key != "" {
		headers[entry.HeaderIdempotencyKey] = key
	}
	return cl.post(at, "/services/ordering/orders", body, headers)
}

// background runs a caller concurrently with the scenario; stop waits for it.
func (cl *cluster) background(f func()) {
	cl.callers.Add(1)
	go func() {
		defer cl.callers.Done()
		f()
	}()
}

func (cl *cluster) pick(names ...string) string { return names[cl.random.IntN(len(names))] }
