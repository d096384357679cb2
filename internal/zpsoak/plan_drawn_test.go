package zpsoak

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

var _ = Describe("Plan, with daemons that are out of step in a shape that is drawn", func() {
	const (
		length = 40 * time.Second
		runs   = 600
	)
	seedOf := func(n int) uint64 { return uint64(drawnSeed + n*outOfStepEvery) }
	planOf := func(n int) []Fault { return Plan(seedOf(n), length, 6, 6, 3) }
	find := func(plan []Fault, match func(Fault) bool) (out []Fault) {
		for _, f := range plan {
			if match(f) {
				out = append(out, f)
			}
		}
		return out
	}
	// each calls f for the plans of many seeds, with the time in which streams are taken up.
	each := func(f func(plan []Fault, moment Fault)) {
		for n := range runs {
			plan := planOf(n)
			moments := find(plan, func(f Fault) bool { return f.Kind == OutOfStep })
			Expect(moments).To(HaveLen(1))
			f(plan, moments[0])
		}
	}

	It("draws the parts of a shape independently: any two of them meet", func() {
		var parts [][]string
		met := map[[2]string]bool{}
		each(func(_ []Fault, moment Fault) {
			for n, a := range moment.Shape {
				if len(parts) == n {
					parts = append(parts, nil)
				}
				parts[n] = append(parts[n], a)
				for _, b := range moment.Shape[n+1:] {
					met[[2]string{a, b}] = true
				}
			}
		})
		for n := range parts {
			slices.Sort(parts[n])
			parts[n] = slices.Compact(parts[n])
		}
		Expect(parts[0]).To(HaveLen(len(drawnBegins)))
		Expect(parts[3]).To(HaveLen(len(drawnWays)))
		Expect(parts[4]).To(HaveLen(len(drawnExtents)))
		Expect(parts[5]).To(HaveLen(len(drawnReleases)))
		for n, list := range parts {
			for _, a := range list {
				for _, other := range parts[n+1:] {
					for _, b := range other {
						Expect(met).To(HaveKey([2]string{a, b}))
					}
				}
			}
		}
	})

	It("has daemons out of step within that time, before, at or after the first endpoint that joins", func() {
		each(func(plan []Fault, moment Fault) {
			cuts := find(plan, func(f Fault) bool {
				return isOwnFault(f.Kind) && slices.Contains(moment.Daemons, f.Target) && f.At < moment.At+moment.Duration && f.At+f.Duration > moment.At
			})
			Expect(cuts).NotTo(BeEmpty())
			for _, f := range cuts {
				Expect(f.At).To(BeNumerically(">=", moment.At))
				Expect(f.At + f.Duration).To(BeNumerically("<=", moment.At+moment.Duration))
			}
			lead := moment.At + drawnLead - cuts[0].At
			switch moment.Shape[0] {
			case "begins_before":
				Expect(lead).To(BeNumerically(">=", 300*time.Millisecond))
			case "begins_at":
				Expect(lead).To(BeNumerically("~", 0, 50*time.Millisecond))
			default:
				Expect(lead).To(BeNumerically("<", 0))
			}
		})
	})

	It("strikes no daemon that is out of step, and has other faults beside it in some runs", func() {
		beside := map[Kind]bool{}
		each(func(plan []Fault, moment Fault) {
			for _, f := range find(plan, func(f Fault) bool {
				return f.At < moment.At+moment.Duration && f.At+f.Duration >= moment.At
			}) {
				Expect(f.Kind).NotTo(Equal(AnswersBreak))
				Expect(isStranded(f.Kind)).To(BeFalse())
				if f.Kind == DaemonKill || f.Kind == DaemonStop {
					Expect(moment.Daemons).NotTo(ContainElement(f.Target))
				}
				beside[f.Kind] = true
			}
		})
		for _, kind := range []Kind{StoreDown, StoreSlow, StoreRestore, StoreForget, Evacuate, Reconfigure, EndpointCrash, EndpointDrain, EndpointLeave, DaemonKill, DaemonPause, PeersMute, PeersDeaf} {
			Expect(beside).To(HaveKey(kind))
		}
	})

	It("leaves the plain shape alone", func() {
		for n := range 20 {
			for _, f := range Plan(uint64(outOfStepSeed+n*outOfStepEvery), length, 6, 6, 3) {
				Expect(f.Shape).To(BeEmpty())
				Expect(f.Kind).NotTo(Or(Equal(PeersMute), Equal(PeersDeaf)))
			}
		}
	})

	DescribeTable("has callers that take streams up in each way", func(way string, check func(takeUp)) {
		s := &cluster{Config: Config{Seed: seedOf(0), Daemons: 6}}
		for n := range 200 {
			if t := s.drawnTakeUp([]int{4, 5}, 1, n); t.Way == way {
				check(t)
				return
			}
		}
		Fail("not drawn")
	},
		Entry("at once", wayAtOnce, func(t takeUp) { Expect(t).To(Equal(takeUp{Way: wayAtOnce, Daemons: []int{4, 5}})) }),
		Entry("after long", wayLate, func(t takeUp) { Expect(t.Delay).To(BeNumerically(">=", time.Second)) }),
		Entry("without naming the attempt", wayUnnamed, func(t takeUp) { Expect(t.Unnamed).To(BeTrue()) }),
		Entry("after a refusal elsewhere, and at the first again", wayTwice, func(t takeUp) {
			Expect(t.Insists).To(BeTrue())
			Expect(t.Daemons).To(Equal([]int{4, 1, 4}))
		}),
	)
})

