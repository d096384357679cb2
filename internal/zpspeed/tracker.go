// Package zpspeed tracks what endpoints say of their own load and speed. Endpoints share
// their VMs with other work, so that the speed of one changes within a second.
package zpspeed

import (
	"maps"
	"sync"
	"time"
)

type (
	// Load is what an endpoint says of itself in a response. The zero value says nothing.
	Load struct {
		Running int
		Waiting int
		Slots   int
		Percent int  // time that work takes now, in percent of the usual time
		IsBad   bool // the endpoint has said something that is not understood
	}

	// Report is the speed of an endpoint that one daemon tells another.
	Report struct {
		Endpoint    string
		StartedAtMS int64
		Percent     int
		Age         time.Duration
	}

	// Belief is what the last word of an endpoint still says after its age.
	Belief struct {
		StartedAtMS int64
		Requests    int     // running and waiting; zero if unknown
		Slowness    float64 // factor by which work takes longer than usual, at least 1
		Age         time.Duration
	}

	// Tracker holds the last word of each endpoint. It is safe for concurrent use.
	Tracker struct {
		mu      sync.Mutex
		words   map[string]word
		memory  memory
		beliefs map[string]Belief // handed out; never changed
		builtAt time.Time
	}

	word struct {
		load        Load
		startedAtMS int64
		at          time.Time
		sent        int // requests that this daemon has sent since then
		isOwn       bool
		hasEnded    bool // the word before said that the endpoint was slow
	}
)

const (
	usualPercent = 100
	// maxPercent bounds the effect of a single word.
	maxPercent = 1000
	// slowPercent is the figure from which an endpoint is called slow in log and metrics.
	slowPercent = 150
	// maxAge is the age from which a word says nothing.
	maxAge = 2 * time.Second
	// loadLife is the time in which the counts of a word lose their weight. Most of what
	// ran at its time has ended by then.
	loadLife = 300 * time.Millisecond
	// maxPassedAge is the age up to which other daemons are told of a word.
	maxPassedAge = 600 * time.Millisecond
	// rebuildInterval is the time for which beliefs are handed out unchanged.
	rebuildInterval = 10 * time.Millisecond
	// maxEndpoints bounds the memory for words. Those of a daemon are of the last maxAge.
	maxEndpoints = 4096
)

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker { return &Tracker{words: map[string]word{}, memory: newMemory()} }

// Record records what a response of an endpoint says and reports whether the endpoint has
// become slow. A load without speed says nothing.
func (t *Tracker) Record(endpoint string, startedAtMS int64, l Load, now time.Time) (becameSlow bool) {
	if l.IsBad || l.Percent <= 0 {
		return false
	}
	l.Percent = min(l.Percent, maxPercent)
	return t.put(endpoint, word{load: l, startedAtMS: startedAtMS, at: now, isOwn: true}, now)
}

// MergeAll takes over the words that other daemons have heard, if they are newer.
func (t *Tracker) MergeAll(reports []Report, now time.Time) {
	for _, r := range reports {
		t.merge(r, now)
	}
}

func (t *Tracker) merge(r Report, now time.Time) {
	if r.Percent <= 0 || r.Age < 0 || r.Age > maxPassedAge {
		return
	}
	t.put(r.Endpoint, word{load: Load{Percent: min(r.Percent, maxPercent)}, startedAtMS: r.StartedAtMS, at: now.Add(-r.Age)}, now)
}

func (t *Tracker) put(endpoint string, w word, now time.Time) (becameSlow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, isKnown := t.words[endpoint]
	if isKnown && (old.startedAtMS > w.startedAtMS || old.startedAtMS == w.startedAtMS && old.at.After(w.at)) {
		return false
	}
	isSame := isKnown && old.startedAtMS == w.startedAtMS
	if isSame && old.isOwn && w.isOwn {
		t.memory.learn(deviation(old.load), deviation(w.load), w.at.Sub(old.at))
	}
	if !isKnown && len(t.words) >= maxEndpoints {
		t.removeOld(now)
		if len(t.words) >= maxEndpoints {
			return false
		}
	}
	wasSlow := isSame && old.load.Percent >= slowPercent && now.Sub(old.at) <= maxAge
	isSlow := w.load.Percent >= slowPercent
	w.hasEnded = !isSlow && (wasSlow || isSame && old.hasEnded)
	t.words[endpoint] = w
	t.builtAt = time.Time{}
	return isSlow && !wasSlow
}

// RecordSent records that this daemon sends a request to an endpoint.
func (t *Tracker) RecordSent(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w, ok := t.words[endpoint]; ok {
		w.sent++
		t.words[endpoint] = w
	}
}

// Beliefs returns what is believed of the endpoints that have said something recently, by
// id. The map must not be changed.
func (t *Tracker) Beliefs(now time.Time) map[string]Belief {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age := now.Sub(t.builtAt); age >= 0 && age < rebuildInterval {
		return t.beliefs
	}
	t.removeOld(now)
	t.beliefs, t.builtAt = nil, now
	for endpoint, w := range t.words {
		if t.beliefs == nil {
			t.beliefs = make(map[string]Belief, len(t.words))
		}
		t.beliefs[endpoint] = w.belief(t.memory.life(), now)
	}
	return t.beliefs
}

// Slowness returns the factor by which work takes longer than usual at an endpoint.
func (t *Tracker) Slowness(endpoint string, startedAtMS int64, now time.Time) float64 {
	if b, ok := t.Beliefs(now)[endpoint]; ok && b.StartedAtMS == startedAtMS {
		return b.Slowness
	}
	return 1
}

// Reports returns the words that other daemons should hear: those that this daemon has heard
// itself from slow endpoints, and from endpoints that were slow before.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for endpoint, w := range t.words {
		age := now.Sub(w.at)
		if w.isOwn && age >= 0 && age <= maxPassedAge && (w.load.Percent >= slowPercent || w.hasEnded) {
			out = append(out, Report{Endpoint: endpoint, StartedAtMS: w.startedAtMS, Percent: w.load.Percent, Age: age})
		}
	}
	return out
}

// Slow returns the number of endpoints whose last word says that they are slow.
func (t *Tracker) Slow(now time.Time) int {
	n := 0
	for _, b := range t.Beliefs(now) {
		if b.Slowness*usualPercent >= slowPercent {
			n++
		}
	}
	return n
}

// Forget deletes the word of an endpoint that was removed.
func (t *Tracker) Forget(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.words, endpoint)
	t.builtAt = time.Time{}
}

// removeOld removes words that say nothing any more; t.mu must be held.
func (t *Tracker) removeOld(now time.Time) {
	maps.DeleteFunc(t.words, func(_ string, w word) bool { return now.Sub(w.at) > maxAge })
}

func (w word) belief(life time.Duration, now time.Time) Belief {
	age := max(now.Sub(w.at), 0)
	b := Belief{StartedAtMS: w.startedAtMS, Slowness: 1 + deviation(w.load)*remains(age, life), Age: age}
	if w.load.Slots > 0 && age < loadLife {
		said := w.load.Running + w.load.Waiting
		b.Requests = int(int64(said)*int64(loadLife-age)/int64(loadLife)) + w.sent
	}
	return b
}

// deviation returns how much longer work takes than usual, as a factor less one. An
// endpoint that is faster than usual counts as usual, so that no word attracts the
// requests of all daemons.
func deviation(l Load) float64 {
	return float64(max(l.Percent, usualPercent)-usualPercent) / usualPercent
}
