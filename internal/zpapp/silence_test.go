package zpapp

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

const silenceNodeFile = `
node-name = "d0"
ip = "127.0.0.1"
zone = "a"
region = "n"
internal-ports = [1,1]
[zones]
a = "n"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:1"
[limits]
memory-mb = 100
[contract-bounds]
grace-s = 8
lease-ms = 3000
budget-ratio = 0.2
version-ms = 10000
[platform]
address = "127.0.0.1:1"
`

// listeningDaemon is a daemon of five that serves nothing and hears from some of the others.
type listeningDaemon struct {
	*GatewayDaemon
	answering atomic.Pointer[[]string] // addresses
	pausedFor atomic.Int64
}

func newListeningDaemon() *listeningDaemon {
	GinkgoHelper()
	node, err := zpplatform.DecodeNode([]byte(silenceNodeFile))
	Expect(err).NotTo(HaveOccurred())
	w := &listeningDaemon{GatewayDaemon: NewGatewayDaemon(node, zplog.Discard())}
	w.hear()
	var list []zpassign.Member
	for _, name := range []string{"d0", "d1", "d2", "d3", "d4"} {
		list = append(list, zpassign.Member{Name: name, Instance: name + ".x", PeerAddress: "127.0.0.1:1/" + name, Region: "n", Domain: "a", State: zpassign.MemberServing, Cores: 1})
	}
	w.members.replace(list, time.Now())
	w.sharer.Clock = func() time.Time { return time.Now().Add(time.Duration(w.pausedFor.Load())) }
	w.sharer.Snapshot = func(zpassign.Member) zpshare.Message { return zpshare.Message{} }
	w.sharer.Send = func(_ context.Context, address string, _ zpshare.Message) (string, error) {
		if slices.Contains(*w.answering.Load(), address) {
			return address, nil
		}
		return "", errors.New("silent")
	}
	return w
}

func (w *listeningDaemon) hear(names ...string) {
	for i, name := range names {
		names[i] = "127.0.0.1:1/" + name
	}
	w.answering.Store(&names)
}

// run shares loads until the given number of daemons count as alive, this one included.
func (w *listeningDaemon) run(alive int) {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go w.sharer.Run(ctx)
	Eventually(func() int { return len(w.live.list()) }, "5s").Should(Equal(alive))
}

// thaw lets this daemon go on after a pause, in which the others have fallen silent.
func (w *listeningDaemon) thaw() {
	GinkgoHelper()
	w.hear()
	w.pausedFor.Store(int64(5 * time.Second))
	Eventually(func() int { return len(w.live.list()) }, "1s", "10ms").Should(Equal(1))
}

// ownTrials returns how many trials of several fingerprints a daemon is granted while no other
// one can be asked.
func (w *listeningDaemon) ownTrials() int {
	granted := 0
	for _, f := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if w.requestTrial(context.Background(), f) {
			granted++
		}
	}
	return granted
}

// Guards against daemons that each grant trials of their own, as they don't hear the one that grants them for all.
var _ = Describe("Trials of banned fingerprints", func() {
	var w *listeningDaemon
	BeforeEach(func() { w = newListeningDaemon() })

	It("are not granted by a daemon that has just started", func() {
		Expect(w.ownTrials()).To(BeZero())
	})

	It("are not granted by a daemon that hears nobody", func() {
		w.run(1)
		Expect(w.ownTrials()).To(BeZero())
	})

	It("are not granted by daemons that are cut off together", func() {
		w.hear("d1")
		w.run(2)
		Expect(w.ownTrials()).To(BeZero())
	})

	It("are not granted by a daemon that was paused and has heard nobody since", func() {
		w.hear("d1", "d2", "d3", "d4")
		w.run(5)
		w.thaw()
		Expect(w.ownTrials()).To(BeZero())
	})

	It("are granted by one that hears most of the others, if it is first among these", func() {
		w.hear("d1", "d2")
		w.run(3)
		Expect(w.ownTrials()).To(BeNumerically(">", 0))
	})

	It("are granted by a daemon without others", func() {
		w.members.replace([]zpassign.Member{w.self}, time.Now())
		Expect(w.ownTrials()).To(Equal(10))
	})
})

