package zporigin_test

import (
	"context"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
)

const maxOrigins = 1 << 15 // of a table

var _ = Describe("A daemon that is out of step", func() {
	var f *fleet

	beginAtNewVersion := func() { f.directories["n1"].Record(context.Background(), ofStream, false) }

	BeforeEach(func() {
		f = newFleet(4)
		f.observe("v1")
		f.setClock(at(60))
		f.observe("v1")
	})

	// Guards against a stream of two versions after a daemon took its own silence for that of the others.
	DescribeTable("cannot tell where a stream began that nobody was asked about",
		func(cutOff func(name string), sees ...string) {
			cutOff("n0")
			f.observeOthers("n0", "v1", "v2")
			beginAtNewVersion()
			f.observeAt("n0", sees...)
			f.storeErr = errDown
			f.expectStatus("n0", zporigin.StatusUnknown)
			f.stored, f.storeErr = []string{"v2"}, nil
			f.expectStatus("n0", zporigin.StatusUnknown)
		},
		Entry("as it takes them for lost, and has just seen the second version", func(name string) { f.isolate(name) }, "v1", "v2"),
		Entry("as it takes them for lost, and has not seen the second version", func(name string) { f.isolate(name) }, "v1"),
		Entry("as they do not answer, and it has not seen the second version", func(name string) { f.silence(name) }, "v1"),
		Entry("as they do not answer, and it has just seen the second version", func(name string) { f.silence(name) }, "v1", "v2"),
	)

	DescribeTable("lets a stream go on in a pool of one version",
		func(lose func()) {
			f.storeErr = errDown
			f.expectStatus("n0", zporigin.StatusAny)
			lose()
			f.expectStatus("n0", zporigin.StatusUnknown)
			f.storeErr = nil
			f.expectStatus("n0", zporigin.StatusAny)
			f.stored = []string{"v2"}
			f.expectStatus("n0", zporigin.StatusUnknown)
		},
		Entry("unless the store and a daemon do not answer", func() { f.setDown(func(m zpassign.Member) bool { return m == f.neverAsked("r") }) }),
		Entry("unless the store does not answer and the others have just started", func() { f.restartOthers("n0", "v1") }),
		Entry("unless the store does not answer and daemons of an earlier release do not say what they have seen", func() { f.isOlder = true }),
		Entry("unless the store does not answer and this daemon was paused", func() { f.restart(f.members[0]); f.observeAt("n0", "v1") }),
	)

	It("asks few daemons while the store answers", func() {
		f = newFleet(12)
		f.observe("v1")
		f.setClock(at(60))
		f.observe("v1")
		f.expectStatus("n0", zporigin.StatusAny)
		Expect(f.told).To(BeNumerically("<=", 6))
		Expect(f.reads).To(Equal(1))
	})

	// Guards against a group of daemons that are cut off together and take each other's word for everyone's.
	It("cannot tell where a stream began out of reach of all that are asked", func() {
		m := f.neverAsked("r")
		f.silence(m.Name)
		f.observeAt(m.Name, "v1", "v2")
		f.directories[m.Name].Record(context.Background(), ofStream, false)
		f.setDown(func(x zpassign.Member) bool { return x == m })
		f.storeErr = errDown
		f.expectStatus("s0", zporigin.StatusUnknown)
		f.stored, f.storeErr = []string{"v2"}, nil
		f.expectStatus("s0", zporigin.StatusUnknown)
	})

	// Guards against a daemon that has just been cut off, tells nobody of its stream and still counts as heard.
	It("does not assume a version while a daemon that is usually not asked is silent", func() {
		m := f.neverAsked("r")
		f.observe("v1", "v2")
		f.expectStatus("s0", zporigin.StatusAssumed)
		f.silence(m.Name)
		f.directories[m.Name].Record(context.Background(), ofStream, false)
		f.expectStatus("s0", zporigin.StatusUnknown)
	})

	// Guards against the same in a pool of which nobody else has seen the second version.
	// Guards against a stream that is refused although a daemon in reach serves or has served it.
	It("asks all daemons that it reaches before it refuses a stream whose keepers are silent", func() {
		f.observe("v1", "v2")
		f.setClock(at(70)) // no version is assumed any more
		m := f.neverAsked("r")
		f.directories[m.Name].Record(context.Background(), ofStream, false)
		asker := f.members[slices.IndexFunc(f.members, func(x zpassign.Member) bool { return x != m })]
		f.setDown(func(x zpassign.Member) bool { return x != m && x != asker })
		f.expectKnownTo(asker.Name)
	})

	It("asks the store while a daemon that is usually not asked is silent", func() {
		m := f.neverAsked("r")
		f.silence(m.Name)
		f.observeAt(m.Name, "v1", "v2")
		f.directories[m.Name].Record(context.Background(), ofStream, false)
		f.stored = []string{"v2"}
		f.expectStatus("s0", zporigin.StatusUnknown)
		Expect(f.reads).To(Equal(1))
	})

	It("is told of a stream by the daemon that began it while a version may be assumed", func() {
		m := f.neverAsked("r")
		f.silence(m.Name)
		f.observe("v1", "v2")
		f.directories[m.Name].Record(context.Background(), ofStream, false)
		f.silence("")
		f.expectKnownTo("s0")
	})

	// Guards against a data race between streams that share a read of the store.
	It("does not write into what the store told", func() {
		stored := []string{"v1", "", ""}
		f.stored, f.isOlder = stored[:1], true
		f.expectStatus("n0", zporigin.StatusAny)
		Expect(stored).To(Equal([]string{"v1", "", ""}))
	})

	It("cannot tell where a stream began whose caller names no attempt", func() {
		f.observe("v1", "v2")
		f.expectStatusOf("n0", "", zporigin.StatusUnknown)
	})

	It("does not count the time since the second version from when it saw that late", func() {
		f.observeOthers("n0", "v1", "v2")
		f.setClock(at(66))
		f.observeAt("n0", "v1", "v2")
		f.expectStatus("n0", zporigin.StatusUnknown)
	})

	It("does not take the word of keepers that have lost what they kept", func() {
		f.observe("v1", "v2")
		beginAtNewVersion()
		Eventually(f.holders, "1s").Should(HaveLen(4))
		holders := f.holders()
		for _, m := range holders {
			f.restart(m)
			f.observeAt(m.Name, "v1", "v2")
		}
		for _, m := range f.members {
			if !slices.Contains(holders, m) {
				f.expectStatus(m.Name, zporigin.StatusUnknown)
			}
		}
	})

	// Guards against a stream at another version after keepers have dropped its origin for those of many others.
	It("does not take the word of keepers whose table was too small", func() {
		f.observe("v1", "v2")
		f.expectStatusOf("n0", "x", zporigin.StatusAssumed)
		beginAtNewVersion()
		Eventually(f.holders, "1s").Should(HaveLen(4))
		holders := f.holders()
		for _, m := range holders {
			for i := range maxOrigins {
				f.directories[m.Name].Table.Record(zporigin.Origin{Request: strconv.Itoa(i), Pool: "p", Version: "v2"}, at(61))
			}
		}
		Expect(f.holders()).To(BeEmpty())
		f.setClock(at(62))
		for _, m := range f.members {
			f.expectStatus(m.Name, zporigin.StatusUnknown)
		}
	})

	// Guards against a stream at any version that joins a pool of which this daemon has seen no endpoint.
	It("cannot tell where a stream began in a pool that has had no endpoints", func() {
		f.restartAll()
		f.setClock(at(60 + zporigin.Retention.Seconds()))
		f.expectStatus("n0", zporigin.StatusUnknown)
	})

	It("learns from others that a pool has had a second version for a while", func() {
		f.observeOthers("n0", "v1", "v2")
		f.setClock(at(66))
		f.expectStatus("n0", zporigin.StatusUnknown)
	})

	// Guards against a stream of the second version that is untold as it began before the next look at the versions.
	It("tells others of the first stream of a version that it has not looked at", func() {
		beginAtNewVersion()
		f.setDown(func(m zpassign.Member) bool { return m.Name == "n1" })
		f.observeOthers("n1", "v1", "v2")
		f.expectKnownTo("n3")
	})

	// Guards against a stream of a version whose last endpoint left before this daemon started.
	It("cannot tell from the store alone which versions there were before it started", func() {
		f.observe("v1", "v2")
		f.setClock(at(80))
		f.restart(f.members[0])
		f.silence("n0")
		f.observeAt("n0", "v2")
		f.expectStatus("n0", zporigin.StatusUnknown)
		f.setClock(at(80 + zporigin.Retention.Seconds()))
		f.expectStatus("n0", zporigin.StatusAny)
	})

	// Guards against two daemons that were cut off together and take each other's word for the versions that both have missed.
	It("cannot tell by the word of a daemon that has missed changes as well", func() {
		f.missed["n0"], f.missed["n1"] = true, true
		f.setDown(func(m zpassign.Member) bool { return m.Name != "n0" && m.Name != "n1" })
		f.expectStatus("n0", zporigin.StatusUnknown)
		f.missed["n1"] = false
		f.expectStatus("n0", zporigin.StatusAny)
	})

	DescribeTable("counts the answer of a daemon of an earlier release for the versions of the last minute, beside the store",
		func(setRelease func(), withoutStore zporigin.Status) {
			f.restart(f.members[0])
			f.observeAt("n0", "v1")
			setRelease()
			f.expectStatus("n0", zporigin.StatusAny)
			f.storeErr = errDown
			f.expectStatus("n0", zporigin.StatusUnknown)
			f.setClock(at(70))
			f.expectStatus("n0", withoutStore)
		},
		Entry("that tells the origin alone: never for the absence of a stream", func() { f.isOlder = true }, zporigin.StatusUnknown),
		Entry("that does not say which changes it has read", func() { f.omitsSeen = true }, zporigin.StatusAny),
	)

	// Guards against streams that are refused while daemons are replaced, as those that are asked first all have been.
	It("asks the others what they have seen if the keepers have just started", func() {
		m := f.neverAsked("r")
		asker := f.members[slices.IndexFunc(f.members, func(x zpassign.Member) bool { return x != m })]
		f.restartOthers(m.Name, "v1")
		f.expectStatus(asker.Name, zporigin.StatusAny)
		f.observeAt(m.Name, "v1", "v2")
		f.expectStatus(asker.Name, zporigin.StatusUnknown)
	})

	// Guards against a stream of a version whose last endpoint left before the whole fleet started again.
	It("cannot tell after the whole fleet has started again, for a minute", func() {
		f.restartAll("v1")
		f.expectStatus("n0", zporigin.StatusUnknown)
		f.setClock(at(59 + zporigin.Retention.Seconds()))
		f.expectStatus("n0", zporigin.StatusUnknown) // although all have kept origins for long
		f.setClock(at(60 + zporigin.Retention.Seconds()))
		f.expectStatus("n0", zporigin.StatusAny)
		f.setDown(func(m zpassign.Member) bool { return m.Name == "n1" })
		f.expectStatus("n0", zporigin.StatusAny)
	})

	// Guards against refusals in a fleet that has read the list of endpoints anew, as after a restore of the store.
	It("knows that a stream began at the pool's version if all daemons know the streams of a minute, whatever they have seen", func() {
		for _, m := range f.members {
			f.missed[m.Name] = true
		}
		f.expectStatus("n0", zporigin.StatusAny)
		f.setClock(at(80))
		f.restart(f.members[1])
		f.observeAt("n1", "v1")
		f.setClock(at(95))
		f.expectStatus("n0", zporigin.StatusUnknown)
	})

	// Guards against a stream of a version that left before the fleet started again, taken for one of the version that was there since.
	It("assumes no version within a minute after the whole fleet has started again", func() {
		f.restartAll("v1")
		f.setClock(at(75))
		f.observe("v1", "v3")
		f.expectStatus("n0", zporigin.StatusUnknown)
	})

	// Guards against streams that nobody can tell of any more once all daemons have been replaced one after the other.
	It("knows the past from others that have seen it, so that it outlasts a restart of each", func() {
		for _, m := range f.members {
			f.restart(m)
			f.observeAt(m.Name, "v1")
			f.setClock(f.clock().Add(time.Second))
			f.directories[m.Name].InheritPast(context.Background(), "p", f.clock())
		}
		f.expectStatus("n0", zporigin.StatusAny)
	})

	// Guards against an upgrade after which streams are refused for a minute.
	It("takes over the past from a daemon of an earlier release", func() {
		f.restartAll("v1")
		f.isOlder = true
		f.directories["n0"].InheritPast(context.Background(), "p", f.clock().Add(time.Second))
		f.setClock(at(61))
		f.directories["n0"].InheritPast(context.Background(), "p", f.clock())
		f.isOlder = false
		f.expectStatus("n0", zporigin.StatusAny)
	})

	It("does not take over the past from one that has not heard of the endpoints since it began to read them", func() {
		f.restart(f.members[0])
		f.observeAt("n0", "v1")
		f.listedAt = at(59)
		f.setClock(at(61))
		f.directories["n0"].InheritPast(context.Background(), "p", f.clock())
		f.expectStatus("n0", zporigin.StatusUnknown)
		f.listedAt = at(60)
		f.expectStatus("n0", zporigin.StatusAny)
	})

	// Guards against a daemon that starts after a route was moved to a pool, and takes that for the pool of all its streams.
	It("takes the word for the past of a pool only from a daemon that has not seen its routes moved lately", func() {
		f.setClock(at(120))
		f.restart(f.members[0])
		f.observeAt("n0", "v1")
		f.expectStatus("n0", zporigin.StatusAny)
		f.movedAt = at(100)
		f.expectStatus("n0", zporigin.StatusUnknown)
		f.movedAt = at(60)
		f.expectStatus("n0", zporigin.StatusAny)
		f.setDown(func(m zpassign.Member) bool { return m.Name != "n0" })
		f.expectStatus("n0", zporigin.StatusUnknown)
	})

	It("knows the streams that began since the whole fleet has started again", func() {
		f.restartAll("v1")
		f.directories["n1"].Record(context.Background(), zporigin.Origin{Request: "r", Pool: "p", Version: "v1"}, false)
		f.setDown(func(m zpassign.Member) bool { return m.Name == "n1" })
		f.expectStatus("n3", zporigin.StatusKnown)
	})

	It("tells registered daemons of its streams when it takes all others for lost", func() {
		f.observe("v1", "v2")
		f.takeForLost("n1")
		beginAtNewVersion()
		f.setDown(func(m zpassign.Member) bool { return m.Name == "n1" })
		f.expectKnownTo("n3")
	})

	Context("at which a stream began that it could tell nobody", func() {
		// die lets the daemon that began the stream vanish.
		die := func() { f.setDown(func(m zpassign.Member) bool { return m.Name == "n1" }) }
		// tellAgain lets time pass for n1.
		tellAgain := func(from, to float64) {
			for s := from; s <= to; s += 0.1 {
				f.setClock(at(s))
				f.directories["n1"].TellAgain(context.Background())
			}
		}

		BeforeEach(func() {
			f.observe("v1", "v2")
			f.silence("n1")
			beginAtNewVersion()
		})

		// Guards against a stream that is lost with the daemon that began it while its keepers could not be reached.
		It("tells others of it once it reaches them", func() {
			tellAgain(60, 64)
			f.silence("")
			tellAgain(64, 65)
			die()
			f.expectKnownTo("n3")
		})

		It("tells daemons that are no keepers while the keepers are down", func() {
			f.silence("")
			owners := slices.Concat(zplookup.NewOwners(f.members).Ranked("r")...)
			f.setDown(func(m zpassign.Member) bool { return slices.Contains(owners, m) })
			tellAgain(60, 75)
			die()
			f.expectKnownTo("s0")
		})

		It("hands it over when it stops", func() {
			f.silence("")
			f.directories["n1"].HandOver(context.Background())
			die()
			f.expectKnownTo("n3")
		})

		It("hands over nothing for longer than it may take", func() {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			f.directories["n1"].HandOver(ctx)
			Expect(ctx.Err()).To(HaveOccurred())
		})

		It("sends little while nobody answers, and nothing once somebody has confirmed or a minute has passed", func() {
			f.forgetMessages()
			tellAgain(60, 119.9)
			Expect(f.messages()).To(And(BeNumerically(">", 30), BeNumerically("<", 100)))
			f.forgetMessages()
			tellAgain(120, 130)
			Expect(f.messages()).To(BeZero())
			f.silence("")
			f.directories["n1"].Record(context.Background(), zporigin.Origin{Request: "s", Pool: "p", Version: "v2"}, false)
			f.forgetMessages()
			tellAgain(130, 140)
			Expect(f.messages()).To(BeZero())
		})
	})

	Context("at which a stream began in a pool of one version", func() {
		expectKnownWithout := func(name string) {
			GinkgoHelper()
			f.setDown(func(m zpassign.Member) bool { return m.Name == name })
			Expect(f.directories["n3"].Find(context.Background(), "r", "p")).To(Equal(zporigin.Finding{Status: zporigin.StatusKnown, Pool: "p", Version: "v1"}))
		}

		BeforeEach(func() {
			f.directories["n1"].Record(context.Background(), zporigin.Origin{Request: "r", Pool: "p", Version: "v1"}, false)
		})

		// Guards against a stream that is lost with its daemon when another version appears.
		It("hands it over when it stops, and tells nobody before", func() {
			f.setClock(at(61))
			f.directories["n1"].TellAgain(context.Background())
			Expect(f.messages()).To(BeZero())
			f.directories["n1"].HandOver(context.Background())
			f.observeOthers("n1", "v1", "v2")
			expectKnownWithout("n1")
		})

		// Guards against a stream that is untold as its keepers were silent when the second version appeared.
		It("tells others again when a second version has appeared", func() {
			f.silence("n1")
			f.observe("v1", "v2")
			Eventually(f.messages, "1s").Should(BeNumerically(">=", 3))
			f.silence("")
			f.setClock(at(61))
			f.directories["n1"].TellAgain(context.Background())
			expectKnownWithout("n1")
		})
	})
})
