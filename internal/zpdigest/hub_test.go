package zpdigest_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdigest"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// requests returns the load of n requests on endpoint e.
func requests(n int) map[string]zpusage.Usage { return map[string]zpusage.Usage{"e": {Requests: n}} }

func report(name string, n int) zpdigest.Report {
	return zpdigest.Report{Name: name, Instance: name + ".1", Uses: requests(n)}
}

func sum(relay string, n int, members ...string) zpdigest.Sum {
	s := zpdigest.Sum{Relay: relay + ".1", Domain: "other", Uses: requests(n)}
	for _, m := range members {
		s.Members = append(s.Members, zpdigest.InstanceHash(m+".1"))
	}
	return s
}

var _ = Describe("Hub", func() {
	var hub *zpdigest.Hub
	expectLoad := func(receiver string, now time.Time, n int) {
		GinkgoHelper()
		Expect(hub.Digest(receiver, 0, now).Uses["e"].Requests).To(Equal(n))
	}

	BeforeEach(func() {
		hub = zpdigest.NewHub("r.1", "domain")
		hub.AddReport(report("r", 1), start)
		hub.AddReport(report("a", 10), start)
		hub.AddReport(report("b", 100), start)
	})

	It("returns the load of all daemons but the receiver", func() {
		hub.AddSum(sum("x", 1000, "x", "y"), start)
		expectLoad("a", start, 1101)
		expectLoad("r", start, 1110)
		Expect(hub.Sum(start).Uses["e"].Requests).To(Equal(111))
	})

	It("passes on the newest speed of each endpoint with its age, but not what the receiver has heard itself", func() {
		speed := func(endpoint string, percent, ageMS int) zpspeed.Report {
			return zpspeed.Report{Endpoint: endpoint, Percent: percent, Age: time.Duration(ageMS) * time.Millisecond}
		}
		heard := func(name string, speeds ...zpspeed.Report) zpdigest.Report {
			r := report(name, 1)
			r.Speeds = speeds
			return r
		}
		hub.AddReport(heard("a", speed("e", 250, 100), speed("f", 300, 0)), at(100))
		hub.AddReport(heard("b", speed("e", 100, 10)), at(200))
		s := sum("x", 1, "x")
		s.Speeds = []zpspeed.Report{speed("g", 250, 450)}
		hub.AddSum(s, at(200))
		Expect(hub.Digest("r", 0, at(300)).Speeds).To(ConsistOf(speed("e", 100, 110), speed("f", 300, 200), speed("g", 250, 550)))
		Expect(hub.Digest("a", 0, at(300)).Speeds).To(ConsistOf(speed("e", 100, 110), speed("g", 250, 550)))
		Expect(hub.Sum(at(300)).Speeds).To(ConsistOf(speed("e", 100, 110), speed("f", 300, 200)))
		Expect(hub.Digest("r", 0, at(900)).Speeds).To(BeEmpty())
	})

	It("replaces the report of a daemon, also after a restart", func() {
		hub.AddReport(report("a", 20), at(100))
		expectLoad("b", at(100), 21)
		restarted := report("a", 5)
		restarted.Instance = "a.2"
		hub.AddReport(restarted, at(200))
		expectLoad("b", at(200), 6)
	})

	It("forgets the load of a daemon or failure domain that is no longer heard of", func() {
		hub.AddSum(sum("x", 1000, "x"), at(1000))
		hub.AddReport(report("b", 100), at(1000))
		expectLoad("b", at(1200), 1000)
		expectLoad("a", at(2199), 1100)
		expectLoad("a", at(2200), 0)
	})

	It("counts a daemon once that has changed its relay", func() {
		hub.AddSum(sum("x", 1000, "x", "y", "z"), start)
		hub.AddSum(sum("y", 5, "z"), at(100))
		expectLoad("a", at(100), 1101)
		// The relay x is dead, and the sum of y has become complete.
		hub.AddSum(sum("y", 1200, "y", "z"), at(1000))
		expectLoad("a", at(1100), 1101)
		hub.AddReport(report("r", 1), at(1200))
		expectLoad("a", at(1300), 1201)
	})

	It("does not count the sum of a relay that holds one of its own daemons, nor its own sum", func() {
		hub.AddSum(sum("b", 10, "a"), at(100))
		hub.AddSum(sum("r", 111, "r", "a", "b"), at(100))
		expectLoad("b", at(100), 11)
	})

	It("tells which daemons are alive, and leaves them out if the receiver knows them", func() {
		hub.AddSum(sum("x", 1000, "x", "y"), start)
		d := hub.Digest("a", 0, start)
		Expect(d.Alive).To(HaveLen(5))
		Expect(d.Alive).To(ContainElement(zpdigest.InstanceHash("y.1")))
		again := hub.Digest("a", zpdigest.AliveChecksum(d.Alive), start)
		Expect(again.AliveUnchanged).To(BeTrue())
		Expect(again.Alive).To(BeEmpty())
		hub.AddReport(report("c", 0), at(2000))
		later := hub.Digest("a", zpdigest.AliveChecksum(d.Alive), at(2999))
		Expect(later.AliveUnchanged).To(BeFalse())
		Expect(later.Alive).To(HaveLen(6))
		Expect(hub.Digest("c", 0, at(3000)).Alive).To(ConsistOf(zpdigest.InstanceHash("c.1")))
	})

	It("says that its digest is incomplete until all daemons have reported", func() {
		Expect(hub.Digest("a", 0, at(100)).Incomplete).To(BeTrue())
		Expect(hub.Digest("a", 0, at(600)).Incomplete).To(BeFalse())
		// All reports lapse while the relay stands still.
		hub.AddReport(report("a", 10), at(9000))
		Expect(hub.Digest("a", 0, at(9000)).Incomplete).To(BeTrue())
	})
})
