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
		for _, address := range f.chooseAddresses(random) {
			f.workers.Go(func() { f.compare(ctx, address, false) })
		}
	})
}

func (f *Fleet) chooseAddresses(random *rand.Rand) []string {
	var near, platform []string
	for _, m := range zpassign.Live(f.Cache.Members(), zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Instance == f.Self.Instance {
			continue
		}
		if m.Domain == f.Self.Domain {
			near = append(near, m.Address)
		}
		if m.Region == f.Judge.PlatformRegion {
			platform = append(platform, m.Address)
		}
	}
	if len(near)+len(platform) == 0 {
		platform = f.Seeds
	}
	out := make([]string, 0, peersPerRound)
	for _, list := range [][]string{near, platform} {
		if len(list) > 0 {
			out = append(out, list[random.IntN(len(list))])
		}
	}
	return out
}

// compare asks one peer for what is newer there, and how fresh its proof is.
func (f *Fleet) compare(ctx context.Context, address string, askPromise bool) {
	asked := f.Clock()
	c, err := f.Calls.Compare(ctx, address, f.Cache.Revision(), askPromise)
	if err != nil {
		return
	}
	f.Contacts.Note(c.Instance, zpconfig.Contact{At: asked, Age: c.Delta.Age})
	f.Cache.Merge(c.Delta, asked)
	if c.Promised {
		f.Own.Promised(c.Instance, asked)
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
