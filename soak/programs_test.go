// ================================================================
// The programs as processes: started, watched and ended by their ids. All are
// started by one thread that lives until the end, so that the kernel ends them
// with this process, however it ends.
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

// stopTimeout is how long a program may take to end in order.
const stopTimeout = 10 * time.Second

// programs are running processes.
type programs struct {
	t            *testing.T
	folder       string
	startQueue   chan func()
	shuttingDown atomic.Bool
	shutdownOnce sync.Once

	mu         sync.Mutex
	byName     map[string]*program    // by name
	startTimes map[string][]time.Time // of all processes that had a name, in order
}

// program is one process. It may be ended and started again under its name.
type program struct {
	kind, name   string
	cmd          *exec.Cmd
	exited       chan struct{}
	exitExpected atomic.Bool // its end is
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

// start runs a program on settings; its log goes to a file.
func (p *programs) start(kind, name, settings string) {
	if err := os.WriteFile(p.settingsPath(name), []byte(settings), 0o600); err != nil {
		p.t.Error(err)
		return
	}
	p.run(kind, name)
}

func (p *programs) settingsPath(name string) string { return filepath.Join(p.folder, name+".yaml") }

// run runs a program on the settings that it has. What it logs follows what it logged
// before.
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
	one := &program{kind: kind, name: name, cmd: cmd, exited: make(chan struct{})}
	p.mu.Lock()
	p.byName[name] = one
	p.startTimes[name] = append(p.startTimes[name], time.Now())
	p.mu.Unlock()
	go func() {
		defer close(one.exited)
		defer log.Close()
		if err := cmd.Wait(); !p.shuttingDown.Load() && !one.exitExpected.Load() {
			p.t.Errorf("%s ended by itself: %v", name, err)
		}
	}()
}

// lookup returns the running process of a name.
func (p *programs) lookup(name string) *program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// startTimesOf returns when the processes that had a name began, in order.
func (p *programs) startTimesOf(name string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.startTimes[name])
}

// names are those of all programs, in order.
func (p *programs) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.byName))
}

// signal sends a signal that ends no program. One that was asked to end may have done so by then,
// where the machine is slow.
func (p *programs) signal(name string, s syscall.Signal) {
	one := p.lookup(name)
	err := one.cmd.Process.Signal(s)
	switch {
	case err == nil:
	case one.exitExpected.Load() && errors.Is(err, os.ErrProcessDone):
		p.t.Logf("%s has ended before signal %v", name, s)
	default:
		p.t.Errorf("%s: %v", name, err)
	}
}

// stop ends a program by a signal and waits until it is gone.
func (p *programs) stop(name string, s syscall.Signal) {
	<-p.requestStop(name, s)
}

// requestStop sends a signal that is to end a program, and returns what is closed when it is gone.
func (p *programs) requestStop(name string, s syscall.Signal) (gone <-chan struct{}) {
	one := p.lookup(name)
	one.exitExpected.Store(true)
	p.signal(name, s)
	return one.exited
}

// restart starts a program that was stopped.
func (p *programs) restart(name string) { p.run(p.lookup(name).kind, name) }

// stopAll ends all programs; their logs are whole then. A second call does nothing.
func (p *programs) stopAll() { p.shutdownOnce.Do(p.stopEach) }

func (p *programs) stopEach() {
	p.shuttingDown.Store(true)
	for _, one := range p.byName {
		_ = one.cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := time.After(stopTimeout)
	for _, one := range p.byName {
		select {
		case <-one.exited:
			continue
		case <-limit:
			p.t.Errorf("%s did not end in order", one.name)
		}
		_ = one.cmd.Process.Kill()
		<-one.exited
	}
	close(p.startQueue)
}
