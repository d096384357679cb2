package zppeer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
)

var _ = Describe("Reports on a new version", func() {
	It("arrive as they were sent, and so do the decisions", func() {
		var received []zpupgrade.Report
		decisions := []zpupgrade.Decision{
			{Pool: "p", Order: "7/v2", Age: 3 * time.Second, State: zpupgrade.StateRunning, Share: 0.3, Focus: "read", SwitchIn: -20 * time.Millisecond, HasSwitch: true, Leads: map[string]time.Duration{"read": 40 * time.Millisecond}},
			{Pool: "q", Order: "8/v2", State: zpupgrade.StateRolledBack, Reason: "route read: failures", Leads: map[string]time.Duration{}},
		}
		address := serveSharing(&zppeer.SharingHandler{
			Instance: "b.1", Apply: func(zpshare.Message) {}, Targets: func() []zprollout.Target { return nil },
			CatalogVersion: func() int64 { return 9 }, CatalogConfirmed: func() bool { return true },
			Upgrades: func(reports []zpupgrade.Report) []zpupgrade.Decision {
				received = reports
				return decisions
			},
		})
		d := &zppeer.Dialer{Timeout: time.Second}
		d.Open()
		DeferCleanup(d.Close)
		read := zpupgrade.RouteTally{Route: "read", Old: zpupgrade.Tally{Answers: 30, Bad: 4, Time: 2 * time.Second}, New: zpupgrade.Tally{Answers: 3, Bad: 1}}
		read.Old.Speeds[2], read.Old.Speeds[25], read.New.Speeds[0], read.New.Paces[3] = 20, 6, 2, 1
		reports := []zpupgrade.Report{
			{Instance: "a.1", Pool: "p", Order: "7/v2", Age: 2 * time.Second, Sent: 40, SentNew: 4, OldRunning: 2, Switched: true, Stopped: true,
				Routes: []zpupgrade.RouteTally{read, {Route: "book", Old: zpupgrade.Tally{Answers: 5}}}},
			{Instance: "a.1", Pool: "q", Order: "8/v2"},
		}
		reply, err := zppeer.Share(context.Background(), d, address, zpshare.Message{Instance: "a.1", Upgrades: reports})
		Expect(err).NotTo(HaveOccurred())
		Expect(received).To(Equal(reports))
		Expect(reply.Upgrades).To(Equal(decisions))
	})
})
