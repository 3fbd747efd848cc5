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
	linkPort         = 7700
	linkTargetPort   = 7701
	controlPort      = 8000
	readyPort        = 8002
	callersPort      = 8005
	serverPort       = 9000
	serverTargetPort = 9001
	originPort       = 9100
)

// The third number of addresses.
const (
	controlVMs = iota + 1
	gatewayVMs
	engineVMs
	plainVMs
	crashingVMs
	crashingEngineVMs
)

// clusterConfig says how many of each there are, how long a plain server takes, and within
// what time a named version is to be in force.
type clusterConfig struct {
	control, gateways, engines, plain int
	plainServiceTime, rolloutDeadline time.Duration
	// retryReserve is how many repeats all gateways together may cause besides their share of the
	// requests.
	retryReserve int
	// drainNotice is how long a gateway that is to end still takes callers.
	drainNotice time.Duration
	// crashing is how many plain servers end when they run endingBody, and sameInstance has
	// them start again under the instance that they had.
	crashing     int
	sameInstance bool
	// crashingEngines is how many engines end when they run it.
	crashingEngines int
	// toleratedLosses is how many control nodes may be lost at one moment.
	toleratedLosses int
}

// engineFigures are those of the engines.
var engineFigures = standin.EngineParams{
	Slots: 12, QueueLimit: 6, Step: 9270 * time.Microsecond, PerSequence: 23 * time.Microsecond, Stride: 5,
	ReadPerSecond: 20700, Prompt: 800, Answer: 80,
}

const (
	heartbeatInterval = 1200 * time.Millisecond
	// drainLimit is how long a planned stop may take in all, and quickNotice how long a
	// gateway still takes callers in runs that are no test of it.
	drainLimit       = 8 * time.Second
	shortDrainNotice = 100 * time.Millisecond
	// defaultRetryReserve is what the settings have where they say nothing.
	defaultRetryReserve = 20
	// chunkServiceTime has the origin send a copy within a second.
	chunkServiceTime = 25 * time.Millisecond
)

// cluster is the whole.
type cluster struct {
	t      *testing.T
	config clusterConfig
	subnet int // the second number of addresses
	// programs are the processes.
	programs *programs
	ledger   *standin.RunLog
	origin   *standin.Origin
	// engines and plain servers are in the order of their addresses.
	engines  []*standin.Engine
	plain    []*standin.Server
	crashing []*standin.CrashingServer // plain ones first, then engines
	operator standin.Operator
	// namedAt are the versions named so far, with when that was acknowledged.
	namedAt map[uint64]time.Time
	// links and servers are the proxies, by the third number of the address.
	links, servers map[int][]*faultproxy.Proxy
}

