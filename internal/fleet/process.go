package fleet

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"filbertdeck/internal/failure"
)

// Process is one process that this package started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	log  *tail
}

// startLimit bounds the time until a stand-in says where it listens.
const startLimit = 10 * time.Second

// launch starts a program. Its log goes to a bounded tail that Log gives.
func launch(dir, program, name string, args ...string) (*Process, io.ReadCloser, error) {
	p := &Process{Name: name, done: make(chan struct{}), log: &tail{}}
	p.cmd = exec.Command(filepath.Join(dir, program), args...)
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.KindInternal, "process %s cannot be started", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, nil, failure.Wrap(err, failure.KindInternal, "process %s cannot be started", name)
	}
	return p, out, nil
}

func (p *Process) reap() {
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode is valid after Done; -1 stands for an end by a signal.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// PID is the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log gives the last lines that the process logged.
func (p *Process) Log() string { return p.log.String() }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to stop and kills it when it does not within limit.
func (p *Process) Stop(limit time.Duration) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(limit):
		p.Kill()
	}
}

// standin starts a stand-in and reads the address that it prints.
func standin(dir, name string, args ...string) (*Process, string, error) {
	p, out, err := launch(dir, "filbert-standin", name, args...)
	if err != nil {
		return nil, "", err
	}
	lines := make(chan string, 1)
	go func() {
		r := bufio.NewReader(out)
		line, _ := r.ReadString('\n')
		lines <- line
		_, _ = io.Copy(io.Discard, r)
		p.reap()
	}()
	select {
	case line := <-lines:
		address, found := strings.CutPrefix(strings.TrimSpace(line), "listening ")
		if found {
			return p, address, nil
		}
	case <-time.After(startLimit):
	}
	p.Signal(syscall.SIGKILL)
	return nil, "", failure.New(failure.KindInternal, "stand-in %s did not start: %s", name, p.Log())
}

// serving starts an entry or a control process.
func serving(dir, program, name string, args ...string) (*Process, error) {
	p, out, err := launch(dir, program, name, args...)
	if err != nil {
		return nil, err
	}
	go func() {
		_, _ = io.Copy(io.Discard, out)
		p.reap()
	}()
	return p, nil
}

// tailSize bounds the log that is kept of each process, in bytes.
const tailSize = 64 << 10

// tail keeps the end of what is written to it.
type tail struct {
	mu  sync.Mutex
	buf []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, p...)
	if over := len(t.buf) - tailSize; over > 0 {
		t.buf = append(t.buf[:0], t.buf[over:]...)
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf)
}
