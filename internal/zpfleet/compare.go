package zpfleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
)

// peersPerRound is how many random peers are asked in one round: one of the own
// failure domain and one of the platform's region, where proofs come from.
const peersPerRound = 2

// runCompare compares versions with random peers.
func (f *Fleet) runCompare(ctx context.Context) {
	// A source of its own: Random belongs to the watch.
	random := rand.New(rand.NewPCG(f.Random.Uint64(), 0))
	f.every(ctx, f.compareInterval, func(ctx context.Context) {
		for _, m := range f.choosePeers(random) {
			f.workers.Go(func() { f.compare(ctx, m, false) })
		}
	})
}

func (f *Fleet) choosePeers(random *rand.Rand) []zpassign.Member {
	var near, platform []zpassign.Member
	for _, m := range zpassign.Live(f.Cache.Members(), zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Instance == f.Self.Instance {
			continue
		}
		if m.Domain == f.Self.Domain {
			near = append(near, m)
		}
		if m.Region == f.Judge.PlatformRegion {
			platform = append(platform, m)
		}
	}
	if len(near)+len(platform) == 0 {
		platform = f.seedMembers()
	}
	out := make([]zpassign.Member, 0, peersPerRound)
	for _, list := range [][]zpassign.Member{near, platform} {
		if len(list) > 0 {
			out = append(out, list[random.IntN(len(list))])
		}
	}
	return out
}

// seedMembers returns the seeds as members of which only the address is known.
func (f *Fleet) seedMembers() []zpassign.Member {
	out := make([]zpassign.Member, 0, len(f.Seeds))
	for _, address := range f.Seeds {
		out = append(out, zpassign.Member{Instance: address, Address: address})
	}
	return out
}

// compare asks one peer for what is newer there, and how fresh its proof is.
func (f *Fleet) compare(ctx context.Context, m zpassign.Member, askPromise bool) {
	asked := f.Clock()
	c, err := f.Calls.Compare(ctx, m.Address, f.Cache.Revision(), askPromise)
	if err != nil {
		f.Contacts.Note(m.Instance, zpconfig.Contact{At: asked})
		return
	}
	f.Contacts.Note(c.Instance, zpconfig.Contact{At: asked, Answered: true, Age: c.Delta.Age})
	f.Cache.Merge(c.Delta, asked)
	if c.Promised {
		f.Own.RecordPromise(c.Instance, asked)
	}
}

// AnswerCompare answers another daemon's comparison.
func (f *Fleet) AnswerCompare(instance string, revision int64, askPromise bool, now time.Time) Comparison {
	c := Comparison{Instance: f.Self.Instance, Delta: f.Cache.Since(revision, now)}
	if askPromise {
		c.Promised = f.Promises.Promise(instance, now)
	}
	return c
}
