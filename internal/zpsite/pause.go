package zpsite

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// pauseTimeout bounds the wait for a process to stand still.
	pauseTimeout      = 5 * time.Second
	pausePollInterval = time.Millisecond
)

// Pause stops the process with SIGSTOP and waits until none of its threads runs. On a
// busy machine a thread may go on for a while after the signal was sent, and the
// process still answer.
func (p *Process) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(pauseTimeout); ; {
		stopped, err := p.isStopped()
		if err != nil || stopped {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s still runs %s after SIGSTOP", p.Name, pauseTimeout)
		}
		time.Sleep(pausePollInterval)
	}
}

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// isStopped reports whether all threads of the process are stopped.
func (p *Process) isStopped() (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false, err
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // the thread has ended
		}
		if err != nil {
			return false, err
		}
		// The state follows the name, which is in parentheses and may contain any character.
		text := string(stat)
		if !strings.HasPrefix(text[strings.LastIndexByte(text, ')')+1:], " T") {
			return false, nil
		}
	}
	return len(files) > 0, nil
}
