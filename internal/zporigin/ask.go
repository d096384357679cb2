package zporigin

import (
	"context"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
)

type (
	// inquiry is what other daemons said of a stream.
	inquiry struct {
		origin    Origin
		isKnown   bool
		asked     []string                 // names
		answered  []string                 // names of those whose word counts, up to the first that knows the stream
		unsettled []string                 // names of those that answered and cannot tell
		versions  map[string]time.Duration // software versions that they have seen, and the time since each was last seen
		mixedFor  time.Duration
	}

	namedReply struct {
		Reply
		from string
		err  error
	}
)

const (
	// asked is how many daemons of a region are asked. It is higher than the number of keepers,
	// as the one that served the stream keeps nothing for others, and others come back
	// after a restart without what they kept.
	asked = 3
	// maxAskedAll is the size of the fleet up to which all daemons are asked where silence of
	// any counts.
	maxAskedAll = 128
	// askTimeout allows for the round trip between regions.
	askTimeout = 150 * time.Millisecond
)

// isComplete reports whether all that were asked, and at least one, said that they do not
// know the stream.
func (q inquiry) isComplete() bool {
	return len(q.asked) > 0 && len(q.answered) == len(q.asked)
}

// ask asks the keepers of a request in all regions at once. It returns when one of them knows
// the stream, or all have answered, or after askTimeout.
func (d *Directory) ask(ctx context.Context, request, pool string) inquiry {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := inquiry{versions: map[string]time.Duration{}}
	replies := make(chan namedReply)
	for _, m := range d.toAsk(request, pool) {
		q.asked = append(q.asked, m.Name)
		go func() {
			r, err := d.Ask(ctx, m.PeerAddress, request, pool)
			select {
			case replies <- namedReply{r, m.Name, err}:
			case <-ctx.Done():
			}
		}()
	}
	for range q.asked {
		select {
		case r := <-replies:
			q.add(r)
		case <-ctx.Done():
		}
		if q.isKnown || ctx.Err() != nil {
			break
		}
	}
	return q
}

func (q *inquiry) add(r namedReply) {
	switch {
	case r.err != nil:
		return
	case r.IsKnown:
		q.origin, q.isKnown = r.Origin, true
		q.answered = append(q.answered, r.from)
	case r.KeptFor < settleTime:
		q.unsettled = append(q.unsettled, r.from)
	default:
		q.answered = append(q.answered, r.from)
	}
	q.mixedFor = max(q.mixedFor, r.MixedFor)
	for x, age := range r.Versions {
		if known, ok := q.versions[x]; !ok || age < known {
			q.versions[x] = age
		}
	}
}

// toAsk returns the daemons to ask, those that are registered and those that are alive, as
// the daemon that began the stream may have told either. All are asked if a version may be
// assumed.
func (d *Directory) toAsk(request, pool string) []zpassign.Member {
	if others := d.Others(); len(others) <= maxAskedAll {
		if _, ok := d.Pools.Assume(pool, d.Clock()); ok {
			return others
		}
	}
	var out []zpassign.Member
	for _, ranked := range [][][]zpassign.Member{d.Registered(request), d.Alive(request)} {
		for _, region := range ranked {
			for _, m := range region[:min(len(region), asked)] {
				if m.Name != d.Self.Name && !isNamed(out, m.Name) {
					out = append(out, m)
				}
			}
		}
	}
	return out
}

func isNamed(members []zpassign.Member, name string) bool {
	return slices.ContainsFunc(members, func(m zpassign.Member) bool { return m.Name == name })
}