// startCluster starts everything and puts the configuration. Logs go to a folder.
func startCluster(t *testing.T, s clusterConfig, folder string) *cluster {
	if s.drainNotice == 0 {
		s.drainNotice = shortDrainNotice
	}
	s.toleratedLosses = max(s.toleratedLosses, 1)
	s.retryReserve = cmp.Or(s.retryReserve, defaultRetryReserve)
	cl := &cluster{
		t: t, config: s, subnet: freeSubnet(t), ledger: standin.NewRunLog(),
		origin: &standin.Origin{ChunkTime: chunkServiceTime}, namedAt: map[uint64]time.Time{},
		links: map[int][]*faultproxy.Proxy{}, servers: map[int][]*faultproxy.Proxy{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	// The programs end before the proxies do: cleanups run last first.
	cl.startProxies()
	cl.startServers(ctx)
	cl.startCrashingServers(ctx)
	cl.programs = newPrograms(t, folder)
	cl.startPrograms()
	cl.operator = standin.Operator{ControlNodes: cl.controlAddresses(), Origin: cl.address(plainVMs, 0, originPort)}
	cl.must(cl.operator.Configure(ctx, engineFigures))
	cl.nameVersion(ctx, standin.FirstVersion)
	for i := range s.gateways {
		cl.must(standin.AwaitReady(ctx, cl.address(gatewayVMs, i, readyPort)))
	}
	return cl
}

// nameVersion publishes a version of the weights and names it.
func (cl *cluster) nameVersion(ctx context.Context, version uint64) {
	cl.t.Helper()
	cl.origin.Publish(version)
	cl.must(cl.operator.SetWeightsVersion(ctx, version))
	cl.namedAt[version] = time.Now()
}

func (cl *cluster) must(err error) {
	cl.t.Helper()
	if err != nil {
		cl.t.Fatal(err)
	}
}

// address returns the address of a port on the VM with an index.
func (cl *cluster) address(kind, index, port int) string {
	return fmt.Sprintf("%s:%d", cl.host(kind, index), port)
}

func (cl *cluster) host(kind, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", cl.subnet, kind, index+1)
}

// freeSubnet returns a second number of addresses that no other run uses: the
// listener that shows it stays open until the end of the test.
func freeSubnet(t *testing.T) int {
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

func (cl *cluster) startProxies() {
	for i := range cl.config.control {
		cl.addProxy(cl.links, controlVMs, i, linkPort, linkTargetPort, linkLabel)
	}
	for i := range cl.config.gateways {
		cl.addProxy(cl.links, gatewayVMs, i, linkPort, linkTargetPort, linkLabel)
	}
	for i := range cl.config.engines {
		cl.addProxy(cl.links, engineVMs, i, linkPort, linkTargetPort, linkLabel)
		cl.addProxy(cl.servers, engineVMs, i, serverPort, serverTargetPort, requestLabel)
	}
	for i := range cl.config.plain {
		cl.addProxy(cl.servers, plainVMs, i, serverPort, serverTargetPort, requestLabel)
	}
	for i := range cl.config.crashingEngines {
		cl.addProxy(cl.links, crashingEngineVMs, i, linkPort, linkTargetPort, linkLabel)
	}
}

func (cl *cluster) addProxy(all map[int][]*faultproxy.Proxy, kind, index, port, target int, label func([]byte) string) {
	p, err := faultproxy.Listen(faultproxy.Config{Listen: cl.address(kind, index, port), Target: cl.address(kind, index, target), Label: label})
	cl.must(err)
	cl.t.Cleanup(p.Close)
	all[kind] = append(all[kind], p)
}

var programNamePattern = regexp.MustCompile(`(control|gateway|stager)-[0-9]+`)

// linkLabel returns the name of the program that dials a link: its handshake
// begins with it.
func linkLabel(first []byte) string { return string(programNamePattern.Find(first)) }

// requestLabel tells the two who call an engine apart: gateways send requests, and
// its stager makes the engine's own calls.
func requestLabel(first []byte) string {
	if bytes.Contains(first, []byte(" /api/")) {
		return "stager"
	}
	return "gateway"
}

// ----------------------------------------------------------------
// Stand-ins

func (cl *cluster) controlAddresses() []string {
	var all []string
	for i := range cl.config.control {
		all = append(all, cl.address(controlVMs, i, controlPort))
	}
	return all
}

func (cl *cluster) startServers(ctx context.Context) {
	serve := func(run func(context.Context, string) error, address string) {
		go func() {
			if err := run(ctx, address); err != nil {
				cl.t.Error(err)
			}
		}()
	}
	serve(cl.origin.Run, cl.address(plainVMs, 0, originPort))
	for i := range cl.config.engines {
		e := standin.NewEngine(fmt.Sprintf("e-%d", i+1), engineFigures, cl.ledger)
		cl.engines = append(cl.engines, e)
		serve(e.Run, cl.address(engineVMs, i, serverTargetPort))
		cl.sendHeartbeats(ctx, e.Instance, standin.EngineService, engineVMs, i, e)
	}
	for i := range cl.config.plain {
		s := &standin.Server{Instance: fmt.Sprintf("p-%d", i+1), ServiceTime: cl.config.plainServiceTime, RunLog: cl.ledger}
		cl.plain = append(cl.plain, s)
		serve(s.Run, cl.address(plainVMs, i, serverTargetPort))
		cl.sendHeartbeats(ctx, s.Instance, standin.PlainService, plainVMs, i, nil)
	}
}

// startCrashingServers starts the servers that end.
func (cl *cluster) startCrashingServers(ctx context.Context) {
	for i := range cl.config.crashing {
		cl.startCrashingServer(ctx, fmt.Sprintf("x-%d", i+1), standin.PlainService, crashingVMs, i, nil)
	}
	for i := range cl.config.crashingEngines {
		cl.startCrashingServer(ctx, fmt.Sprintf("y-%d", i+1), standin.EngineService, crashingEngineVMs, i, &engineFigures)
	}
}

func (cl *cluster) startCrashingServer(ctx context.Context, instance, service string, kind, index int, f *standin.EngineParams) {
	s := &standin.CrashingServer{
		Heartbeats: standin.Heartbeats{
			Instance: instance, Service: service, Address: cl.address(kind, index, serverTargetPort),
			Zone: failureDomain(index), Slots: engineFigures.Slots, Interval: heartbeatInterval, ControlNodes: cl.controlAddresses(),
		},
		ServiceTime: cl.config.plainServiceTime, RunLog: cl.ledger, CrashBody: crashingBody, CrashDelay: crashDelay, Downtime: crashDowntime,
		SameInstance: cl.config.sameInstance, EngineParams: f,
	}
	cl.crashing = append(cl.crashing, s)
	go func() {
		if err := s.Run(ctx); err != nil {
			cl.t.Error(err)
		}
	}()
}

func (cl *cluster) sendHeartbeats(ctx context.Context, instance, service string, kind, index int, engine *standin.Engine) {
	b := &standin.Heartbeats{
		Instance: instance, Service: service, Address: cl.address(kind, index, serverPort), Zone: failureDomain(index),
		Slots: engineFigures.Slots, Engine: engine, Interval: heartbeatInterval, ControlNodes: cl.controlAddresses(),
	}
	go b.Run(ctx)
}

// failureDomains is how many failure domains there are.
const failureDomains = 3

func failureDomain(index int) string { return fmt.Sprintf("hall-%c", 'a'+index%failureDomains) }

// ----------------------------------------------------------------
// Programs

func (cl *cluster) startPrograms() {
	p, seeds := cl.programs, cl.seedsSetting()
	for i := range cl.config.control {
		cl.startControl(i, true)
	}
	for i := range cl.config.engines {
		cl.startStager(nameOf("stager", i), engineVMs, i, serverPort)
	}
	for i := range cl.config.crashingEngines {
		cl.startStager(nameOf("stager", cl.config.engines+i), crashingEngineVMs, i, serverTargetPort)
	}
	for i := range cl.config.gateways {
		name := nameOf("gateway", i)
		p.start("tidepost-gateway", name, cl.commonSettings(name, gatewayVMs, i)+fmt.Sprintf(`
callers: {listen: %q}
ready: {listen: %q}
control: {%s}
drain: {notice: %s, limit: %s}
retries: {reserve: %d}
weights: {within: %s}
`, cl.address(gatewayVMs, i, callersPort), cl.address(gatewayVMs, i, readyPort), seeds, cl.config.drainNotice, drainLimit, cl.config.retryReserve, cl.config.rolloutDeadline))
	}
}

// startStager starts the stager beside an engine that takes calls at a port.
func (cl *cluster) startStager(name string, kind, index, port int) {
	cl.programs.start("tidepost-stager", name, cl.commonSettings(name, kind, index)+fmt.Sprintf(`
control: {%s}
engine: {address: %q, service: %s}
weights: {within: %s}
`, cl.seedsSetting(), cl.address(kind, index, port), standin.EngineService, cl.config.rolloutDeadline))
}

// seedsSetting is the setting that names the control nodes.
func (cl *cluster) seedsSetting() string {
	return fmt.Sprintf(`seeds: ["%s"]`, strings.Join(cl.controlAddresses(), `", "`))
}

// startControl starts a control node; the first start of all may form the log.
func (cl *cluster) startControl(i int, first bool) {
	name := nameOf("control", i)
	cl.programs.start("tidepost-control", name, cl.commonSettings(name, controlVMs, i)+fmt.Sprintf(`
data: {folder: %q}
control: {listen: %q, %s, bootstrap: %t, tolerate: %d}
backends: {heartbeat: %s}
weights: {cache: false}
`, cl.dataFolder(name), cl.address(controlVMs, i, controlPort), cl.seedsSetting(), first, cl.config.toleratedLosses, heartbeatInterval))
}

// dataFolder is the data folder of a control node.
func (cl *cluster) dataFolder(name string) string { return filepath.Join(cl.programs.folder, name) }

// nameOf returns the name of a program by its kind and index.
func nameOf(kind string, index int) string { return fmt.Sprintf("%s-%d", kind, index+1) }

// commonSettings are the settings that all programs have. Each listens behind its proxy.
func (cl *cluster) commonSettings(name string, kind, index int) string {
	peers := fmt.Sprintf("listen: %q, advertise: %q", cl.address(kind, index, linkTargetPort), cl.address(kind, index, linkPort))
	return fmt.Sprintf("protocol: platform\nvm: {name: %s, region: north, failure_domain: %s}\npeers: {%s}\n", name, failureDomain(index), peers)
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
