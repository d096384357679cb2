package zporigin_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
)

var (
	start    = time.Unix(1000, 0)
	errDown  = errors.New("down")
	ofStream = zporigin.Origin{Request: "r", Pool: "p", Version: "v2"}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// fleet is a set of daemons that reach each other directly, and a clock.
type fleet struct {
	members     []zpassign.Member
	directories map[string]*zporigin.Directory // by address

	mu   sync.Mutex
	now  time.Time
	down map[string]bool // by address
	told int             // messages

	reads     int      // of the store
	stored    []string // versions that the store tells
	storeErr  error
	isOlder   bool // all daemons but the one that asks are of a release that answers with the origin alone
	omitsSeen bool // all daemons but the one that asks are of a release that does not say what changes it has read

	versions map[string][]string // of the pool p, by the name of the daemon that sees them
	movedAt  time.Time           // when a route was moved to the pool p
	silent   string              // name of a daemon that no call reaches or leaves
	lonely   string              // name of a daemon that takes all others for lost
	listedAt time.Time           // when all daemons last heard of the endpoints; zero: just now
	missed   map[string]bool     // names of daemons that have just read the list anew and lack the changes before
}

// newFleet returns n daemons in each of two regions.
func newFleet(n int) *fleet {
	f := &fleet{directories: map[string]*zporigin.Directory{}, now: start, down: map[string]bool{}, versions: map[string][]string{}, missed: map[string]bool{}}
	for _, region := range []string{"n", "s"} {
		for i := range n {
			name := fmt.Sprintf("%s%d", region, i)
			f.members = append(f.members, zpassign.Member{Name: name, PeerAddress: name, Region: region})
		}
	}
	for _, m := range f.members {
		f.restart(m)
	}
	return f
}

// restart gives a daemon an empty directory.
func (f *fleet) restart(m zpassign.Member) {
	startedAt := f.clock()
	d := &zporigin.Directory{
		Self: m, Alive: func(key string) [][]zpassign.Member { return f.alive(m, key) }, Registered: zplookup.NewOwners(f.members).Ranked,
		Others:   func() []zpassign.Member { return f.others(m) },
		HearsAll: func() bool { return f.hearsAll(m) }, KeepsSince: func() time.Time { return startedAt }, SeesSince: func() time.Time { return f.seesSince(m.Name, startedAt) }, ListedAt: f.listed, Table: zporigin.NewTable(), Pools: zporigin.NewVersions(), Log: zplog.Discard(), Clock: f.clock,
		ServesSince: func(string) time.Time { return f.movedAt },
		VersionsOf: func(pool string, _ time.Time) []string {
			if pool != "p" {
				return nil
			}
			return f.versions[m.Name]
		},
		Tell: func(_ context.Context, address string, origins []zporigin.Origin) error {
			peer, err := f.peer(m.Name, address)
			if err != nil {
				return err
			}
			for _, o := range origins {
				peer.Table.Record(o, f.clock())
			}
			return nil
		},
		Ask: func(_ context.Context, address, request, pool string) (zporigin.Reply, error) {
			peer, err := f.peer(m.Name, address)
			if err != nil {
				return zporigin.Reply{}, err
			}
			reply := peer.Answer(request, pool, f.clock())
			if f.isOlder {
				reply = zporigin.Reply{Origin: reply.Origin, IsKnown: reply.IsKnown, SeenFor: zporigin.UnknownTime}
			}
			if f.omitsSeen {
				reply.SeenFor = zporigin.UnknownTime
			}
			return reply, nil
		},
		ReadVersions: func(context.Context, string) ([]string, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.reads++
			return f.stored, f.storeErr
		},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directories[m.PeerAddress] = d
}

// restartAll restarts all daemons, which see the versions of a pool.
func (f *fleet) restartAll(versions ...string) {
	for _, m := range f.members {
		f.restart(m)
	}
	f.observe(versions...)
}

func (f *fleet) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) setClock(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = now
}

// others returns all daemons but one.
func (f *fleet) others(m zpassign.Member) []zpassign.Member {
	return slices.DeleteFunc(slices.Clone(f.members), func(x zpassign.Member) bool { return x == m })
}

// hearsAll reports whether a daemon takes all others for alive.
func (f *fleet) hearsAll(m zpassign.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lonely != m.Name && len(f.down) == 0
}

// alive returns the daemons that a daemon takes for alive.
func (f *fleet) alive(m zpassign.Member, key string) [][]zpassign.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lonely == m.Name {
		return [][]zpassign.Member{{m}}
	}
	return zplookup.NewOwners(f.members).Ranked(key)
}