var _ = Describe("The settings of daemons", func() {
	It("say that the fleet starts for the first time until it has", func() {
		node := zpoutside.Node{Name: "front-0", FirstStart: true}
		s := &cluster{Config: Config{Dir: GinkgoT().TempDir()}, nodes: []zpoutside.Node{node}}
		Expect(s.writeSettings(node)).To(Succeed())
		Expect(os.ReadFile(s.settingsFile(node))).To(ContainSubstring("first-start = true"))
		Expect(s.endFirstStart()).To(Succeed())
		Expect(os.ReadFile(s.settingsFile(node))).To(ContainSubstring("first-start = false"))
	})
})

var _ = Describe("A cut between daemons", func() {
	// modesOf returns what is held on the link from one daemon to another while daemon 1 is cut off.
	modesOf := func(f Fault, from, to int) (toTarget, fromTarget bool) {
		s := &cluster{Config: Config{Number: 140, Daemons: 4}}
		for range s.Daemons {
			s.toPeer = append(s.toPeer, links{{}, {}, {}, {}})
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		f.Target, f.Duration = 1, time.Minute
		go func() {
			defer close(done)
			(&injector{cluster: s}).cutPeers(ctx, f)
		}()
		Eventually(func() LinkMode { return s.toPeer[2][1].currentMode() }).ShouldNot(Equal(LinkMode{}))
		Eventually(func() LinkMode { return s.toPeer[1][2].currentMode() }).ShouldNot(Equal(LinkMode{}))
		m := s.toPeer[to][from].currentMode()
		cancel()
		<-done
		Expect(s.toPeer[to][from].currentMode()).To(Equal(LinkMode{}))
		return m.HoldToTarget, m.HoldFromTarget
	}

	DescribeTable("holds", func(f Fault, from, to int, toTarget, fromTarget bool) {
		holdsTo, holdsFrom := modesOf(f, from, to)
		Expect(holdsTo).To(Equal(toTarget))
		Expect(holdsFrom).To(Equal(fromTarget))
	},
		Entry("both directions, to it", Fault{Kind: PeersCut}, 0, 1, true, true),
		Entry("both directions, from it", Fault{Kind: PeersCut}, 1, 0, true, true),
		Entry("what it sends, as the one that is called", Fault{Kind: PeersMute}, 0, 1, false, true),
		Entry("what it sends, as the caller", Fault{Kind: PeersMute}, 1, 0, true, false),
		Entry("what others send, as the one that is called", Fault{Kind: PeersDeaf}, 0, 1, true, false),
		Entry("what others send, as the caller", Fault{Kind: PeersDeaf}, 1, 0, false, true),
		Entry("nothing within a group", Fault{Kind: PeersCut, Daemons: []int{1, 3}}, 1, 3, false, false),
		Entry("nothing within a group, the other way", Fault{Kind: PeersCut, Daemons: []int{1, 3}}, 3, 1, false, false),
		Entry("nothing between others", Fault{Kind: PeersCut}, 0, 3, false, false),
	)

	It("lasts within drawn bounds", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			s := drawShape(random, 6, 3)
			Expect(s.lasts).To(HaveLen(len(s.ways)))
			Expect(s.lasts).To(HaveEach(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<=", 6*time.Second))))
		}
	})
})
