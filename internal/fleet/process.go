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

// Process is a child process that this package started.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	exited  chan struct{}
	waitErr error
	logTail *logBuffer
}

// standinStartTimeout bounds the wait for a stand-in to print its address.
const standinStartTimeout = 10 * time.Second

// launch starts a program and returns its standard output. The end of its
// standard error is kept in a bounded buffer.
func launch(dir, program, name string, args ...string) (*Process, io.ReadCloser, error) {
	p := &Process{Name: name, exited: make(chan struct{}), logTail: &logBuffer{}}
	p.cmd = exec.Command(filepath.Join(dir, program), args...)
	p.cmd.Stderr = p.logTail
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.KindInternal, "cannot open the standard output of process %s", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, nil, failure.Wrap(err, failure.KindInternal, "cannot start process %s", name)
	}
	return p, out, nil
}

func (p *Process) reap() {
	go func() {
		p.waitErr = p.cmd.Wait()
		close(p.exited)
	}()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code, or -1 if a signal ended the process. It is
// valid once the process has exited.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// LogTail returns the end of what the process wrote to standard error.
func (p *Process) LogTail() string { return p.logTail.String() }

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop sends SIGTERM and kills the process if it has not exited within timeout.
func (p *Process) Stop(timeout time.Duration) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.Kill()
	}
}

// startStandin starts a stand-in and returns the address that it prints.
func startStandin(dir, name string, args ...string) (*Process, string, error) {
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
	case <-time.After(standinStartTimeout):
	}
	p.Signal(syscall.SIGKILL)
	return nil, "", failure.New(failure.KindInternal, "stand-in %s did not start: %s", name, p.LogTail())
}

// startProcess starts an entry or a control process and discards its standard
// output.
func startProcess(dir, program, name string, args ...string) (*Process, error) {
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

// maxLogBytes bounds the log kept for each process.
const maxLogBytes = 64 << 10

// logBuffer is an io.Writer that keeps the last maxLogBytes written to it.
type logBuffer struct {
	mu  sync.Mutex
	buf []byte
}

func (t *logBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, p...)
	if excess := len(t.buf) - maxLogBytes; excess > 0 {
		t.buf = append(t.buf[:0], t.buf[excess:]...)
	}
	return len(p), nil
}

func (t *logBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf)
}
