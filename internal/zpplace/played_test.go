package zpplace_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// play is a load on a few engines through daemons that choose with Best.
	play struct {
		engines   []*fakeEngine
		daemons   []*fakeDaemon
		kinds     []*promptKind
		rng       *rand.Rand
		now       time.Time
		usesSpeed bool // daemons use what engines say of their speed
		weighsAge bool // daemons weigh loads by their age and prefer different engines
	}

	// promptKind is one kind of prompt with what became of those that were sent.
	promptKind struct {
		name      string
		request   zpplace.Request
		uncached  int // tokens that an engine reads
		aim       time.Duration
		perSecond float64
		rank      int // 0 is the most urgent
		asked     int
		inAim     int
		longest   time.Duration // to the first event
	}

	// fakeEngine reads one piece of one prompt with each step of its runs.
	fakeEngine struct {
		id        string
		slowness  float64
		changesAt time.Time
		isDark    bool // it answers nothing
		reading   []*fakeRun
		streams   []*fakeRun
		readyAt   time.Time // end of the present step
		taken     int       // prompts
	}

	fakeRun struct {
		kind      *promptKind
		daemon    *fakeDaemon
		arrivedAt time.Time
		unread    int
		output    int
		use       *zpusage.RunningRequest
	}

	// fakeDaemon knows the load of others as of its last exchange.
	fakeDaemon struct {
		name         string
		usage        *zpusage.Tracker
		speed        *zpspeed.Tracker
		interval     time.Duration // between two exchanges
		exchangeAt   time.Time
		isDeaf       bool // it knows nothing of speeds
		waiting      []*fakeRun
		nextArrivals []time.Time
	}
)

const (
	pieceTokens = 1024
	stepTime    = 4 * time.Millisecond
	tick        = time.Millisecond
	slowTime    = 600 * time.Millisecond // mean time for which an engine is slow
	usualTime   = 3600 * time.Millisecond
)

func newPlay(engines, daemons int, seed uint64, kinds ...*promptKind) *play {
	p := &play{kinds: kinds, rng: rand.New(rand.NewPCG(7, seed)), now: start, usesSpeed: true, weighsAge: true}
	for i := range engines {
		p.engines = append(p.engines, &fakeEngine{id: fmt.Sprint("e", i), slowness: 1, changesAt: start.Add(time.Hour)})
	}
	for i := range daemons {
		d := &fakeDaemon{name: fmt.Sprint("d", i), usage: zpusage.NewTracker(2 * time.Second), speed: zpspeed.NewTracker(), interval: 200 * time.Millisecond}
		d.exchangeAt = start.Add(time.Duration(p.rng.Int64N(int64(d.interval))))
		d.nextArrivals = make([]time.Time, len(kinds))
		for i := range kinds {
			d.nextArrivals[i] = p.after(float64(daemons) / kinds[i].perSecond)
		}
		p.daemons = append(p.daemons, d)
	}
	return p
}

// makeUneven makes each engine slow by 2.5 at random, one seventh of the time.
func (p *play) makeUneven() {
	for _, e := range p.engines {
		e.changesAt = p.after(usualTime.Seconds())
	}
}

// after returns a random time after now, by its mean in seconds.
func (p *play) after(mean float64) time.Time {
	return p.now.Add(time.Duration(mean * p.rng.ExpFloat64() * float64(time.Second)))
}

// run plays for a time, in which prompts come in all but the last two seconds.
func (p *play) run(d time.Duration) {
	end := p.now.Add(d)
	for ; p.now.Before(end); p.now = p.now.Add(tick) {
		for _, e := range p.engines {
			p.change(e)
			p.step(e)
		}
		for _, daemon := range p.daemons {
			if !p.now.Before(daemon.exchangeAt) {
				p.exchange(daemon)
			}
			if end.Sub(p.now) > 2*time.Second {
				p.arrive(daemon)
			}
			p.place(daemon)
		}
	}
}

func (p *play) change(e *fakeEngine) {
	if p.now.Before(e.changesAt) {
		return
	}
	if e.slowness == 1 {
		e.slowness, e.changesAt = 2.5, p.after(slowTime.Seconds())
	} else {
		e.slowness, e.changesAt = 1, p.after(usualTime.Seconds())
	}
}

