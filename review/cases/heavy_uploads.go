package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// memoryWatch does what the platform does: it kills a daemon whose memory exceeds the
	// limit of its machine, and starts it again.
	memoryWatch struct {
		site   *site
		daemon int

		mu    sync.Mutex
		kills []time.Time
		peak  int64 // bytes
	}

	// pacedBody is a body that arrives over a while.
	pacedBody struct{ data *bytes.Reader }
)

const (
	loadedDaemon = 0
	// uploadBytes is below max-body-bytes, 4,194,304.
	uploadBytes    = 4_190_000
	uploadPiece    = 32 << 10
	uploadPause    = 6 * time.Millisecond // between two pieces: all clients of the burst stay below link-mbps
	uploadTokens   = "1200,48"            // a small prompt, so that the engines have room for all
	usualUploaders = 13
	// burstUploaders are at most 1.7 times usualUploaders, the largest burst of the site.
	burstUploaders = 22
	burstLength    = 3 * time.Second

	bookers      = 12
	bookingWork  = 60 * time.Millisecond
	bookingPause = 20 * time.Millisecond

	memoryLimit   = 134 << 20 // memory-mb of the machine
	memoryPoll    = 5 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	maxLostByRule = 3
	afterBurst    = 4 * time.Second
)

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	time.Sleep(uploadPause)
	return b.data.Read(p[:min(len(p), uploadPiece)])
}

// playHeavyUploads lets more clients than usual send large bodies to one daemon, while
// others save orders over kept connections.
func playHeavyUploads(ctx context.Context, s *site, trouble bool) (outcome, error) {
	log := &zpoutside.Log{}
	if err := s.open(len(zones), newConfig(7, oneTenant(false))); err != nil {
		return notRun, err
	}
	for i := range plainRunners {
		if err := s.startPlainRunner(i, bookingWork, log); err != nil {
			return notRun, err
		}
	}
	for i := range engines {
		if _, err := s.startEngine(i, streamPause, streamEvents); err != nil {
			return notRun, err
		}
	}
	if err := s.startDaemons(ctx); err != nil {
		return notRun, err
	}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	watch := &memoryWatch{site: s, daemon: loadedDaemon}
	var working sync.WaitGroup
	working.Go(func() { watch.run(clients) })
	requests := &requestLog{}
	for n := range bookers {
		working.Go(func() { s.sendOrders(clients, loadedDaemon, n, bookingPause, requests) })
	}
	var uploads atomic.Int64
	for range usualUploaders {
		working.Go(func() { s.sendUploads(clients, &uploads) })
		time.Sleep(streamPause * streamEvents / usualUploaders)
	}
	time.Sleep(warmUp)
	if trouble {
		s.Record.note("burst: %d instead of %d clients send bodies of %d bytes", burstUploaders, usualUploaders, uploadBytes)
		burst, stopBurst := context.WithTimeout(clients, burstLength)
		defer stopBurst()
		for range burstUploaders - usualUploaders {
			working.Go(func() { s.sendUploads(burst, &uploads) })
		}
	}
	time.Sleep(burstLength + afterBurst)
	stopClients()
	working.Wait()
	s.Record.note("uploads: %d", uploads.Load())
	return s.judgeKills(watch, log, requests), nil
}

// sendUploads sends large bodies one after another until ctx ends.
func (s *site) sendUploads(ctx context.Context, sent *atomic.Int64) {
	client := newClient()
	defer client.CloseIdleConnections()
	data := make([]byte, uploadBytes)
	for ctx.Err() == nil {
		n := sent.Add(1)
		status := s.upload(client, fmt.Sprintf("%08x", n), data)
		s.Record.note("upload %08x: status %d (0: no complete answer)", n, status)
		if status != http.StatusOK {
			time.Sleep(restartDelay)
		}
	}
}

// upload sends a large body and returns the status of the answer, or zero if there is no
// complete one.
func (s *site) upload(client *http.Client, id string, data []byte) int {
	url := fmt.Sprintf("http://%s:%d%s2f", s.ip(1, loadedDaemon), callersPort, suggestPath)
	req, err := http.NewRequest(http.MethodPost, url, &pacedBody{bytes.NewReader(data)})
	if err != nil {
		return 0
	}
	req.ContentLength, req.Host = int64(len(data)), host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(streamDeadline.Milliseconds()))
	req.Header.Set("Model", model)
	req.Header.Set("Token-Count", uploadTokens)
	req.Header.Set("Prompt-Prefix", "5c1e07a2:512,"+id+":688")
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// run watches the memory of the daemon until ctx ends.
func (m *memoryWatch) run(ctx context.Context) {
	p := m.site.daemons[m.daemon]
	for ctx.Err() == nil {
		used := anonymousMemory(p.PID())
		m.mu.Lock()
		m.peak = max(m.peak, used)
		m.mu.Unlock()
		if used > memoryLimit {
			m.kill(used)
		}
		time.Sleep(memoryPoll)
	}
}

func (m *memoryWatch) kill(used int64) {
	p := m.site.daemons[m.daemon]
	m.mu.Lock()
	m.kills = append(m.kills, time.Now())
	m.mu.Unlock()
	m.site.Record.note("daemon %d uses %d bytes, more than %d: the platform kills it", m.daemon, used, memoryLimit)
	p.Kill()
	time.Sleep(restartDelay)
	if err := p.Start(); err != nil {
		m.site.Record.note("daemon %d does not start: %v", m.daemon, err)
	}
}

// anonymousMemory returns the memory of a process without that of mapped files, or zero if
// it has ended.
func anonymousMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// judgeKills counts the requests that the daemon had passed on to runners when it was
// killed for its memory.
func (s *site) judgeKills(watch *memoryWatch, log *zpoutside.Log, requests *requestLog) outcome {
	began := map[string]time.Time{}
	for _, r := range log.Runs() {
		began[r.Request] = r.At
		s.Record.noteAt(r.At, "runner %s runs request %s", r.Endpoint, r.Request)
	}
	lost, answered := 0, 0
	for _, q := range requests.all() {
		s.Record.noteAt(q.SentAt, "%s", q.text())
		if q.Status == http.StatusOK && q.Complete {
			answered++
		}
		at, ran := began[q.ID]
		if ran && q.Status == 0 && q.DoneAt.Sub(q.SentAt) < q.Deadline {
			lost++
			s.Record.noteAt(q.DoneAt, "LOST: %s; its runner began it %d ms after it was sent", q.text(), at.Sub(q.SentAt).Milliseconds())
		}
	}
	s.Record.note("kills: %d; largest memory seen: %d bytes; orders passed on and not answered: %d; answered: %d", len(watch.kills), watch.peak, lost, answered)
	if answered == 0 || watch.peak == 0 {
		return notRun
	}
	if lost > maxLostByRule {
		return ruleBroken
	}
	return ruleHeld
}
