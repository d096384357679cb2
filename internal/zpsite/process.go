// Package zpsite starts a whole site as separate processes on loopback: the
// stand-ins and the daemons, each VM with an address of its own. Tests, the
// demo and the benchmarks use it.
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

// Process is one process that the site started.
type Process struct {
	Name string
	Path string
	Args []string
	Dir  string // for its log
	Env  []string
	// Ended is how the process last ended.
	Ended error

	cmd  *exec.Cmd
	log  *os.File
	done chan error
}

// Start starts the process; its output goes to a file of its name.
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

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	// A process that has ended cannot be killed again; that is no failure.
	_ = p.cmd.Process.Kill()
	p.end(<-p.done)
}

// Stop asks the process to end and waits for it, up to the timeout.
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
		p.end(err)
		return err
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, timeout)
	}
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	text, err := os.ReadFile(filepath.Join(p.Dir, p.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (p *Process) end(err error) {
	p.Ended = err
	p.cmd = nil
	_ = p.log.Close()
}

// PID returns the process id while the process runs.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process was started and not ended by the site.
func (p *Process) Running() bool { return p.cmd != nil }
