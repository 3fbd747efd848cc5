// ================================================================
// Runs the programs as child processes. One locked thread starts all of them and runs until
// the end: the kernel kills a child with the parent-death signal when its starting thread
// ends, so no program outlives the test process.
// ================================================================

package soak

import (
	"errors"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// stopTimeout is how long a program may take to stop gracefully.
const stopTimeout = 10 * time.Second

// programs holds the running processes.
type programs struct {
	t            *testing.T
	folder       string
	startQueue   chan func()
	shuttingDown atomic.Bool
	shutdownOnce sync.Once

	mu         sync.Mutex
	byName     map[string]*program
	startTimes map[string][]time.Time // of all processes by name, in order
}

// program is one process. Another one may be started under its name after its end.
type program struct {
	kind, name   string
	cmd          *exec.Cmd
	exited       chan struct{}
	exitExpected atomic.Bool // set before a signal that ends the process
}

func newPrograms(t *testing.T, folder string) *programs {
	p := &programs{t: t, folder: folder, startQueue: make(chan func()), byName: map[string]*program{}, startTimes: map[string][]time.Time{}}
	go func() {
		runtime.LockOSThread()
		for start := range p.startQueue {
			start()
		}
	}()
	t.Cleanup(p.stopAll)
	return p
}

// start writes the settings of a program and runs it. Its log goes to a file.
func (p *programs) start(kind, name, settings string) {
	if err := os.WriteFile(p.settingsPath(name), []byte(settings), 0o600); err != nil {
		p.t.Error(err)
		return
	}
	p.run(kind, name)
}

func (p *programs) settingsPath(name string) string { return filepath.Join(p.folder, name+".yaml") }

// run runs a program with the settings that were written before. It appends to its log.
func (p *programs) run(kind, name string) {
	log, err := os.OpenFile(filepath.Join(p.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	cmd := exec.Command(filepath.Join(binaryFolder, kind), "--settings", p.settingsPath(name))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.startQueue <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		p.t.Error(err)
		return
	}
	prog := &program{kind: kind, name: name, cmd: cmd, exited: make(chan struct{})}
	p.mu.Lock()
	p.byName[name] = prog
	p.startTimes[name] = append(p.startTimes[name], time.Now())
	p.mu.Unlock()
	go func() {
		defer close(prog.exited)
		defer log.Close()
		if err := cmd.Wait(); !p.shuttingDown.Load() && !prog.exitExpected.Load() {
			p.t.Errorf("%s exited unexpectedly: %v", name, err)
		}
	}()
}

// lookup returns the latest process of a name.
func (p *programs) lookup(name string) *program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// startTimesOf returns when the processes of a name were started, in order.
func (p *programs) startTimesOf(name string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.startTimes[name])
}

// names returns the sorted names of all programs.
func (p *programs) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.byName))
}

// signal sends a signal. A program that was asked to stop may have exited before, which is no
// error.
func (p *programs) signal(name string, s syscall.Signal) {
	prog := p.lookup(name)
	err := prog.cmd.Process.Signal(s)
	switch {
	case err == nil:
	case prog.exitExpected.Load() && errors.Is(err, os.ErrProcessDone):
		p.t.Logf("%s exited before signal %v", name, s)
	default:
		p.t.Errorf("%s: %v", name, err)
	}
}

// stop ends a program by a signal and waits until it has exited.
func (p *programs) stop(name string, s syscall.Signal) {
	<-p.requestStop(name, s)
}

// requestStop sends a signal that ends a program, and returns a channel that is closed when the
// program has exited.
func (p *programs) requestStop(name string, s syscall.Signal) (exited <-chan struct{}) {
	prog := p.lookup(name)
	prog.exitExpected.Store(true)
	p.signal(name, s)
	return prog.exited
}

// restart starts a stopped program again.
func (p *programs) restart(name string) { p.run(p.lookup(name).kind, name) }

// stopAll stops all programs; their logs are complete afterwards. A second call does nothing.
func (p *programs) stopAll() { p.shutdownOnce.Do(p.stopEach) }

func (p *programs) stopEach() {
	p.shuttingDown.Store(true)
	for _, prog := range p.byName {
		_ = prog.cmd.Process.Signal(syscall.SIGTERM)
	}
	timeout := time.After(stopTimeout)
	for _, prog := range p.byName {
		select {
		case <-prog.exited:
			continue
		case <-timeout:
			p.t.Errorf("%s did not stop in time", prog.name)
		}
		_ = prog.cmd.Process.Kill()
		<-prog.exited
	}
	close(p.startQueue)
}
