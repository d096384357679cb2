package zpquarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
)

var _ = Describe("Ban", func() {
	// The clocks of the VM that writes and of the one that reads have different origins.
	written, read := time.Unix(5000, 0), time.Unix(80, 0)
	timeOfDay := time.Unix(1_700_000_000, 0)
	deadly, companion, library := zpquarantine.PartFingerprint("deadly"), zpquarantine.PartFingerprint("companion"), zpquarantine.PartFingerprint("library")
	var tracker *zpquarantine.Tracker

	BeforeEach(func() {
		tracker = zpquarantine.NewTracker(time.Hour)
		for i, other := range []string{library, "a", "b"} {
			at := written.Add(time.Duration(i-3) * time.Second)
			tracker.RecordCrash(zpquarantine.Report{
				Crash: other, CrashedAt: at, SentAt: at.Add(-time.Second / 2), Workspace: "w", Fingerprints: []string{other, deadly, companion},
			}, written)
		}
	})

	// readAfter returns a new tracker with the ban of the deadly part, read after a delay.
	readAfter := func(delay time.Duration) (*zpquarantine.Tracker, zpquarantine.Ban) {
		GinkgoHelper()
		data, err := zpquarantine.EncodeBan(tracker.BanOf(deadly), written, timeOfDay)
		Expect(err).NotTo(HaveOccurred())
		ban, err := zpquarantine.DecodeBan(data, read, timeOfDay.Add(delay))
		Expect(err).NotTo(HaveOccurred())
		restarted := zpquarantine.NewTracker(time.Hour)
		for _, r := range ban.Reports {
			restarted.RecordCrash(r, read)
		}
		return restarted, ban
	}

	It("refuses the same requests at a daemon that has read it", func() {
		restarted, ban := readAfter(time.Minute)
		for _, fingerprints := range [][]string{{deadly, companion}, {deadly}, {library}} {
			Expect(restarted.Check("w", fingerprints, read).Status).To(Equal(tracker.Check("w", fingerprints, written).Status))
		}
		Expect(restarted.Check("w", []string{deadly, companion}, read).Status).To(Equal(zpquarantine.StatusBanned))
		Expect(ban.ExpiresAt(time.Hour)).To(BeTemporally("~", read.Add(time.Hour-time.Minute-time.Second), time.Millisecond))
	})

	It("does not count after the retention", func() {
		restarted, ban := readAfter(time.Hour)
		Expect(restarted.Check("w", []string{deadly, companion}, read).Status).To(Equal(zpquarantine.StatusClear))
		Expect(ban.ExpiresAt(time.Hour)).To(BeTemporally("<", read))
	})

	It("is not older than it was when written, for a VM whose time of day is behind", func() {
		_, ban := readAfter(-time.Minute)
		Expect(ban.ExpiresAt(time.Hour)).To(BeTemporally("~", read.Add(time.Hour-time.Second), time.Millisecond))
	})

	It("is refused if it cannot be parsed", func() {
		_, err := zpquarantine.DecodeBan([]byte("{"), read, timeOfDay)
		Expect(err).To(HaveOccurred())
	})
})
