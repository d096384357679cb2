package zpdigest_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpdigest"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// fleet plays the exchange of loads without a network. Each daemon has one endpoint of
	// its own, and the number of requests on it is the time in ms, so that the load that a
	// daemon believes tells its age.
	fleet struct {
		nowMS   int
		loaded  []*daemon // daemons with a load, at most maxLoaded or so
		daemons []*daemon
		byPeer  map[string]*daemon // by address
		rng     *rand.Rand
	}

	daemon struct {
		*zpdigest.Exchange
		phaseMS int
		down    bool
		calls   atomic.Int64 // made and answered
		running *zpusage.RunningRequest
	}
)

const (
	intervalMS = 200
	domains    = 6
	// maxLoaded bounds the time that a large fleet takes to play.
	maxLoaded = 100
)

var errDown = errors.New("no answer")

func newFleet(n int) *fleet {
	f := &fleet{byPeer: map[string]*daemon{}, rng: rand.New(rand.NewPCG(1, uint64(n)))}
	var members []zpassign.Member
	for i := range n {
		name := fmt.Sprintf("d%d", i)
		members = append(members, zpassign.Member{
			Name: name, Instance: name + ".1", PeerAddress: name, Domain: fmt.Sprintf("zone%d", i%domains), Cores: []float64{0.8, 0.192}[i/domains%2],
		})
	}
	for i, m := range members {
		others := append(append([]zpassign.Member{}, members[:i]...), members[i+1:]...)
		d := &daemon{phaseMS: f.rng.IntN(intervalMS)}
		d.Exchange = &zpdigest.Exchange{
			Self: m, Hub: zpdigest.NewHub(m.Instance, m.Domain), Usage: zpusage.NewTracker(2 * time.Second),
			Others: func() []zpassign.Member { return others }, Log: zplog.Discard(), Clock: f.now,
			ReportLoad: func(_ context.Context, address string, r zpdigest.Report) (zpdigest.Digest, error) {
				to, err := f.call(d, address)
				if err != nil {
					return zpdigest.Digest{}, err
				}
				to.Hub.AddReport(r, f.now())
				return to.Hub.Digest(r.Name, r.KnownAlive, f.now()), nil
			},
			ExchangeSums: func(_ context.Context, address string, s zpdigest.Sum) (zpdigest.Sum, error) {
				to, err := f.call(d, address)
				if err != nil {
					return zpdigest.Sum{}, err
				}
				to.Hub.AddSum(s, f.now())
				return to.Hub.Sum(f.now()), nil
			},
		}
		f.daemons, f.byPeer[m.PeerAddress] = append(f.daemons, d), d
		if i%(1+n/maxLoaded) == 0 {
			f.loaded = append(f.loaded, d)
		}
	}
	return f
}

func (f *fleet) now() time.Time { return at(f.nowMS) }

func (f *fleet) call(from *daemon, address string) (*daemon, error) {
	to := f.byPeer[address]
	if to.down || from.down {
		return nil, errDown
	}
	from.calls.Add(1)
	to.calls.Add(1)
	return to, nil
}

// play lets all daemons exchange loads for some time.
func (f *fleet) play(ms int) {
	for end := f.nowMS + ms; f.nowMS < end; f.nowMS += 10 {
		for _, d := range f.daemons {
			if d.down {
				continue
			}
			if (f.nowMS+d.phaseMS)%intervalMS < 10 {
				if slices.Contains(f.loaded, d) {
					d.setLoad(f.nowMS)
				}
				d.Report(context.Background())
			}
			if (f.nowMS+d.phaseMS+intervalMS/2)%intervalMS < 10 {
				d.MergeSums(context.Background())
			}
		}
	}
}

func (d *daemon) setLoad(n int) {
	if d.running != nil {
		d.running.End()
	}
	d.running = d.Usage.Begin("of-"+d.Self.Name, n, 0)
}

// oldestBelief returns the age in ms of the oldest load that a daemon believes of live ones.
func (f *fleet) oldestBelief(d *daemon) int {
	oldest := 0
	for _, other := range f.loaded {
		if other != d && !other.down {
			oldest = max(oldest, f.nowMS-d.Usage.Total("of-"+other.Self.Name, f.now()).PrefillTokens)
		}
	}
	return oldest
}