// takeForLost makes a daemon take all others for lost.
func (f *fleet) takeForLost(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lonely = name
}

// seesSince returns since when a daemon has read all changes of the endpoints.
func (f *fleet) seesSince(name string, startedAt time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.missed[name] {
		return f.now
	}
	return startedAt
}

// listed returns when daemons last heard of the endpoints.
func (f *fleet) listed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listedAt.IsZero() {
		return f.now
	}
	return f.listedAt
}

// silence cuts a daemon off from the others.
func (f *fleet) silence(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = name
}

// isolate cuts a daemon off for so long that it takes the others for lost.
func (f *fleet) isolate(name string) {
	f.silence(name)
	f.takeForLost(name)
}

func (f *fleet) peer(from, address string) (*zporigin.Directory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told++
	if f.down[address] || f.silent == from || f.silent == address {
		return nil, errDown
	}
	return f.directories[address], nil
}

// messages returns how many messages were sent.
func (f *fleet) messages() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told
}

func (f *fleet) forgetMessages() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = 0
}

// restartOthers restarts all daemons but one, which see the versions of a pool.
func (f *fleet) restartOthers(name string, versions ...string) {
	for _, m := range f.members {
		if m.Name != name {
			f.restart(m)
			f.observeAt(m.Name, versions...)
		}
	}
}

// observe lets all daemons see the versions of a pool.
func (f *fleet) observe(versions ...string) {
	for _, m := range f.members {
		f.observeAt(m.Name, versions...)
	}
}

// observeOthers lets all daemons but one see the versions of a pool.
func (f *fleet) observeOthers(name string, versions ...string) {
	for _, m := range f.members {
		if m.Name != name {
			f.observeAt(m.Name, versions...)
		}
	}
}

// observeAt lets one daemon see the versions of a pool.
func (f *fleet) observeAt(name string, versions ...string) {
	f.versions[name] = versions
	f.directories[name].Observe(context.Background(), "p", f.clock())
}

// setDown cuts off all daemons for which isDown is true.
func (f *fleet) setDown(isDown func(m zpassign.Member) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.down)
	for _, m := range f.members {
		if isDown(m) {
			f.down[m.PeerAddress] = true
		}
	}
}

// holders returns the daemons that keep the origin of the stream r.
func (f *fleet) holders() (out []zpassign.Member) {
	for _, m := range f.members {
		if _, ok := f.directories[m.PeerAddress].Table.Find("r", f.clock()); ok {
			out = append(out, m)
		}
	}
	return out
}

// neverAsked returns a daemon that keeps no origin of a request and is not asked for it.
func (f *fleet) neverAsked(request string) zpassign.Member {
	owners := slices.Concat(zplookup.NewOwners(f.members).Ranked(request)...)
	i := slices.IndexFunc(f.members, func(m zpassign.Member) bool { return !slices.Contains(owners, m) })
	return f.members[i]
}

func (f *fleet) expectKnownTo(name string) {
	GinkgoHelper()
	Eventually(func() zporigin.Finding { return f.directories[name].Find(context.Background(), "r", "p") }, "1s").
		Should(Equal(zporigin.Finding{Status: zporigin.StatusKnown, Pool: "p", Version: "v2"}))
}

func (f *fleet) expectStatus(name string, status zporigin.Status) {
	GinkgoHelper()
	f.expectStatusOf(name, "r", status)
}

