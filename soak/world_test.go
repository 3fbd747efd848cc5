// ================================================================
// A small world on loopback: each VM has an address of its own, and a proxy
// stands wherever one program dials another.
//
//	127.n.1.i  control node i       links 7700 (proxy) to 7701
//	127.n.2.i  gateway i            callers 8005, readiness 8002, links 7700 (proxy) to 7701
//	127.n.3.i  engine and stager i  links 7700 (proxy) to 7701, engine 9000 (proxy) to 9001
//	127.n.4.i  plain server i       9000 (proxy) to 9001; the origin 9100 on the first
//	127.n.5.i  ending server i      9001, without a proxy: its port closes when it ends
//	127.n.6.i  ending engine i      9001 as above, and its stager with links 7700 (proxy) to 7701
//
// Links go to one port on every VM, so a stager is found at its engine's host: the
// proxies have that port, and the programs listen beside it and tell the proxy's
// address as their own.
// ================================================================

package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
	"github.com/tidepost/tidepost/platform/standin"
)

const (
	linkPort    = 7700
	ownLinkPort = 7701
	callsPort   = 8000
	readyPort   = 8002
	callersPort = 8005
	serverPort  = 9000
	ownServer   = 9001
	originPort  = 9100
)

// The third number of addresses.
const (
	controlVMs = iota + 1
	gatewayVMs
	engineVMs
	plainVMs
	endingVMs
	endingEngineVMs
)

// size says how many of each there are, how long a plain server takes, and within
// what time a named version is to be in force.
type size struct {
	control, gateways, engines, plain int
	plainTakes, within                time.Duration
	// reserve is how many repeats all gateways together may cause besides their share of the
	// requests.
	reserve int
	// notice is how long a gateway that is to end still takes callers.
	notice time.Duration
	// ending is how many plain servers end when they run endingBody, and sameInstance has
	// them start again under the instance that they had.
	ending       int
	sameInstance bool
	// endingEngines is how many engines end when they run it.
	endingEngines int
	// tolerate is how many control nodes may be lost at one moment.
	tolerate int
}

// figures are those of the engines.
var figures = standin.EngineParams{
	Slots: 12, QueueLimit: 6, Step: 9270 * time.Microsecond, PerSequence: 23 * time.Microsecond, Stride: 5,
	ReadPerSecond: 20700, Prompt: 800, Answer: 80,
}

const (
	beatEvery = 1200 * time.Millisecond
	// stopLimit is how long a planned stop may take in all, and quickNotice how long a
	// gateway still takes callers in runs that are no test of it.
	stopLimit   = 8 * time.Second
	quickNotice = 100 * time.Millisecond
	// usualReserve is what the settings have where they say nothing.
	usualReserve = 20
	// chunkTakes has the origin send a copy within a second.
	chunkTakes = 25 * time.Millisecond
)

// world is the whole.
type world struct {
	t    *testing.T
	size size
	net  int // the second number of addresses
	// programs are the processes.
	programs *programs
	ledger   *standin.RunLog
	origin   *standin.Origin
	// engines and plain servers are in the order of their addresses.
	engines  []*standin.Engine
	plain    []*standin.Server
	ending   []*standin.CrashingServer // plain ones first, then engines
	operator standin.Operator
	// named are the versions named so far, with when that was acknowledged.
	named map[uint64]time.Time
	// links and servers are the proxies, by the third number of the address.
	links, servers map[int][]*faultproxy.Proxy
}

// startWorld starts everything and puts the configuration. Logs go to a folder.
func startWorld(t *testing.T, s size, folder string) *world {
	if s.notice == 0 {
		s.notice = quickNotice
	}
	s.tolerate = max(s.tolerate, 1)
	s.reserve = cmp.Or(s.reserve, usualReserve)
	w := &world{
		t: t, size: s, net: freeNet(t), ledger: standin.NewRunLog(),
		origin: &standin.Origin{ChunkTime: chunkTakes}, named: map[uint64]time.Time{},
		links: map[int][]*faultproxy.Proxy{}, servers: map[int][]*faultproxy.Proxy{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	// The programs end before the proxies do: cleanups run last first.
	w.startProxies()
	w.startServers(ctx)
	w.startEnding(ctx)
	w.programs = newPrograms(t, folder)
	w.startPrograms()
	w.operator = standin.Operator{ControlNodes: w.controlCalls(), Origin: w.at(plainVMs, 0, originPort)}
	w.must(w.operator.Configure(ctx, figures))
	w.name(ctx, standin.FirstVersion)
	for i := range s.gateways {
		w.must(standin.AwaitReady(ctx, w.at(gatewayVMs, i, readyPort)))
	}
	return w
}

// name publishes a version of the weights and names it.
func (w *world) name(ctx context.Context, version uint64) {
	w.t.Helper()
	w.origin.Publish(version)
	w.must(w.operator.SetWeightsVersion(ctx, version))
	w.named[version] = time.Now()
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// at returns the address of a port on the VM with an index.
func (w *world) at(kind, index, port int) string {
	return fmt.Sprintf("%s:%d", w.host(kind, index), port)
}

func (w *world) host(kind, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.net, kind, index+1)
}

// freeNet returns a second number of addresses that no other run uses: the
// listener that shows it stays open until the end of the test.
func freeNet(t *testing.T) int {
	const first, last = 20, 250
	for n := first; n <= last; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, linkPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return n
		}
	}
	t.Fatal("no range of loopback addresses is free")
	return 0
}

