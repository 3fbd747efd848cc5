// ================================================================
// Starts a small cluster on loopback. Each VM has its own address, and there is a proxy
// wherever one program dials another.
//
//	127.n.1.i  control node i       links 7700 (proxy) to 7701
//	127.n.2.i  gateway i            callers 8005, readiness 8002, links 7700 (proxy) to 7701
//	127.n.3.i  engine and stager i  links 7700 (proxy) to 7701, engine 9000 (proxy) to 9001
//	127.n.4.i  plain server i       9000 (proxy) to 9001; the origin 9100 on the first
//	127.n.5.i  crashing server i    9001, without a proxy: its port closes when it crashes
//	127.n.6.i  crashing engine i    9001 as above, and its stager with links 7700 (proxy) to 7701
//	127.n.7.i  broken server i      9001 as above: a reset must arrive as it is sent
//
// Links use the same port on every VM, so that a stager is found on its engine's host. The
// proxies listen on that port; the programs listen on another one and advertise the
// proxy's address.
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
	"sync"
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

// The third octet of addresses, by kind of VM.
const (
	controlVMs = iota + 1
	gatewayVMs
	engineVMs
	plainVMs
	crashingVMs
	crashingEngineVMs
	brokenVMs
)

// clusterConfig is the number of programs and servers of each kind, the time that a plain server
// takes, and the time within which a named version must be in use.
type clusterConfig struct {
	control, gateways, engines, plain int
	plainServiceTime, rolloutDeadline time.Duration
	// retryReserve is how many retries all gateways together may make beyond a share of the
	// requests.
	retryReserve int
	// drainNotice is how long a gateway accepts requests after the signal to stop.
	drainNotice time.Duration
	// broken is how many plain servers send broken answers.
	broken int
	// crashing is how many plain servers crash when they run crashingBody. With sameInstance
	// they restart under their previous instance.
	crashing     int
	sameInstance bool
	// crashingEngines is how many engines crash when they run crashingBody, or begin an answer on
	// one of crashParts after crashEvents events. unframed engines end answers with their connection.
	crashingEngines int
	crashParts      []string
	crashEvents     int
	unframed        bool
	// crashDelay is the time from the start of an answer to the crash, if it isn't the usual one.
	crashDelay time.Duration
	// weightFaults are the faults of the engines that don't crash.
	weightFaults weightFaults
	// toleratedLosses is how many control nodes may be lost at the same time.
	toleratedLosses int
}

// engineFigures are the performance parameters of the engines.
var engineFigures = standin.EngineParams{
	Slots: 12, QueueLimit: 6, Step: 9270 * time.Microsecond, PerSequence: 23 * time.Microsecond, Stride: 5,
	PrefillPerSecond: 20700, UsualPrompt: 800, UsualAnswer: 80,
}

const (
	heartbeatInterval = 1200 * time.Millisecond
	// drainLimit is how long a planned stop may take in all. shortDrainNotice is the
	// drainNotice of tests that do not depend on it.
	drainLimit       = 8 * time.Second
	shortDrainNotice = 100 * time.Millisecond
	// defaultRetryReserve is the default of the setting retries.reserve.
	defaultRetryReserve = 20
	// chunkServiceTime lets the origin send a copy of the weights within a second.
	chunkServiceTime = 25 * time.Millisecond
)

// cluster is a running cluster with its programs, proxies and stand-in servers.
type cluster struct {
	t        *testing.T
	config   clusterConfig
	subnet   int // the second octet of addresses
	programs *programs
	runLog   *standin.RunLog
	origin   *standin.Origin
	// engines and plain servers are in the order of their addresses.
	engines  []*standin.Engine
	plain    []*standin.Server
	broken   []*standin.BrokenServer
	crashing []*standin.CrashingServer // plain ones first, then engines
	operator standin.Operator
	// namedAt holds the times at which the naming of each version was acknowledged.
	namedAt map[uint64]time.Time
	// links and servers are the proxies, by the third octet of the address.
	links, servers map[int][]*faultproxy.Proxy
	standins       sync.WaitGroup // the running stand-in servers
}

