package zpsoak

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// world is a run with a history that a spec writes.
func world(daemons int) *run {
	return &run{
		site:   &site{Config: Config{Daemons: daemons}, log: &zpoutside.Log{}},
		faults: &injector{versions: []change{{Version: 1, From: at(0)}}, lives: make([]int, daemons)},
		seen:   &history{}, begun: at(0), ended: at(60_000),
	}
}

func (r *run) served(id string, daemon, ms int) {
	r.seen.add(request{ID: id, Kind: "read", Daemon: daemon, Begun: at(ms), Ended: at(ms + 50), Status: http.StatusOK, Whole: true})
	r.ran(id, "i-0-1", "a", ms+10)
}

func (r *run) ran(id, endpoint, domain string, ms int) {
	r.site.log.Note(zpoutside.Run{Request: id, Endpoint: endpoint, Domain: domain, At: at(ms)})
}

// recovers has each daemon serve at the end, so that only the promise in
// question can be broken.
func (r *run) recovers() *run {
	for d := range r.site.Daemons {
		r.served(fmt.Sprintf("end-%d", d), d, 58_000)
	}
	return r
}

func expectBroken(r *run, promise string) {
	GinkgoHelper()
	Expect(r.recovers().judge().Violations).To(ContainElement(HavePrefix(promise + ":")))
}

func expectKept(r *run) {
	GinkgoHelper()
	Expect(r.recovers().judge().Violations).To(BeEmpty())
}