// ----------------------------------------------------------------
// Proxies

func (w *world) startProxies() {
	for i := range w.size.control {
		w.proxy(w.links, controlVMs, i, linkPort, ownLinkPort, labelLink)
	}
	for i := range w.size.gateways {
		w.proxy(w.links, gatewayVMs, i, linkPort, ownLinkPort, labelLink)
	}
	for i := range w.size.engines {
		w.proxy(w.links, engineVMs, i, linkPort, ownLinkPort, labelLink)
		w.proxy(w.servers, engineVMs, i, serverPort, ownServer, labelRequest)
	}
	for i := range w.size.plain {
		w.proxy(w.servers, plainVMs, i, serverPort, ownServer, labelRequest)
	}
	for i := range w.size.endingEngines {
		w.proxy(w.links, endingEngineVMs, i, linkPort, ownLinkPort, labelLink)
	}
}

func (w *world) proxy(all map[int][]*faultproxy.Proxy, kind, index, port, target int, label func([]byte) string) {
	p, err := faultproxy.Listen(faultproxy.Config{Listen: w.at(kind, index, port), Target: w.at(kind, index, target), Label: label})
	w.must(err)
	w.t.Cleanup(p.Close)
	all[kind] = append(all[kind], p)
}

var programName = regexp.MustCompile(`(control|gateway|stager)-[0-9]+`)

// labelLink returns the name of the program that dials a link: its handshake
// begins with it.
func labelLink(first []byte) string { return string(programName.Find(first)) }

// labelRequest tells the two who call an engine apart: gateways send requests, and
// its stager makes the engine's own calls.
func labelRequest(first []byte) string {
	if bytes.Contains(first, []byte(" /api/")) {
		return "stager"
	}
	return "gateway"
}

// ----------------------------------------------------------------
// Stand-ins

func (w *world) controlCalls() []string {
	var all []string
	for i := range w.size.control {
		all = append(all, w.at(controlVMs, i, callsPort))
	}
	return all
}

func (w *world) startServers(ctx context.Context) {
	serve := func(run func(context.Context, string) error, address string) {
		go func() {
			if err := run(ctx, address); err != nil {
				w.t.Error(err)
			}
		}()
	}
	serve(w.origin.Run, w.at(plainVMs, 0, originPort))
	for i := range w.size.engines {
		e := standin.NewEngine(fmt.Sprintf("e-%d", i+1), figures, w.ledger)
		w.engines = append(w.engines, e)
		serve(e.Run, w.at(engineVMs, i, ownServer))
		w.beat(ctx, e.Instance, standin.EngineService, engineVMs, i, e)
	}
	for i := range w.size.plain {
		s := &standin.Server{Instance: fmt.Sprintf("p-%d", i+1), ServiceTime: w.size.plainTakes, RunLog: w.ledger}
		w.plain = append(w.plain, s)
		serve(s.Run, w.at(plainVMs, i, ownServer))
		w.beat(ctx, s.Instance, standin.PlainService, plainVMs, i, nil)
	}
}

// startEnding starts the servers that end.
func (w *world) startEnding(ctx context.Context) {
	for i := range w.size.ending {
		w.startOneEnding(ctx, fmt.Sprintf("x-%d", i+1), standin.PlainService, endingVMs, i, nil)
	}
	for i := range w.size.endingEngines {
		w.startOneEnding(ctx, fmt.Sprintf("y-%d", i+1), standin.EngineService, endingEngineVMs, i, &figures)
	}
}

