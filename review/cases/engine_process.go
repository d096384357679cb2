package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// engineProcess is an engine in a process of its own, so that it can crash.
type engineProcess struct {
	*engine
	command  *exec.Cmd
	unframed chan string // ids of requests whose answer has no length
}

const (
	serveEngineCommand = "serve-engine"
	unframedMark       = "unframed "
	// unframedEvery makes 5 in 100 answers unframed, as `garble` with how "unframed" and x
	// 0.05 in the site file.
	unframedEvery = 20
)

// startEngineProcess starts an engine as a process and writes its entry.
func (s *site) startEngineProcess(i int) (*engineProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &engineProcess{engine: s.newEngine(i, streamPause, streamEvents), unframed: make(chan string, 64)}
	p.command = exec.Command(program, serveEngineCommand, p.Name, p.Address)
	p.command.Stderr = os.Stderr
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p.command.Process)
	lines := bufio.NewScanner(out)
	if !lines.Scan() { // the first line tells that it listens
		return nil, fmt.Errorf("engine %s does not start", p.Name)
	}
	go func() {
		for lines.Scan() {
			s.Record.note("engine %s: %s", p.Name, lines.Text())
			if id, ok := strings.CutPrefix(lines.Text(), unframedMark); ok {
				p.unframed <- id
			}
		}
	}()
	s.store.Put("servers", p.Name, p.entry())
	s.Record.note("engine %s registers, process %d", p.Name, p.command.Process.Pid)
	return p, nil
}

// kill crashes the engine.
func (p *engineProcess) kill() error {
	if err := p.command.Process.Kill(); err != nil {
		return err
	}
	_ = p.command.Wait() // tells that it was killed
	return nil
}

// serveEngine is the program of an engineProcess. It reports its runs on standard output.
func serveEngine(name, address string) error {
	e := &engine{
		Name: name, Address: address, Pause: streamPause, Events: streamEvents, UnframedEvery: unframedEvery,
		freed: make(chan struct{}), parts: map[string]string{},
		OnBegin: func(id string, unframed bool) {
			mark := "framed "
			if unframed {
				mark = unframedMark
			}
			fmt.Println(mark + id)
		},
	}
	fmt.Println("listens")
	return (&http.Server{Addr: address, Handler: e, ReadHeaderTimeout: time.Second}).ListenAndServe()
}