var _ = Describe("The judge", func() {
	It("finds nothing in a calm run", func() { expectKept(world(2)) })

	It("notices a booking that ran twice", func() {
		r := world(1)
		r.seen.add(request{ID: "b", Kind: "book", Begun: at(0), Ended: at(50), Status: http.StatusOK, Whole: true})
		r.ran("b", "i-0-1", "a", 10)
		r.ran("b", "i-1-1", "b", 20)
		expectBroken(r, "at-most-once")
	})

	It("notices a refusal of a booking that ran", func() {
		r := world(1)
		r.seen.add(request{ID: "b", Kind: "book", Begun: at(0), Ended: at(50), Status: http.StatusServiceUnavailable})
		r.ran("b", "i-0-1", "a", 5_000)
		expectBroken(r, "not-run")
	})

	It("notices an answer that is not whole, or another request's", func() {
		r := world(1)
		r.seen.add(request{ID: "x", Kind: "read", Begun: at(0), Ended: at(50), Status: http.StatusOK, Body: zpoutside.Answer("y")})
		expectBroken(r, "whole-answers")
	})

	DescribeTable("notices a connection that a stop cut",
		func(t trouble, isBroken bool) {
			r := world(1)
			t.From, t.To = at(0), at(1000)
			r.faults.troubles = []trouble{t}
			r.seen.add(request{ID: "x", Kind: "read", Begun: at(100), Ended: at(150), Broken: true})
			r.ran("x", "i-0-1", "a", 110)
			if isBroken {
				expectBroken(r, "graceful-stop")
			} else {
				expectKept(r)
			}
		},
		Entry("by SIGTERM", trouble{Kind: DaemonStop}, true),
		Entry("not by SIGKILL", trouble{Kind: DaemonKill}, false),
		Entry("nor by the fall of the endpoint", trouble{Kind: EndpointCrash}, false),
		Entry("but by that of another", trouble{Kind: EndpointCrash, Target: 3}, true),
	)

	DescribeTable("notices work for a caller that has left",
		func(kind string, begun, ended int, t trouble, isBroken bool) {
			r := world(1)
			if t.From.IsZero() {
				t.From, t.To = at(0), at(20_000)
			}
			r.faults.troubles = []trouble{t}
			r.seen.add(request{ID: "x", Kind: kind, Begun: at(10_000), Ended: at(10_100), Left: at(10_100), Broken: true})
			x := zpoutside.Run{Request: "x", Endpoint: "i-0-1", Domain: "a", At: at(begun)}
			if ended > 0 {
				x.Ended = at(ended)
			}
			r.site.log.Note(x)
			if isBroken {
				expectBroken(r, "departed")
			} else {
				expectKept(r)
			}
		},
		Entry("that began too late", "read", 10_950, 10_960, trouble{}, true),
		Entry("that began too late at a daemon that was paused", "read", 10_950, 10_960, trouble{Kind: DaemonPause}, true),
		Entry("a booking that began too late", "book", 10_950, 10_960, trouble{}, true),
		Entry("that goes on", "stream", 10_050, 0, trouble{}, true),
		Entry("that ended too late", "stream", 10_050, 11_000, trouble{}, true),
		Entry("not of a booking that goes on", "book", 10_050, 11_000, trouble{}, false),
		Entry("not of a daemon that was paused", "stream", 10_050, 11_000, trouble{Kind: DaemonPause}, false),
		Entry("not behind a link that holds bytes back", "stream", 10_050, 11_000, trouble{Kind: EndpointCut}, false),
		Entry("nor behind one that began to after the run", "stream", 10_050, 12_000, trouble{Kind: EndpointCut, From: at(10_060), To: at(11_900)}, false),
		Entry("but behind one that began to after the bound", "stream", 10_050, 12_000, trouble{Kind: EndpointCut, From: at(10_950), To: at(11_900)}, true),
		Entry("but behind that of another endpoint", "stream", 10_050, 12_000, trouble{Kind: EndpointCut, Target: 3, From: at(10_060), To: at(11_900)}, true),
		Entry("not work that ended in time", "stream", 10_050, 10_500, trouble{}, false),
	)

	It("does not judge work for a departed caller beyond the end of the run", func() {
		r := world(1)
		r.seen.add(request{ID: "x", Kind: "stream", Begun: at(59_000), Ended: at(59_500), Left: at(59_500), Broken: true})
		r.site.log.Note(zpoutside.Run{Request: "x", Endpoint: "i-0-1", Domain: "a", At: at(59_010)})
		expectKept(r)
	})

	DescribeTable("notices work for a failure domain that was taken out",
		func(ms int, t trouble, isBroken bool) {
			r := world(1)
			r.faults.evacuated = []change{{Name: "a", From: at(0), To: at(20_000)}}
			r.faults.troubles = []trouble{t}
			r.served("x", 0, ms)
			if isBroken {
				expectBroken(r, "out-of-service")
			} else {
				expectKept(r)
			}
		},
		Entry("after the bound", 6_000, trouble{}, true),
		Entry("not before it", 4_000, trouble{}, false),
		Entry("nor through a daemon that is cut off", 6_000, trouble{Kind: StoreCut, From: at(0), To: at(9_000)}, false),
		Entry("nor after its return", 21_000, trouble{}, false),
	)

	It("notices too many requests to a cold endpoint", func() {
		r := world(1)
		for i := range 15 {
			id := fmt.Sprint(i)
			r.seen.add(request{ID: id, Kind: "read", Begun: at(0), Ended: at(900), Status: http.StatusOK, Whole: true})
			r.site.log.Note(zpoutside.Run{Request: id, Endpoint: "i-0-2", At: at(60 * i), Cold: true})
		}
		expectBroken(r, "cold-start")
	})

	It("notices repeats beyond the budget", func() {
		r := world(1)
		for i := range 100 {
			r.served(fmt.Sprint(i), 0, 10*i)
			r.ran(fmt.Sprint(i), "i-1-1", "b", 10*i+20)
		}
		expectBroken(r, "retry-budget")
	})

	DescribeTable("notices a configuration that is not in force, or goes back",
		func(status, ms, again int, isBroken bool) {
			r := world(1)
			r.faults.versions = append(r.faults.versions, change{Version: 2, From: at(1_000)})
			r.seen.add(request{ID: "c1", Kind: "cfg", Version: 2, Begun: at(ms), Ended: at(ms + 10), Status: status, Whole: true})
			r.seen.add(request{ID: "c2", Kind: "cfg", Version: 1, Begun: at(again), Ended: at(again + 10), Status: http.StatusOK, Whole: true})
			if isBroken {
				expectBroken(r, "configuration")
			} else {
				expectKept(r)
			}
		},
		Entry("late", http.StatusNotFound, 5_000, 500, true),
		Entry("not within the bound", http.StatusNotFound, 3_000, 500, false),
		Entry("back", http.StatusOK, 2_000, 2_500, true),
	)

	It("notices a daemon that does not serve at the end", func() {
		Expect(world(2).judge().Violations).To(HaveLen(2))
	})
})

var _ = Describe("Plan", func() {
	It("is the same for the same seed", func() {
		Expect(Plan(7, time.Minute, 6, 6, 3)).To(Equal(Plan(7, time.Minute, 6, 6, 3)))
		Expect(Plan(7, time.Minute, 6, 6, 3)).NotTo(Equal(Plan(8, time.Minute, 6, 6, 3)))
	})

	It("leaves a quiet end, and holds each kind of fault over some seeds", func() {
		kinds := map[Kind]bool{}
		for seed := range uint64(40) {
			for _, f := range Plan(seed, 40*time.Second, 6, 6, 3) {
				Expect(f.At + f.For).To(BeNumerically("<=", 40*time.Second-quietEnd))
				kinds[f.Kind] = true
			}
		}
		Expect(kinds).To(HaveLen(len(shapes)))
	})
})