func (w *world) startOneEnding(ctx context.Context, instance, service string, kind, index int, f *standin.EngineParams) {
	s := &standin.CrashingServer{
		Heartbeats: standin.Heartbeats{
			Instance: instance, Service: service, Address: w.at(kind, index, ownServer),
			Zone: zone(index), Slots: figures.Slots, Interval: beatEvery, ControlNodes: w.controlCalls(),
		},
		ServiceTime: w.size.plainTakes, RunLog: w.ledger, CrashBody: endingBody, CrashDelay: endsAfter, Downtime: endedFor,
		SameInstance: w.size.sameInstance, EngineParams: f,
	}
	w.ending = append(w.ending, s)
	go func() {
		if err := s.Run(ctx); err != nil {
			w.t.Error(err)
		}
	}()
}

func (w *world) beat(ctx context.Context, instance, service string, kind, index int, engine *standin.Engine) {
	b := &standin.Heartbeats{
		Instance: instance, Service: service, Address: w.at(kind, index, serverPort), Zone: zone(index),
		Slots: figures.Slots, Engine: engine, Interval: beatEvery, ControlNodes: w.controlCalls(),
	}
	go b.Run(ctx)
}

// zones is how many failure domains there are.
const zones = 3

func zone(index int) string { return fmt.Sprintf("hall-%c", 'a'+index%zones) }

// ----------------------------------------------------------------
// Programs

func (w *world) startPrograms() {
	p, seeds := w.programs, w.seeds()
	for i := range w.size.control {
		w.startControl(i, true)
	}
	for i := range w.size.engines {
		w.startStager(nameOf("stager", i), engineVMs, i, serverPort)
	}
	for i := range w.size.endingEngines {
		w.startStager(nameOf("stager", w.size.engines+i), endingEngineVMs, i, ownServer)
	}
	for i := range w.size.gateways {
		name := nameOf("gateway", i)
		p.start("tidepost-gateway", name, w.common(name, gatewayVMs, i)+fmt.Sprintf(`
callers: {listen: %q}
ready: {listen: %q}
control: {%s}
drain: {notice: %s, limit: %s}
retries: {reserve: %d}
weights: {within: %s}
`, w.at(gatewayVMs, i, callersPort), w.at(gatewayVMs, i, readyPort), seeds, w.size.notice, stopLimit, w.size.reserve, w.size.within))
	}
}

// startStager starts the stager beside an engine that takes calls at a port.
func (w *world) startStager(name string, kind, index, port int) {
	w.programs.start("tidepost-stager", name, w.common(name, kind, index)+fmt.Sprintf(`
control: {%s}
engine: {address: %q, service: %s}
weights: {within: %s}
`, w.seeds(), w.at(kind, index, port), standin.EngineService, w.size.within))
}

// seeds is the setting that names the control nodes.
func (w *world) seeds() string {
	return fmt.Sprintf(`seeds: ["%s"]`, strings.Join(w.controlCalls(), `", "`))
}

// startControl starts a control node; the first start of all may form the log.
func (w *world) startControl(i int, first bool) {
	name := nameOf("control", i)
	w.programs.start("tidepost-control", name, w.common(name, controlVMs, i)+fmt.Sprintf(`
data: {folder: %q}
control: {listen: %q, %s, bootstrap: %t, tolerate: %d}
backends: {heartbeat: %s}
weights: {cache: false}
`, w.dataOf(name), w.at(controlVMs, i, callsPort), w.seeds(), first, w.size.tolerate, beatEvery))
}

// dataOf is the data folder of a control node.
func (w *world) dataOf(name string) string { return filepath.Join(w.programs.folder, name) }

// nameOf returns the name of a program by its kind and index.
func nameOf(kind string, index int) string { return fmt.Sprintf("%s-%d", kind, index+1) }

// common are the settings that all programs have. Each listens behind its proxy.
func (w *world) common(name string, kind, index int) string {
	peers := fmt.Sprintf("listen: %q, advertise: %q", w.at(kind, index, ownLinkPort), w.at(kind, index, linkPort))
	return fmt.Sprintf("protocol: platform\nvm: {name: %s, region: north, failure_domain: %s}\npeers: {%s}\n", name, zone(index), peers)
}

// logFolder is where the programs' logs and data go: one that is named stays, and must be
// empty, since control nodes go on with the data that they find.
func logFolder(t *testing.T) string {
	const variable = "TIDEPOST_SOAK_LOGS"
	folder := os.Getenv(variable)
	if folder == "" {
		return t.TempDir()
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		t.Fatal(err)
	}
	if there, err := os.ReadDir(folder); err != nil || len(there) > 0 {
		t.Fatalf("%s holds %d files already (%v)", folder, len(there), err)
	}
	return folder
}
