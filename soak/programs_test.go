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

// endWithin is how long a program may take to end in order.
const endWithin = 10 * time.Second

// programs are running processes.
type programs struct {
	t      *testing.T
	folder string
	starts chan func()
	ending atomic.Bool
	ended  sync.Once

	mu     sync.Mutex
	all    map[string]*program    // by name
	begins map[string][]time.Time // of all processes that had a name, in order
}

// program is one process. It may be ended and started again under its name.
type program struct {
	kind, name string
	cmd        *exec.Cmd
	over       chan struct{}
	expected   atomic.Bool // its end is
}

func newPrograms(t *testing.T, folder string) *programs {
	p := &programs{t: t, folder: folder, starts: make(chan func()), all: map[string]*program{}, begins: map[string][]time.Time{}}
	go func() {
		runtime.LockOSThread()
		for start := range p.starts {
			start()
		}
	}()
	t.Cleanup(p.end)
	return p
}

// start runs a program on settings; its log goes to a file.
func (p *programs) start(kind, name, settings string) {
	if err := os.WriteFile(p.settingsOf(name), []byte(settings), 0o600); err != nil {
		p.t.Error(err)
		return
	}
	p.run(kind, name)
}

func (p *programs) settingsOf(name string) string { return filepath.Join(p.folder, name+".yaml") }

// run runs a program on the settings that it has. What it logs follows what it logged
// before.
func (p *programs) run(kind, name string) {
	log, err := os.OpenFile(filepath.Join(p.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	cmd := exec.Command(filepath.Join(binaries, kind), "--settings", p.settingsOf(name))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		p.t.Error(err)
		return
	}
	one := &program{kind: kind, name: name, cmd: cmd, over: make(chan struct{})}
	p.mu.Lock()
	p.all[name] = one
	p.begins[name] = append(p.begins[name], time.Now())
	p.mu.Unlock()
	go func() {
		defer close(one.over)
		defer log.Close()
		if err := cmd.Wait(); !p.ending.Load() && !one.expected.Load() {
			p.t.Errorf("%s ended by itself: %v", name, err)
		}
	}()
}

// named returns the running process of a name.
func (p *programs) named(name string) *program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all[name]
}

// startsOf returns when the processes that had a name began, in order.
func (p *programs) startsOf(name string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.begins[name])
}

// names are those of all programs, in order.
func (p *programs) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.all))
}

// signal sends a signal that ends no program. One that was asked to end may have done so by then,
// where the machine is slow.
func (p *programs) signal(name string, s syscall.Signal) {
	one := p.named(name)
	err := one.cmd.Process.Signal(s)
	switch {
	case err == nil:
	case one.expected.Load() && errors.Is(err, os.ErrProcessDone):
		p.t.Logf("%s has ended before signal %v", name, s)
	default:
		p.t.Errorf("%s: %v", name, err)
	}
}

// stop ends a program by a signal and waits until it is gone.
func (p *programs) stop(name string, s syscall.Signal) {
	<-p.ask(name, s)
}

// ask sends a signal that is to end a program, and returns what is closed when it is gone.
func (p *programs) ask(name string, s syscall.Signal) (gone <-chan struct{}) {
	one := p.named(name)
	one.expected.Store(true)
	p.signal(name, s)
	return one.over
}

// again starts a program that was stopped.
func (p *programs) again(name string) { p.run(p.named(name).kind, name) }

// end ends all programs; their logs are whole then. A second call does nothing.
func (p *programs) end() { p.ended.Do(p.endAll) }

func (p *programs) endAll() {
	p.ending.Store(true)
	for _, one := range p.all {
		_ = one.cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := time.After(endWithin)
	for _, one := range p.all {
		select {
		case <-one.over:
			continue
		case <-limit:
			p.t.Errorf("%s did not end in order", one.name)
		}
		_ = one.cmd.Process.Kill()
		<-one.over
	}
	close(p.starts)
}
