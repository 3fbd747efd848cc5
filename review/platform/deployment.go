// ================================================================
// A small deployment on loopback: the project's programs as processes of their own, with the commands of
// the deploy file and with settings filled in from the platform's templates. Each machine has its own
// loopback address; all use the same ports.
//
//	127.n.1.i  control node i    127.n.2.i  gateway i    127.n.3.i  worker i
//
// The bounds are those of the larder-menus sheet.
// ================================================================

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	linkPort    = 7700
	controlPort = 8000
	readyPort   = 8002
	callersPort = 8005
	workerPort  = 9000

	heartbeatInterval = 1200 * time.Millisecond
	contact           = 3 * time.Second
	drainBound        = 2 * time.Second
	configApply       = 2 * time.Second
	catchUp           = 4 * time.Second
	recoverBound      = 12 * time.Second

	// startupWait is how long a deployment runs before a case goes on, and restartDelay how long a killed process
	// is away.
	startupWait  = 6 * time.Second
	restartDelay = 500 * time.Millisecond
)

// The third octet of addresses, by kind of machine.
const (
	controlMachines = iota + 1
	gatewayMachines
	workerMachines
)

var zones = []string{"leeds-hall", "glasgow-hall", "cardiff-hall"}

var regions = map[string]string{"leeds-hall": "north-england", "glasgow-hall": "scotland", "cardiff-hall": "wales"}

func zoneOf(index int) string { return zones[index%len(zones)] }

// errCannotRun says that the case could not be set up.
var errCannotRun = errors.New("the case could not run")

// deployment holds the running processes.
type deployment struct {
	record             *record
	folder             string
	subnet             int
	reserved           net.Listener
	controls, gateways int          // at the first start
	joined             int          // control nodes that have joined since, after the first ones
	gone               map[int]bool // control nodes that have left for good
	starts             chan func()

	mu        sync.Mutex
	processes map[string]*process
	ending    bool
}

type process struct {
	cmd      *exec.Cmd
	exited   chan struct{}
	expected bool
}

// newDeployment reserves a range of loopback addresses and a temporary folder.
func newDeployment(r *record, controls, gateways int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "tidepost-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, controls: controls, gateways: gateways, starts: make(chan func()), processes: map[string]*process{}}
	for n := 20; n <= 250 && d.reserved == nil; n++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, linkPort)); err == nil {
			d.reserved, d.subnet = l, n
		}
	}
	if d.reserved == nil {
		return nil, fmt.Errorf("%w: no range of loopback addresses is free", errCannotRun)
	}
	current.Store(d)
	go func() {
		// The kernel ends a child when the thread that started it ends.
		runtime.LockOSThread()
		for start := range d.starts {
			start()
		}
	}()
	return d, nil
}

func (d *deployment) host(kind, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.subnet, kind, index+1)
}

func (d *deployment) address(kind, index, port int) string {
	return fmt.Sprintf("%s:%d", d.host(kind, index), port)
}

// nodes returns the control nodes that operators and workers may call.
func (d *deployment) nodes() (all []int) {
	for i := range d.controls + d.joined {
		if !d.gone[i] {
			all = append(all, i)
		}
	}
	return all
}

// seeds returns the addresses of the control nodes of the first start.
func (d *deployment) seeds() (all []string) {
	for i := range d.controls {
		all = append(all, d.address(controlMachines, i, controlPort))
	}
	return all
}

