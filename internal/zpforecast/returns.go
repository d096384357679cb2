package zpforecast

import (
	"slices"
	"time"
)

type (
	// Returns spreads the callers that are asked to return over the time in which there will
	// be room for them. The zero value is ready to use. It is not safe for concurrent use.
	Returns struct {
		promises []promise
	}

	// promise is the work of one caller that was asked to return.
	promise struct {
		at   time.Time
		rank int
		work float64
	}

	// Return describes a caller that is refused.
	Return struct {
		Rank      int           // 0 is the most urgent
		Work      float64       // of the request
		Room      time.Duration // until there is room again
		PerSecond float64       // work that can start per second from then on; zero: not known
		Left      time.Duration // until the caller's deadline
		Random    float64       // in [0, 1)
	}
)

const (
	// heededDivisor divides the time that a caller has left into the longest time for which
	// it heeds Retry-After.
	heededDivisor = 3
	// minReturn is the shortest time after which a caller is asked to return: requests that
	// are running end within it.
	minReturn = 300 * time.Millisecond
	// spread is the share by which the times of return vary, so that callers refused at the
	// same moment do not return at the same moment.
	spread = 0.3
	// maxPromises bounds the memory. The earliest promises are dropped first.
	maxPromises = 1024
)

// Plan returns after which time a caller should return. Callers that were asked before and
// are as urgent or more urgent come first.
func (r *Returns) Plan(c Return, now time.Time) time.Duration {
	r.promises = slices.DeleteFunc(r.promises, func(p promise) bool { return !p.at.After(now) })
	ahead := 0.0
	for _, p := range r.promises {
		if p.rank <= c.Rank {
			ahead += p.work
		}
	}
	after := max(c.Room, minReturn)
	if c.PerSecond > 0 {
		after += WaitFor(ahead, c.PerSecond)
	}
	limit := c.Left / heededDivisor
	if after > limit {
		// There is no room while the caller heeds. It returns late, so that most has
		// been served by then.
		after = time.Duration(float64(limit) * (1 - spread*c.Random))
	} else {
		after = min(time.Duration(float64(after)*(1+spread*c.Random)), limit)
	}
	after = max(after, 0)
	if len(r.promises) >= maxPromises {
		r.promises = slices.Delete(r.promises, 0, 1)
	}
	r.promises = append(r.promises, promise{at: now.Add(after), rank: c.Rank, work: c.Work})
	return after
}
