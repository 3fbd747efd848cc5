// A small deployment of the project's own programs, as separate processes on loopback addresses. The
// settings have the content of the templates in platform/.

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports and the third octet of the addresses of each class of machines.
const (
	linkPort    = 7700
	observePort = 7701
	controlPort = 8000
	readyPort   = 8002
	frontPort   = 8005
	workerPort  = 9000

	coreClass  = 1
	frontClass = 2
	sideClass  = 3
	plainClass = 4
)

// errEnded is the error of a start after the end of the case.
var errEnded = errors.New("the case has ended")

// deployment is a set of processes and the record of what happened.
type deployment struct {
	folder, root string
	subnet       int
	cores        int
	started      time.Time
	guard        net.Listener

	mu        sync.Mutex
	record    *os.File
	processes map[string]*process
	ended     bool // no process is started any more

	startQueue chan func() // run by one thread: a process ends with the thread that has started it
}

// process is one program that this case has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func newDeployment(recordPath string, cores int) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "tidepost-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, root: root, cores: cores, started: time.Now(), record: record, processes: map[string]*process{}, startQueue: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for start := range d.startQueue {
			start()
		}
	}()
	for n := 20; n < 250; n++ {
		if d.guard, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, linkPort)); err == nil {
			d.subnet = n
			return d, nil
		}
	}
	return nil, fmt.Errorf("no range of loopback addresses is free")
}

// note writes a line to the record.
func (d *deployment) note(format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.started).Seconds()}, arguments...)...)
}

func (d *deployment) host(class, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.subnet, class, i+1)
}

func (d *deployment) address(class, i, port int) string {
	return fmt.Sprintf("%s:%d", d.host(class, i), port)
}

func (d *deployment) controlAddresses() (all []string) {
	for i := range d.cores {
		all = append(all, d.address(coreClass, i, controlPort))
	}
	return all
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

func (d *deployment) common(name string, class, i int) string {
	zone := zones[i%len(zones)]
	return fmt.Sprintf(`protocol: platform
vm: {name: %q, region: "region-%s", failure_domain: %q}
peers: {listen: "%s:%d", unsecured: true}
observe: {listen: "%s:%d"}
limits: {memory: "280MB"}
`, name, zone, zone, d.host(class, i), linkPort, d.host(class, i), observePort)
}

// domains is the setting of the failure domains, which control nodes and gateways have.
const domains = `failure_domains: {"hall-a": "region-hall-a", "hall-b": "region-hall-b", "hall-c": "region-hall-c"}
`

func (d *deployment) seeds() string {
	return `["` + strings.Join(d.controlAddresses(), `", "`) + `"]`
}

// dataFolder is the disk of a core machine.
func (d *deployment) dataFolder(i int) string {
	return filepath.Join(d.folder, fmt.Sprintf("disk-core-%d", i+1))
}

// startCore starts a control node. bootstrap is true at the first start of the whole system only.
func (d *deployment) startCore(i int, bootstrap bool) error {
	name := fmt.Sprintf("core-%d", i+1)
	return d.start("tidepost-control", name, d.common(name, coreClass, i)+fmt.Sprintf(`data: {folder: %q}
control: {listen: %q, seeds: %s, bootstrap: %t, tolerate: 1}
backends: {heartbeat: "1200ms"}
%s`, d.dataFolder(i), d.address(coreClass, i, controlPort), d.seeds(), bootstrap, domains))
}

// startFront starts a gateway.
func (d *deployment) startFront(i int) error {
	name := fmt.Sprintf("front-%d", i+1)
	return d.start("tidepost-gateway", name, d.common(name, frontClass, i)+fmt.Sprintf(`callers: {listen: %q}
ready: {listen: %q}
control: {seeds: %s}
drain: {limit: "8s"}
retries: {reserve: 100, window: "10s"}
weights: {within: "8000ms"}
%s`, d.address(frontClass, i, frontPort), d.address(frontClass, i, readyPort), d.seeds(), domains))
}

func (d *deployment) start(program, name, settings string) error {
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(d.root, "target", program))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "TIDEPOST_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	started := make(chan error)
	d.startQueue <- func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		err := errEnded
		if !d.ended {
			err = cmd.Start()
		}
		if err == nil {
			d.processes[name] = p
		}
		go func() { started <- err }()
	}
	if err := <-started; err != nil {
		return err
	}
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		d.note("%s ended: %v", name, err)
		close(p.exited)
	}()
	d.note("%s started", name)
	return nil
}

func (d *deployment) process(name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name]
}

// signal sends a signal to a process that this case has started.
func (d *deployment) signal(name string, s syscall.Signal) {
	d.note("signal %v to %s", s, name)
	_ = d.process(name).cmd.Process.Signal(s)
}

// kill ends a process at once.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	<-d.process(name).exited
}

// end ends all processes and removes the temporary folder.
func (d *deployment) end() {
	d.mu.Lock()
	d.ended = true
	all := make([]*process, 0, len(d.processes))
	for _, p := range d.processes {
		all = append(all, p)
	}
	d.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	_ = d.guard.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
	_ = d.record.Close()
}