// believed returns the number of requests that a daemon believes to run on the endpoint of
// another one: 1, unless it counts the load of that daemon twice or not at all.
func (f *fleet) believed(d, of *daemon) int {
	return d.Usage.Total("of-"+of.Self.Name, f.now()).Requests
}

// relay returns the daemon of a failure domain that answers the most calls.
func (f *fleet) relay(domain string) *daemon {
	var out *daemon
	for _, d := range f.daemons {
		if d.Self.Domain == domain && (out == nil || d.calls.Load() > out.calls.Load()) {
			out = d
		}
	}
	return out
}

var _ = Describe("Exchange", func() {
	DescribeTable("tells each daemon the load of all others in time, with calls that do not grow with the fleet",
		func(n int) {
			f := newFleet(n)
			f.play(1200)
			for _, d := range f.daemons {
				d.calls.Store(0)
			}
			f.play(1000)
			calls := make([]int, 0, n)
			for i, d := range f.daemons {
				calls = append(calls, int(d.calls.Load()))
				if i%20 == 0 {
					Expect(f.oldestBelief(d)).To(BeNumerically("<=", 800), "age in ms at %s", d.Self.Name)
					Expect(d.Alive()).To(HaveLen(n - 1))
				}
			}
			busiest, total := 0, 0
			for _, c := range calls {
				busiest, total = max(busiest, c), total+c
			}
			relays := domains * (1 + n/domains/48)
			Expect(total/2).To(BeNumerically("<=", 5*n+5*relays*relays), "calls a second in the fleet")
			Expect(busiest).To(BeNumerically("<=", 5*48+2*5*relays+10), "calls a second of the busiest relay")
		},
		Entry("95 daemons", 95),
		Entry("300 daemons", 300),
		Entry("1,173 daemons", 1173),
	)

	Describe("when daemons fail", func() {
		var f *fleet
		BeforeEach(func() {
			f = newFleet(95)
			f.play(2000)
		})

		expectAllBelieveOnce := func() {
			GinkgoHelper()
			for i := 0; i < len(f.daemons); i += 9 {
				for _, of := range f.daemons {
					if f.daemons[i] != of && !f.daemons[i].down && !of.down {
						Expect(f.believed(f.daemons[i], of)).To(Equal(1), "%s of %s", f.daemons[i].Self.Name, of.Self.Name)
					}
				}
			}
		}

		It("counts the load of each daemon once", expectAllBelieveOnce)

		It("goes on through another daemon when a relay is dead, and never counts a load twice", func() {
			dead := f.relay("zone2")
			dead.down = true
			for range 40 {
				f.play(100)
				for i := 0; i < len(f.daemons); i += 9 {
					for _, of := range f.daemons {
						Expect(f.believed(f.daemons[i], of)).To(BeNumerically("<=", 1))
					}
				}
			}
			expectAllBelieveOnce()
			Expect(f.believed(f.daemons[0], dead)).To(BeZero())
			Expect(f.daemons[0].Alive()).NotTo(HaveKey(dead.Self.Name))
			dead.down = false
			f.play(5000)
			expectAllBelieveOnce()
			Expect(f.daemons[0].Alive()).To(HaveKey(dead.Self.Name))
		})

		It("forgets a failure domain that is cut off, within two seconds", func() {
			for _, d := range f.daemons {
				d.down = d.Self.Domain == "zone3"
			}
			f.play(3500)
			for _, d := range f.daemons {
				if d.down {
					Expect(f.believed(f.daemons[0], d)).To(BeZero())
				}
			}
			expectAllBelieveOnce()
		})

		It("keeps the loads that a daemon knows while a new relay hears of the others", func() {
			f.relay("zone1").down = true
			for range 20 {
				f.play(50)
				for _, d := range f.daemons {
					if d.Self.Domain == "zone1" && !d.down {
						Expect(d.Usage.Total("of-"+f.daemons[0].Self.Name, f.now()).Requests).To(Equal(1), "at %s", d.Self.Name)
					}
				}
			}
		})
	})
})
