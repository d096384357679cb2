package zporigin

import (
	"context"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
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
		pasts     []inheritance   // what those that answered have seen
		kept      []time.Duration // for how long those that answered have kept origins
	}

	namedReply struct {
		Reply
		from string
		past inheritance
		err  error
	}
)

const (
	// askedPerRegion is how many daemons of a region are asked at first. It is higher than the number of keepers,
	// as the one that served the stream keeps nothing for others, and others come back
	// after a restart without what they kept.
	askedPerRegion = 3
	// maxAskedAll is the number of other daemons up to which all are asked of a stream where the
	// word of the keepers does not do.
	maxAskedAll = 128
	// askTimeout allows for the round trip between regions.
	askTimeout = 150 * time.Millisecond
)

// isComplete reports whether all that were asked, and at least one, said that they do not
// know the stream.
func (q inquiry) isComplete() bool {
	return len(q.asked) > 0 && len(q.answered) == len(q.asked)
}

// leastKept returns for how long all that answered have kept origins.
func (q inquiry) leastKept() time.Duration {
	if len(q.kept) == 0 {
		return Retention // there is nobody else
	}
	return slices.Min(q.kept)
}

// askKeepers asks the keepers of a request in all regions.
func (d *Directory) askKeepers(ctx context.Context, request, pool string) inquiry {
	q := inquiry{versions: map[string]time.Duration{}}
	d.ask(ctx, request, pool, d.keepersToAsk(request), &q)
	return q
}

// ask asks daemons at once. It returns when one of them knows the stream, or all have
// answered, or after askTimeout.
func (d *Directory) ask(ctx context.Context, request, pool string, members []zpassign.Member, q *inquiry) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan namedReply)
	startedAt := d.Clock()
	for _, m := range members {
		q.asked = append(q.asked, m.Name)
		go func() {
			r, err := d.Ask(ctx, m.PeerAddress, request, pool)
			select {
			case replies <- namedReply{r, m.Name, pastOf(r, startedAt, d.Clock()), err}:
			case <-ctx.Done():
			}
		}()
	}
	for range members {
		select {
		case r := <-replies:
			q.add(r)
		case <-ctx.Done():
		}
		if q.isKnown || ctx.Err() != nil {
			break
		}
	}
}

func (q *inquiry) add(r namedReply) {
	switch {
	case r.err != nil:
		return
	case r.IsKnown:
		q.origin, q.isKnown = r.Origin, true
		q.answered = append(q.answered, r.from)
	case r.KeptFor < settleTime && !zpmutant.Active(zpmutant.Settled):
		q.unsettled = append(q.unsettled, r.from)
	default:
		q.answered = append(q.answered, r.from)
	}
	q.mixedFor = max(q.mixedFor, r.MixedFor)
	q.pasts = append(q.pasts, r.past)
	q.kept = append(q.kept, r.KeptFor)
	for x, age := range r.Versions {
		if known, ok := q.versions[x]; !ok || age < known {
			q.versions[x] = age
		}
	}
}

// keepersToAsk returns the first daemons of each region, of those that are registered and of
// those that are alive, as the daemon that began the stream may have told either.
func (d *Directory) keepersToAsk(request string) []zpassign.Member {
	var out []zpassign.Member
	for _, ranked := range [][][]zpassign.Member{d.Registered(request), d.Alive(request)} {
		for _, region := range ranked {
			for _, m := range region[:min(len(region), askedPerRegion)] {
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