func (f *fleet) expectStatusOf(name, request string, status zporigin.Status) {
	GinkgoHelper()
	Expect(f.directories[name].Find(context.Background(), request, "p").Status).To(Equal(status))
}

var _ = Describe("Directory", func() {
	var f *fleet

	BeforeEach(func() { f = newFleet(4) })

	It("sends nothing while a pool has one version, and lets its streams go on anywhere", func() {
		f.setClock(at(zporigin.Retention.Seconds()))
		f.observe("v1")
		f.directories["n0"].Record(context.Background(), zporigin.Origin{Request: "r", Pool: "p", Version: "v1"}, false)
		Expect(f.told).To(BeZero())
		f.expectStatusOf("s1", "another", zporigin.StatusAny)
		Expect(f.directories["s1"].Find(context.Background(), "r", "p")).To(Equal(zporigin.Finding{Status: zporigin.StatusKnown, Pool: "p", Version: "v1"}))
	})

	It("knows in each daemon at which version a stream began", func() {
		f.observe("v1", "v2")
		f.directories["n0"].Record(context.Background(), ofStream, false)
		for _, m := range f.members {
			f.expectKnownTo(m.Name)
		}
	})

	// Guards against a caller that gets an event of a stream which dies with its daemon.
	It("has told another daemon of the region when Record returns", func() {
		f.observe("v1", "v2")
		f.directories["n0"].Record(context.Background(), ofStream, false)
		f.setDown(func(m zpassign.Member) bool { return m.Name == "n0" || m.Region == "s" })
		f.expectKnownTo("n1")
	})

	It("knows the streams of a daemon that is lost with one of their keepers", func() {
		f.observe("v1", "v2")
		for _, lost := range f.members {
			if lost.Name == "n0" {
				continue
			}
			g := newFleet(4)
			g.observe("v1", "v2")
			g.directories["n0"].Record(context.Background(), ofStream, false)
			g.expectKnownTo("s3")
			g.setDown(func(m zpassign.Member) bool { return m.Name == "n0" || m.Name == lost.Name })
			g.restart(lost)
			for _, m := range g.members {
				if m.Name != "n0" && m.Name != lost.Name {
					g.expectKnownTo(m.Name)
				}
			}
		}
	})

	It("tells others of the streams that began before a second version appeared", func() {
		f.observe("v1")
		f.directories["n0"].Record(context.Background(), zporigin.Origin{Request: "r", Pool: "p", Version: "v1"}, false)
		f.observe("v1", "v2")
		Eventually(func() zporigin.Finding { return f.directories["s2"].Find(context.Background(), "r", "p") }, "1s").
			Should(Equal(zporigin.Finding{Status: zporigin.StatusKnown, Pool: "p", Version: "v1"}))
	})

	It("learns of a stream at a version that this daemon has not seen yet", func() {
		f.observeAt("n0", "v1", "v2")
		f.directories["n0"].Record(context.Background(), ofStream, false)
		f.observeAt("n1", "v1")
		f.expectKnownTo("n1")
	})

	It("takes a stream that nobody knows for one of the only version before, for a short time", func() {
		f.observe("v1")
		f.setClock(at(60))
		f.observe("v1")
		f.setClock(at(80))
		f.observe("v1", "v2")
		Expect(f.directories["n1"].Find(context.Background(), "r", "p")).To(Equal(zporigin.Finding{Status: zporigin.StatusAssumed, Version: "v1"}))
		for _, m := range f.members {
			f.setDown(func(x zpassign.Member) bool { return x == m && m.Name != "n1" })
			f.expectStatus("n1", statusWithout(m))
		}
		f.setDown(func(zpassign.Member) bool { return false })
		f.setClock(at(85))
		f.expectStatus("n1", zporigin.StatusUnknown)
	})

	It("does not know a stream that nobody knows if it has only seen the pool mixed", func() {
		f.observe("v1", "v2")
		f.expectStatus("n1", zporigin.StatusUnknown)
	})

	// Guards against a daemon that has just started and takes its pools for those of one version.
	It("looks at the versions itself before it lets a stream go on", func() {
		f.versions["n1"] = []string{"v1", "v2"}
		f.expectStatus("n1", zporigin.StatusUnknown)
	})

	It("keeps little of ids that are long", func() {
		f.observe("v1", "v2")
		id := strings.Repeat("r", 8000)
		f.directories["n0"].Record(context.Background(), zporigin.Origin{Request: id, Pool: "p", Version: "v2"}, false)
		Expect(f.directories["n0"].Find(context.Background(), id, "p").Status).To(Equal(zporigin.StatusKnown))
		Eventually(func() zporigin.Status { return f.directories["s1"].Find(context.Background(), id, "p").Status }, "1s").Should(Equal(zporigin.StatusKnown))
		for _, o := range f.directories["n0"].Table.Recent("p", start) {
			Expect(len(o.Request)).To(BeNumerically("<=", 64))
		}
	})

	// Guards against a stream of two pools among which a route is split.
	It("tells in which pool a stream of another pool began", func() {
		f.observe("v2")
		f.directories["n0"].Record(context.Background(), ofStream, true)
		for _, m := range f.members {
			Eventually(func() zporigin.Finding { return f.directories[m.Name].Find(context.Background(), "r", "q") }, "1s").
				Should(Equal(zporigin.Finding{Status: zporigin.StatusKnown, Pool: "p", Version: "v2"}))
		}
	})

	It("tells others of the streams of a route that is split, although their pool has one version", func() {
		f.observe("v2")
		f.directories["n0"].Record(context.Background(), ofStream, true)
		f.setDown(func(m zpassign.Member) bool { return m.Name == "n0" })
		f.expectKnownTo("n1")
	})
})

