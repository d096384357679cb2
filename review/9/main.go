// Command 9 is the script of case 9: a part of prompts crashes runners, another runner crashes
// by itself, and sound prompts are refused for good.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/review/rig"
)

const (
	config = `{"version":1,"routes":[
	{"name":"tag","host":"shop.example","path-prefix":"/tag/","route-type":"streaming","resumable":true,"session-affinity":true,"timeout-ms":3000,"goal-ms":800,"gap-aim-ms":800,"service":"llm","max-attempts":2}],
	"services":[{"name":"llm","max-conns":370}],
	"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
	"tenants":[{"name":"w","api-keys":["key-of-w"]}]}`

	runners     = 8
	deadly      = 3 // prompts with the part that crashes runners
	sound       = 30
	soundParts  = "system:1200,document:600"
	deadlyParts = soundParts + ",dead:61"

	lapse  = 3600 * time.Millisecond // three heartbeats until the entry of a dead runner is removed
	backIn = 5 * time.Second
	settle = 9 * time.Second // over 2 x stable-window-ms

	maxDenied = 5 // of few requests
)

var errSetUp = errors.New("the case could not run")

type (
	// fleet holds the runners of the site.
	fleet struct {
		site *rig.Site

		mu    sync.Mutex
		procs []*process
		ranAt map[string]*process // by request id
	}

	// process is one run of a runner.
	process struct {
		*exec.Cmd
		index int
		id    string
	}
)

func main() {
	denied, err := run(os.Getenv("TROUBLE") != "0", os.Getenv("CRASH") != "0")
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		os.Exit(2)
	case denied > maxDenied:
		fmt.Printf("DENIED broken: %d of %d sound prompts ended with a 4xx of the system's own\n", denied, sound)
		os.Exit(1)
	}
	fmt.Printf("held: %d of %d sound prompts denied\n", denied, sound)
}

func run(isTrouble, otherCrash bool) (denied int, err error) {
	site := &rig.Site{Binary: "target/zinniapaddle"}
	if err := site.Open("review/9/record.txt"); err != nil {
		return 0, err
	}
	defer site.Close()
	site.Store.Put("config", "main", config)
	f := &fleet{site: site, procs: make([]*process, runners), ranAt: map[string]*process{}}
	defer f.stop()
	for n := range runners {
		if err := f.start(n, 1); err != nil {
			return 0, err
		}
	}
	daemons, err := site.StartDaemons(3)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	if isTrouble {
		for n := range deadly {
			f.send(daemons[n%3], fmt.Sprintf("deadly-%d", n), deadlyParts)
			time.Sleep(500 * time.Millisecond)
		}
		if otherCrash {
			f.crashUnder(daemons[0], "sound-at-crash")
		}
	}
	time.Sleep(settle)
	served := 0
	for n := range sound {
		switch status := f.send(daemons[n%3], fmt.Sprintf("sound-%d", n), soundParts); {
		case status == http.StatusOK:
			served++
		case status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest:
			denied++
		}
	}
	site.Note("%d sound prompts later than %s after the last crash: %d served, %d denied", sound, settle, served, denied)
	if !isTrouble && served < sound {
		return denied, fmt.Errorf("%w: without trouble %d of %d were served", errSetUp, served, sound)
	}
	return denied, nil
}

// start starts a runner and registers it.
func (f *fleet) start(index, life int) error {
	p := &process{index: index, id: fmt.Sprintf("i-%d-%d", index, life)}
	p.Cmd = exec.Command("target/review-runner", f.site.RunnerAddress(index), p.id)
	output, err := p.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.procs[index] = p
	f.mu.Unlock()
	born := time.Now().UnixMilli()
	f.site.Store.Put("servers", p.id, fmt.Sprintf(`{"service":"llm","address":%q,"zone":%q,"version":"1","slots":64,"state":"ready","cold-left-ms":0,"sequence":0,"born":%d}`, f.site.RunnerAddress(index), rig.Zones[index%3], born))
	go f.follow(p, output, life)
	return nil
}

// follow notes what a runner prints. After its end it acts as the platform: the entry lapses, and
// the runner comes back under another id.
func (f *fleet) follow(p *process, output io.Reader, life int) {
	for lines := bufio.NewScanner(output); lines.Scan(); {
		f.site.Note("runner %s: %s", p.id, lines.Text())
		if id, ok := strings.CutPrefix(lines.Text(), "run "); ok {
			f.mu.Lock()
			f.ranAt[id] = p
			f.mu.Unlock()
		}
	}
	_ = p.Wait() // it was killed or has crashed
	f.mu.Lock()
	isOver := f.procs == nil
	f.mu.Unlock()
	if isOver {
		return
	}
	f.site.Note("runner %s has ended", p.id)
	time.Sleep(lapse)
	f.site.Store.Remove("servers", p.id)
	time.Sleep(backIn - lapse)
	if err := f.start(p.index, life+1); err != nil {
		f.site.Note("runner %d: %s", p.index, err)
	}
}

// crashUnder kills the runner that runs a sound prompt, before its first event.
func (f *fleet) crashUnder(d *rig.Daemon, id string) {
	done := make(chan int)
	go func() { done <- f.send(d, id, soundParts) }()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		p := f.ranAt[id]
		f.mu.Unlock()
		if p != nil {
			time.Sleep(100 * time.Millisecond)
			f.site.Note("runner %s crashes by itself", p.id)
			_ = p.Process.Kill()
			break
		}
	}
	<-done
}

// send sends one prompt and returns the status of the answer.
func (f *fleet) send(d *rig.Daemon, id, parts string) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/tag/x", d.Front()), nil)
	if err != nil {
		return 0
	}
	req.Host = "shop.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Authorization": "Bearer key-of-w", "Deadline-Ms": "3000",
		"Model": "m", "Token-Count": "2368,8", "Prompt-Prefix": parts + "," + id + ":507",
	} {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		f.site.Note("client: %s at %s: %s", id, d.Name, err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	f.site.Note("client: %s at %s answered %d, %d bytes (%v)", id, d.Name, res.StatusCode, len(body), err)
	return res.StatusCode
}

func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		_ = p.Process.Kill() // fails only if it has ended
	}
	f.procs = nil
}
