// ================================================================
// The programs as processes: started, watched and ended by their ids. All are
// started by one thread that lives until the end, so that the kernel ends them
// with this process, however it ends.
// ================================================================

package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
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
	all    []*program
}

type program struct {
	name string
	cmd  *exec.Cmd
	over chan struct{}
}

func newPrograms(t *testing.T, folder string) *programs {
	p := &programs{t: t, folder: folder, starts: make(chan func())}
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
	path := filepath.Join(p.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		p.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(p.folder, name+".log"))
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, kind), "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		p.t.Fatal(err)
	}
	one := &program{name, cmd, make(chan struct{})}
	p.all = append(p.all, one)
	go func() {
		defer close(one.over)
		defer log.Close()
		if err := cmd.Wait(); !p.ending.Load() {
			p.t.Errorf("%s ended by itself: %v", name, err)
		}
	}()
}

// end ends all programs.
func (p *programs) end() {
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