// statusWithout is the status at n1 of an unknown stream while another daemon does not answer:
// it may have begun the stream.
func statusWithout(m zpassign.Member) zporigin.Status {
	if m.Name == "n1" {
		return zporigin.StatusAssumed
	}
	return zporigin.StatusUnknown
}

var _ = Describe("Versions", func() {
	It("learns of a version only as long as it counts for the daemon that has seen it", func() {
		v := zporigin.NewVersions()
		v.Observe("p", []string{"v2"}, start)
		Expect(v.Learn("p", map[string]time.Duration{"v1": zporigin.Retention - time.Second, "v2": 0}, start)).To(BeTrue())
		Expect(v.LastSeen("p", start)).To(Equal(map[string]time.Duration{"v1": zporigin.Retention - time.Second, "v2": 0}))
		v.Observe("p", []string{"v2"}, at(1))
		Expect(v.IsMixed("p")).To(BeFalse())
	})

	It("counts a version until its streams have ended", func() {
		v := zporigin.NewVersions()
		v.Observe("p", []string{"v1"}, start)
		Expect(v.Observe("p", []string{"v2"}, at(1))).To(BeTrue())
		Expect(v.Observe("p", []string{"v2"}, at(2))).To(BeFalse())
		Expect(v.IsMixed("p")).To(BeTrue())
		v.Observe("p", []string{"v2"}, start.Add(zporigin.Retention))
		Expect(v.IsMixed("p")).To(BeFalse())
		Expect(v.IsMixed("q")).To(BeFalse())
	})
})

var _ = Describe("Table", func() {
	It("keeps the first origin of a request, until no caller can ask for it", func() {
		t := zporigin.NewTable()
		t.Record(ofStream, start)
		t.Record(zporigin.Origin{Request: "r", Pool: "p", Version: "v9"}, at(1))
		Expect(t.Recent("p", at(1))).To(ConsistOf(ofStream))
		o, ok := t.Find("r", at(59))
		Expect(ok).To(BeTrue())
		Expect(o).To(Equal(ofStream))
		_, ok = t.Find("r", at(60))
		Expect(ok).To(BeFalse())
	})
})