// fields returns the fields of a process's settings, as on the deployment page.
func (d *deployment) fields(name, class string, kind, index int, bootstrap bool) map[string]any {
	ip := d.host(kind, index)
	return map[string]any{
		"node_name": name, "machine_class": class, "ip": ip, "zone": zoneOf(index), "region": regions[zoneOf(index)],
		"internal_ports": []int{linkPort, linkPort + 15}, "seeds": d.seeds(), "bootstrap": bootstrap,
		"heartbeat_ms": heartbeatInterval.Milliseconds(), "zones": regions,
		"data_dir": d.dataFolder(name),
		"listen": map[string]any{
			"front": fmt.Sprintf("%s:%d", ip, callersPort), "readiness": fmt.Sprintf("%s:%d", ip, readyPort),
			"control": fmt.Sprintf("%s:%d", ip, controlPort),
		},
		"limits":   map[string]any{"memory_mb": 280, "max_fds": 4100},
		"tolerate": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"grace_s": 8, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 102, "version_ms": 8000,
			"drain_ms": 2000, "contact_ms": 3000, "config_apply_ms": 2000,
		},
	}
}

func controlName(i int) string { return fmt.Sprintf("core-%s-%d", zoneOf(i), i+1) }
func gatewayName(i int) string { return fmt.Sprintf("front-%s-%d", zoneOf(i), i+1) }

func (d *deployment) dataFolder(name string) string { return filepath.Join(d.folder, name+"-data") }

// startControl starts a control node; bootstrap is true only where the whole system starts for the first time.
func (d *deployment) startControl(i int, bootstrap bool) error {
	name := controlName(i)
	if err := os.MkdirAll(d.dataFolder(name), 0o750); err != nil {
		return err
	}
	return d.start("tidepost-control", name, "platform/control.yaml.tmpl", d.fields(name, "core", controlMachines, i, bootstrap))
}

func (d *deployment) startGateway(i int) error {
	name := gatewayName(i)
	return d.start("tidepost-gateway", name, "platform/gateway.yaml.tmpl", d.fields(name, "front", gatewayMachines, i, false))
}

// start writes the settings of a program and runs it. Its log goes to the deployment's folder.
func (d *deployment) start(program, name, template string, fields map[string]any) error {
	raw, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(fill(string(raw), fields)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join("target", program))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "TIDEPOST_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	d.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	d.mu.Lock()
	d.processes[name] = p
	d.mu.Unlock()
	d.record.log("start   %s", name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		d.mu.Lock()
		surprising := !p.expected && !d.ending
		d.mu.Unlock()
		if surprising {
			d.record.say("%s ended by itself: %v", name, err)
		}
		close(p.exited)
	}()
	return nil
}

// signal sends a signal to a process.
func (d *deployment) signal(name string, s syscall.Signal) {
	d.mu.Lock()
	p := d.processes[name]
	p.expected = p.expected || s == syscall.SIGKILL || s == syscall.SIGTERM
	d.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	d.record.log("signal  %s %v", name, s)
}

// kill ends a process at once and waits until it is gone.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	d.wait(name)
}

func (d *deployment) wait(name string) {
	d.mu.Lock()
	p := d.processes[name]
	d.mu.Unlock()
	<-p.exited
}

// end stops all processes and removes the folder, unless KEEP=1 asks to keep the logs.
func (d *deployment) end() {
	d.mu.Lock()
	d.ending = true
	running := make([]*process, 0, len(d.processes))
	for _, p := range d.processes {
		running = append(running, p)
	}
	d.mu.Unlock()
	for _, p := range running {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range running {
		<-p.exited
	}
	_ = d.reserved.Close()
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs:", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// startAll starts all machines, sends the first configuration and waits until the gateways are ready.
func (d *deployment) startAll(ctx context.Context, version int) error {
	for i := range d.controls {
		if err := d.startControl(i, true); err != nil {
			return err
		}
	}
	for i := range d.gateways {
		if err := d.startGateway(i); err != nil {
			return err
		}
	}
	if _, err := d.put(ctx, 0, configuration(version)); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	return d.awaitReady(ctx)
}

// loseDisk kills a control node and starts it again with an empty disk.
func (d *deployment) loseDisk(node int) error {
	name := controlName(node)
	d.kill(name)
	if err := os.RemoveAll(d.dataFolder(name)); err != nil {
		return err
	}
	d.record.say("%s has lost its disk", name)
	time.Sleep(restartDelay)
	return d.startControl(node, false)
}