var _ = Describe("The daemons among which limits of the fleet are shared", func() {
	var w *listeningDaemon
	BeforeEach(func() { w = newListeningDaemon() })

	expectAll := func() {
		GinkgoHelper()
		Expect(w.gateway.Daemons()).To(Equal([]string{"d0", "d1", "d2", "d3", "d4"}))
	}

	It("are all registered ones for a daemon that has just started", func() { expectAll() })

	It("are all registered ones for a daemon that hears nobody", func() {
		w.run(1)
		expectAll()
	})

	It("are all registered ones for daemons that are cut off together", func() {
		w.hear("d1")
		w.run(2)
		expectAll()
	})

	It("are all registered ones for a daemon that was paused and has heard nobody since", func() {
		w.hear("d1", "d2", "d3", "d4")
		w.run(5)
		w.thaw()
		expectAll()
	})

	It("are not known before the records were read, and no request is sent until then", func() {
		w.members = newMembers("d0")
		Expect(w.hasSynced()).To(BeFalse())
	})
})

var _ = Describe("The daemons that own prompt parts", func() {
	var w *listeningDaemon
	BeforeEach(func() { w = newListeningDaemon() })

	It("are those that answer, so that one which hears nobody asks nobody and misses what others hold", func() {
		w.run(1)
		owner, ok := w.live.partOwners().First("p")
		Expect(ok).To(BeTrue())
		Expect(owner.Name).To(Equal("d0"))
		Expect(w.lookUpParts(nil).Held).To(BeEmpty())
	})
})

// Guards against a version assumed for a stream of a daemon that was stopped for good before another one knew of it.
var _ = Describe("The daemons that must be heard before a version is assumed", func() {
	It("include those that have left within the last minute", func() {
		w := newListeningDaemon()
		w.hear("d1", "d2", "d3")
		w.run(4)
		Expect(w.origins.HearsAll()).To(BeFalse())
		w.members.remove("d4", zpclock.Now())
		Consistently(w.origins.HearsAll, "500ms").Should(BeFalse())
		w.members.put(zpassign.Member{Name: "d4"})
		w.members.remove("d4", zpclock.Now().Add(-time.Minute))
		Eventually(w.origins.HearsAll, "1s").Should(BeTrue())
	})
})

// Guards against daemons that are cut off together and move on to a new version by their own evidence alone.
var _ = Describe("A roll-out", func() {
	var w *listeningDaemon

	BeforeEach(func() {
		w = newListeningDaemon()
		w.self.Cores = 8 // the leading judge
		w.Node.Bounds.Upgrade = zpupgrade.Limits{Share: 0.1, Slack: 500, RollbackAfter: 5 * time.Second}
		w.upgrades = newUpgrades(w.GatewayDaemon)
		orderedAt := zpclock.Now().Add(-3 * time.Second)
		w.upgrades.tracker.Replace(nil, nil, orderedAt)
		w.upgrades.tracker.SetVersions("p", map[string]int{"v1": 2}, orderedAt)
		w.upgrades.tracker.SetVersions("p", map[string]int{"v1": 2, "v2": 2}, orderedAt)
		w.upgrades.tracker.Put(zpupgrade.Order{Pool: "p", To: "v2", Within: 12 * time.Second, Created: 7, Revision: 7}, orderedAt)
	})

	expectContact := func(hasContact bool) {
		GinkgoHelper()
		reports := w.upgrades.tracker.Reports(zpclock.Now())
		Expect(reports).To(HaveLen(1))
		reports[0].Instance = "d1.x"
		Expect(len(w.upgrades.answer(reports)) > 0).To(Equal(hasContact))
		w.upgrades.step(context.Background())
		Expect(w.upgrades.tracker.View("p", "r", zpclock.Now()).Allows("v2")).To(Equal(hasContact))
	}

	It("waits while the leading judge hears nobody", func() {
		w.run(1)
		expectContact(false)
	})

	It("waits at daemons that are cut off together", func() {
		w.hear("d1")
		w.run(2)
		expectContact(false)
	})

	It("goes on at daemons that hear most of the others", func() {
		w.hear("d1", "d2")
		w.run(3)
		expectContact(true)
	})

	It("goes on at a daemon without others", func() {
		w.members.replace([]zpassign.Member{w.self}, zpclock.Now())
		expectContact(true)
	})
})