// startCluster starts a cluster, puts its configuration and waits until it is ready. Logs go to
// a folder.
func startCluster(t *testing.T, s clusterConfig, folder string) *cluster {
	if s.drainNotice == 0 {
		s.drainNotice = shortDrainNotice
	}
	s.toleratedLosses = max(s.toleratedLosses, 1)
	s.retryReserve = cmp.Or(s.retryReserve, defaultRetryReserve)
	cl := &cluster{
		t: t, config: s, subnet: freeSubnet(t), runLog: standin.NewRunLog(),
		origin: &standin.Origin{ChunkTime: chunkServiceTime}, namedAt: map[uint64]time.Time{},
		links: map[int][]*faultproxy.Proxy{}, servers: map[int][]*faultproxy.Proxy{},
	}
	t.Cleanup(cl.checkWeights)
	ctx, cancel := context.WithCancel(context.Background())
	// The next cluster of a process uses the same ports.
	t.Cleanup(func() {
		cancel()
		cl.standins.Wait()
	})
	// Cleanups run in reverse order, so the programs end before the proxies.
	cl.startProxies()
	cl.startServers(ctx)
	cl.startBrokenServers(ctx)
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

// freeSubnet returns a second octet of addresses that no other run uses. A listener reserves
// it until the end of the test.
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

func (cl *cluster) addProxy(proxies map[int][]*faultproxy.Proxy, kind, index, port, target int, label func([]byte) string) {
	p, err := faultproxy.Listen(faultproxy.Config{Listen: cl.address(kind, index, port), Target: cl.address(kind, index, target), Label: label})
	cl.must(err)
	cl.t.Cleanup(p.Close)
	proxies[kind] = append(proxies[kind], p)
}

var programNamePattern = regexp.MustCompile(`(control|gateway|stager)-[0-9]+`)

// linkLabel returns the name of the program that dials a link, from the start of its
// handshake.
func linkLabel(first []byte) string { return string(programNamePattern.Find(first)) }

// requestLabel distinguishes the two callers of an engine by the path: gateways send
// requests, and the stager calls the engine's own API.
func requestLabel(first []byte) string {
	if bytes.Contains(first, []byte(" /api/")) {
		return "stager"
	}
	return "gateway"
}

// ----------------------------------------------------------------
// Stand-in servers

func (cl *cluster) controlAddresses() []string {
	var addresses []string
	for i := range cl.config.control {
		addresses = append(addresses, cl.address(controlVMs, i, controlPort))
	}
	return addresses
}

func (cl *cluster) startServers(ctx context.Context) {
	serve := func(run func(context.Context, string) error, address string) {
		cl.standins.Go(func() {
			if err := run(ctx, address); err != nil {
				cl.t.Error(err)
			}
		})
	}
	serve(cl.origin.Run, cl.address(plainVMs, 0, originPort))
	for i := range cl.config.engines {
		e := standin.NewEngine(fmt.Sprintf("e-%d", i+1), engineFigures, cl.runLog)
		cl.engines = append(cl.engines, e)
		cl.startWeightFaults(ctx, i, e)
		serve(e.Run, cl.address(engineVMs, i, serverTargetPort))
		cl.sendHeartbeats(ctx, e.Instance, standin.EngineService, engineVMs, i, e)
	}
	for i := range cl.config.plain {
		s := &standin.Server{Instance: fmt.Sprintf("p-%d", i+1), ServiceTime: cl.config.plainServiceTime, RunLog: cl.runLog}
		cl.plain = append(cl.plain, s)
		serve(s.Run, cl.address(plainVMs, i, serverTargetPort))
		cl.sendHeartbeats(ctx, s.Instance, standin.PlainService, plainVMs, i, nil)
	}
}

// startBrokenServers starts the plain servers that send broken answers.
func (cl *cluster) startBrokenServers(ctx context.Context) {
	for i := range cl.config.broken {
		s := &standin.BrokenServer{
			Heartbeats: standin.Heartbeats{
				Instance: fmt.Sprintf("b-%d", i+1), Service: standin.PlainService, Address: cl.address(brokenVMs, i, serverTargetPort),
				Zone: failureDomain(i), Slots: engineFigures.Slots, Interval: heartbeatInterval, ControlNodes: cl.controlAddresses(),
			},
			ServiceTime: cl.config.plainServiceTime, RunLog: cl.runLog,
		}
		cl.broken = append(cl.broken, s)
		cl.standins.Go(func() {
			if err := s.Run(ctx); err != nil {
				cl.t.Error(err)
			}
		})
	}
}

// startCrashingServers starts the plain servers and engines that crash.
func (cl *cluster) startCrashingServers(ctx context.Context) {
	for i := range cl.config.crashing {
		cl.startCrashingServer(ctx, fmt.Sprintf("x-%d", i+1), standin.PlainService, crashingVMs, i, nil)
	}
	for i := range cl.config.crashingEngines {
		cl.startCrashingServer(ctx, fmt.Sprintf("y-%d", i+1), standin.EngineService, crashingEngineVMs, i, &engineFigures)
	}
}

func (cl *cluster) startCrashingServer(ctx context.Context, instance, service string, kind, index int, params *standin.EngineParams) {
	s := &standin.CrashingServer{
		Heartbeats: standin.Heartbeats{
			Instance: instance, Service: service, Address: cl.address(kind, index, serverTargetPort),
			Zone: failureDomain(index), Slots: engineFigures.Slots, Interval: heartbeatInterval, ControlNodes: cl.controlAddresses(),
		},
		ServiceTime: cl.config.plainServiceTime, RunLog: cl.runLog, CrashBody: crashingBody, CrashDelay: cmp.Or(cl.config.crashDelay, crashDelay), Downtime: crashDowntime,
		CrashParts: cl.config.crashParts, CrashEvents: cl.config.crashEvents, Unframed: cl.config.unframed,
		SameInstance: cl.config.sameInstance, EngineParams: params,
	}
	cl.crashing = append(cl.crashing, s)
	cl.standins.Go(func() {
		if err := s.Run(ctx); err != nil {
			cl.t.Error(err)
		}
	})
}

func (cl *cluster) sendHeartbeats(ctx context.Context, instance, service string, kind, index int, engine *standin.Engine) {
	b := &standin.Heartbeats{
		Instance: instance, Service: service, Address: cl.address(kind, index, serverPort), Zone: failureDomain(index),
		Slots: engineFigures.Slots, Engine: engine, Interval: heartbeatInterval, ControlNodes: cl.controlAddresses(),
	}
	go b.Run(ctx)
}

// failureDomains is the number of failure domains.
const failureDomains = 3

// regionsSetting is the setting of the failure domains, each of which is a region.
const regionsSetting = "{hall-a: region-a, hall-b: region-b, hall-c: region-c}"

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
failure_domains: %s
`, cl.address(gatewayVMs, i, callersPort), cl.address(gatewayVMs, i, readyPort), seeds, cl.config.drainNotice, drainLimit, cl.config.retryReserve, cl.config.rolloutDeadline, regionsSetting))
	}
}

// startStager starts the stager of an engine that listens on a port.
func (cl *cluster) startStager(name string, kind, index, port int) {
	cl.programs.start("tidepost-stager", name, cl.commonSettings(name, kind, index)+fmt.Sprintf(`
control: {%s}
engine: {address: %q, service: %s}
weights: {within: %s}
`, cl.seedsSetting(), cl.address(kind, index, port), standin.EngineService, cl.config.rolloutDeadline))
}

// seedsSetting returns the setting with the addresses of the control nodes.
func (cl *cluster) seedsSetting() string {
	return fmt.Sprintf(`seeds: ["%s"]`, strings.Join(cl.controlAddresses(), `", "`))
}

// startControl starts a control node. On the first start of the cluster, the node may form a
// new control log.
func (cl *cluster) startControl(i int, first bool) {
	name := nameOf("control", i)
	cl.programs.start("tidepost-control", name, cl.commonSettings(name, controlVMs, i)+fmt.Sprintf(`
data: {folder: %q}
control: {listen: %q, %s, bootstrap: %t, tolerate: %d}
backends: {heartbeat: %s}
weights: {cache: false}
failure_domains: %s
`, cl.dataFolder(name), cl.address(controlVMs, i, controlPort), cl.seedsSetting(), first, cl.config.toleratedLosses, heartbeatInterval, regionsSetting))
}

// dataFolder returns the data folder of a control node.
func (cl *cluster) dataFolder(name string) string { return filepath.Join(cl.programs.folder, name) }

// nameOf returns the name of a program by its kind and index.
func nameOf(kind string, index int) string { return fmt.Sprintf("%s-%d", kind, index+1) }

// commonSettings returns the settings that all programs have. Each listens behind its proxy.
func (cl *cluster) commonSettings(name string, kind, index int) string {
	peers := fmt.Sprintf("listen: %q, advertise: %q", cl.address(kind, index, linkTargetPort), cl.address(kind, index, linkPort))
	domain := failureDomain(index)
	return fmt.Sprintf("protocol: platform\nvm: {name: %s, region: region-%s, failure_domain: %s}\npeers: {%s}\n", name, domain[len(domain)-1:], domain, peers)
}

// logFolder returns the folder for the programs' logs and data. A folder that is named in
// TIDEPOST_SOAK_LOGS is kept after the test. It must be empty at the start, because control
// nodes continue with the data that they find.
func logFolder(t *testing.T) string {
	const variable = "TIDEPOST_SOAK_LOGS"
	folder := os.Getenv(variable)
	if folder == "" {
		return t.TempDir()
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		t.Fatal(err)
	}
	if files, err := os.ReadDir(folder); err != nil || len(files) > 0 {
		t.Fatalf("%s holds %d files already (%v)", folder, len(files), err)
	}
	return folder
}
