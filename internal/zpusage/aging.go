package zpusage

import (
	"math"
	"time"
)

type (
	// aging sums the reports of peers, each weighted by its age: what ran at an endpoint when
	// a peer reported has ended soon after. It is not safe for concurrent use.
	aging struct {
		epoch time.Time
		sums  map[string]weighted // by endpoint; a report counts with 1 if it was received at epoch

		factorAt time.Time // for which factor was computed
		factor   float64
	}

	weighted struct{ requests, prefillTokens float64 }
)

const (
	// reportLife is the age at which 1/e of a report still holds. Requests to services run for
	// about that long, and prompts wait and are read.
	reportLife = 100 * time.Millisecond
	// maxEpochAge bounds the weights.
	maxEpochAge = 20 * reportLife
	// negligible is the weight below which a sum is only a rounding error.
	negligible = 1e-6
)

// add adds a report to the sums if sign is 1, or removes it if sign is -1.
func (a *aging) add(r report, sign float64) {
	if a.sums == nil {
		a.epoch, a.sums = r.receivedAt, map[string]weighted{}
	}
	weight := sign * math.Exp(r.receivedAt.Sub(a.epoch).Seconds()/reportLife.Seconds())
	for endpoint, u := range r.uses {
		sum := a.sums[endpoint]
		sum.requests += weight * float64(u.Requests)
		sum.prefillTokens += weight * float64(u.PrefillTokens)
		if sum.requests > negligible || sum.prefillTokens > negligible {
			a.sums[endpoint] = sum
		} else {
			delete(a.sums, endpoint)
		}
	}
}

// advance moves the epoch to now if it is long ago.
func (a *aging) advance(now time.Time) {
	if now.Sub(a.epoch) < maxEpochAge {
		return
	}
	factor := a.factorOf(now)
	for endpoint, sum := range a.sums {
		a.sums[endpoint] = weighted{sum.requests * factor, sum.prefillTokens * factor}
	}
	a.epoch, a.factorAt = now, time.Time{}
}

// factorOf returns the factor between a sum as of epoch and at now.
func (a *aging) factorOf(now time.Time) float64 {
	if !now.Equal(a.factorAt) {
		a.factorAt, a.factor = now, math.Exp(-now.Sub(a.epoch).Seconds()/reportLife.Seconds())
	}
	return a.factor
}

// of returns what is left of reported, the sum of the reports on an endpoint.
func (a *aging) of(endpoint string, reported Usage, now time.Time) Usage {
	sum, factor := a.sums[endpoint], a.factorOf(now)
	left := reported
	left.Requests = min(int(math.Round(sum.requests*factor)), reported.Requests)
	left.PrefillTokens = min(int(sum.prefillTokens*factor), reported.PrefillTokens)
	return left
}
