// Package zpsite runs a complete site as separate processes on the loopback
// interface: the daemons, and stand-ins for the platform, the link between regions,
// runners, services and stores. Each VM has its own IP address. The package serves
// tests, the demo and the benchmarks.
package zpsite

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one process of the site.
type Process struct {
	Name string
	Path string
	Args []string
	Dir  string // directory of the log file
	Env  []string
	// ExitError is the exit error of the last run; nil if it exited with status 0.
	ExitError error

	cmd  *exec.Cmd
	log  *os.File
	done chan error
}

// Start starts the process and appends its output to the log file Name.log in Dir.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.Name, err)
	}
	p.log = log
	p.cmd = exec.Command(p.Path, p.Args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), p.Env...)
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.done = make(chan error, 1)
	go func() { p.done <- p.cmd.Wait() }()
	return nil
}

// Signal sends s. It fails if the process has exited and panics if Running is false.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits for the process to exit. It does nothing if the
// process isn't running.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	// Kill fails if the process has already exited, which is fine here.
	_ = p.cmd.Process.Kill()
	p.cleanUp(<-p.done)
}

// Stop sends SIGTERM and waits for the process to exit. After the timeout it kills
// the process and returns an error.
func (p *Process) Stop(timeout time.Duration) error {
	if p.cmd == nil {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case err := <-p.done:
		p.cleanUp(err)
		return err
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not stop within %s and was killed", p.Name, timeout)
	}
}

// Log returns the contents of the log file, or the text of the error if it can't
// be read.
func (p *Process) Log() string {
	text, err := os.ReadFile(filepath.Join(p.Dir, p.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (p *Process) cleanUp(err error) {
	p.ExitError = err
	p.cmd = nil
	_ = p.log.Close()
}

// PID returns the process id. It panics if the process isn't running.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process was started and not yet stopped by Stop or
// Kill. It doesn't notice a process that exits by itself.
func (p *Process) Running() bool { return p.cmd != nil }
