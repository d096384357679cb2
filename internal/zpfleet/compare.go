package zpfleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
)

// peersPerRound is the number of random peers asked in one round: one in this
// daemon's failure domain and one in the platform's region, where confirmations
// that the configuration is current come from.
const peersPerRound = 2

// runCompare exchanges configuration revisions with random peers at regular
// intervals.
func (f *Fleet) runCompare(ctx context.Context) {
	// Random is used by the goroutine of runWatch and is not safe for concurrent
	// use.
	random := rand.New(rand.NewPCG(f.Random.Uint64(), 0))
	f.runEvery(ctx, f.compareInterval, func(ctx context.Context) {
		for _, m := range f.choosePeers(random) {
			f.workers.Go(func() { f.compare(ctx, m, false) })
		}
	})
}

// choosePeers returns the peers for one round. If no peer is known in either
// group, it chooses one of the seeds.
func (f *Fleet) choosePeers(random *rand.Rand) []zpassign.Member {
	var sameDomain, platformRegion []zpassign.Member
	for _, m := range zpassign.MembersInStates(f.Cache.Members(), zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Instance == f.Self.Instance {
			continue
		}
		if m.Domain == f.Self.Domain {
			sameDomain = append(sameDomain, m)
		}
		if m.Region == f.Freshness.PlatformRegion {
			platformRegion = append(platformRegion, m)
		}
	}
	if len(sameDomain)+len(platformRegion) == 0 {
		platformRegion = f.seedMembers()
	}
	out := make([]zpassign.Member, 0, peersPerRound)
	for _, candidates := range [][]zpassign.Member{sameDomain, platformRegion} {
		if len(candidates) > 0 {
			out = append(out, candidates[random.IntN(len(candidates))])
		}
	}
	return out
}

// seedMembers returns the seeds as members. Only their addresses are known, so
// the address also serves as instance.
func (f *Fleet) seedMembers() []zpassign.Member {
	out := make([]zpassign.Member, 0, len(f.Seeds))
	for _, address := range f.Seeds {
		out = append(out, zpassign.Member{Instance: address, PeerAddress: address})
	}
	return out
}

// compare asks one peer for the objects that are newer there, for the age of its
// copy and, if askPromise is set, for a promise not to end this daemon's lease.
func (f *Fleet) compare(ctx context.Context, m zpassign.Member, askPromise bool) {
	askedAt := f.Clock()
	c, err := f.PeerClient.Compare(ctx, m.PeerAddress, f.Cache.Revision(), askPromise)
	if err != nil {
		f.Contacts.Record(m.Instance, zpconfig.Contact{AskedAt: askedAt})
		return
	}
	f.Contacts.Record(c.Instance, zpconfig.Contact{AskedAt: askedAt, Answered: true, Age: c.Delta.Age})
	f.Cache.Merge(c.Delta, askedAt)
	if c.Promised {
		f.Lease.RecordPromise(c.Instance, askedAt)
	}
}

// AnswerCompare answers a comparison that another daemon has requested.
func (f *Fleet) AnswerCompare(instance string, revision int64, askPromise bool, now time.Time) Comparison {
	c := Comparison{Instance: f.Self.Instance, Delta: f.Cache.Since(revision, now)}
	if askPromise {
		c.Promised = f.Promises.Promise(instance, now)
	}
	return c
}