// step ends the present step of an engine and starts the next.
func (p *play) step(e *fakeEngine) {
	if e.isDark || p.now.Before(e.readyAt) {
		return
	}
	e.streams = slices.DeleteFunc(e.streams, func(r *fakeRun) bool {
		r.output--
		if r.output <= 0 {
			r.use.End()
		}
		return r.output <= 0
	})
	if len(e.reading) > 0 && e.reading[0].unread <= 0 {
		p.firstEvent(e, e.reading[0])
		e.reading = e.reading[1:]
	}
	if len(e.reading)+len(e.streams) == 0 {
		return
	}
	d := stepTime
	if len(e.reading) > 0 {
		// Urgent prompts are read first.
		slices.SortStableFunc(e.reading, func(a, b *fakeRun) int { return cmp.Compare(a.kind.rank, b.kind.rank) })
		r := e.reading[0]
		piece := min(r.unread, pieceTokens)
		r.unread -= piece
		d += time.Duration(piece) * time.Millisecond / time.Duration(zpplace.DefaultRates().PrefillPerMS)
	}
	e.readyAt = p.now.Add(time.Duration(float64(d) * e.slowness))
}

func (p *play) firstEvent(e *fakeEngine, r *fakeRun) {
	took := p.now.Sub(r.arrivedAt)
	if took <= r.kind.aim {
		r.kind.inAim++
	}
	r.kind.longest = max(r.kind.longest, took)
	r.use.PrefillDone()
	e.streams = append(e.streams, r)
	if p.usesSpeed && !r.daemon.isDeaf {
		load := zpspeed.Load{Running: len(e.streams), Waiting: len(e.reading), Slots: 64, Percent: int(100 * e.slowness)}
		r.daemon.speed.Record(e.id, 0, load, p.now)
	}
}

// exchange tells a daemon what the others know now.
func (p *play) exchange(to *fakeDaemon) {
	to.exchangeAt = p.now.Add(to.interval)
	for i, d := range p.daemons {
		if d == to {
			continue
		}
		uses, _ := d.usage.Own()
		to.usage.SetPeer(fmt.Sprint(i), uses, p.now)
		if to.isDeaf {
			continue
		}
		to.speed.MergeAll(d.speed.Reports(p.now), p.now)
	}
}

func (p *play) arrive(d *fakeDaemon) {
	for i, k := range p.kinds {
		for !p.now.Before(d.nextArrivals[i]) {
			d.nextArrivals[i] = p.after(float64(len(p.daemons)) / k.perSecond)
			k.asked++
			d.waiting = append(d.waiting, &fakeRun{kind: k, daemon: d, arrivedAt: p.now, unread: k.uncached, output: k.request.OutputTokens})
		}
	}
}

// place sends the waiting prompts for which an engine has capacity.
func (p *play) place(d *fakeDaemon) {
	d.waiting = slices.DeleteFunc(d.waiting, func(r *fakeRun) bool {
		var candidates []zpplace.Candidate
		var engines []*fakeEngine
		for _, e := range p.engines {
			c := zpplace.Candidate{ID: e.id, Use: d.usage.Total(e.id, p.now), Slots: 64, MemoryTokens: 108_000}
			p.believe(d, &c)
			c.CachedTokens = r.kind.request.PromptTokens - r.kind.uncached
			if !e.isDark && zpplace.HasCapacity(r.kind.request, c, zpplace.DefaultRates()) {
				candidates, engines = append(candidates, c), append(engines, e)
			}
		}
		p.rng.Shuffle(len(engines), func(i, j int) {
			candidates[i], candidates[j], engines[i], engines[j] = candidates[j], candidates[i], engines[j], engines[i]
		})
		i, _ := zpplace.Best(r.kind.request, candidates, zpplace.DefaultRates())
		if i < 0 {
			return false
		}
		r.use = d.usage.Begin(engines[i].id, r.unread, zpplace.KVTokens(r.kind.request))
		engines[i].reading = append(engines[i].reading, r)
		engines[i].taken++
		return true
	})
}

// believe adds what a daemon believes to a candidate.
func (p *play) believe(d *fakeDaemon, c *zpplace.Candidate) {
	if p.weighsAge {
		c.Use = d.usage.Believed(c.ID, p.now)
		c.Preference = zpplace.Preference(d.name, c.ID)
	}
	c.Slowness = d.speed.Slowness(c.ID, 0, p.now)
}

// busiest returns the prompts of the engine that took the most, as a multiple of the mean.
func (p *play) busiest() float64 {
	sum, most := 0, 0
	for _, e := range p.engines {
		sum, most = sum+e.taken, max(most, e.taken)
	}
	return float64(most*len(p.engines)) / float64(sum)
}
