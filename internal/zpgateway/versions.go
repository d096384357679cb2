package zpgateway

import (
	"errors"
	"math"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
)

// choiceSet are endpoints that a request may be sent to.
type choiceSet struct {
	choices    []choice
	candidates []zpplace.Candidate
}

// versionsOf returns the software versions that a request may use now. One that has been
// sent to a new version once is repeated on the old ones, unless it has begun a stream there.
func (g *Gateway) versionsOf(j *job, now time.Time) zpupgrade.View {
	v := g.Upgrades.View(j.pool.Name, j.route.Name, now)
	if j.triedNewVersion && !j.isBound {
		return v.WithoutNew()
	}
	return v
}

// selectVersion returns the endpoints to try first, and the others. While a pool moves to a
// new version, a request that may use it does. Few endpoints get these requests, so that
// they have as much load as they will have after the move.
func (g *Gateway) selectVersion(v zpupgrade.View, choices []choice, candidates []zpplace.Candidate) (first []choice, firstCandidates []zpplace.Candidate, others choiceSet) {
	if !v.IsRunning() || v.IsSwitched() {
		return choices, candidates, choiceSet{}
	}
	var selected choiceSet
	countByRegion := map[string]int{}
	for _, c := range choices {
		if v.IsNew(c.endpoint.SoftwareVersion) {
			countByRegion[c.endpoint.Region]++
		}
	}
	taken := map[string]int{}
	for i, c := range choices {
		region := c.endpoint.Region
		switch {
		case !v.IsNew(c.endpoint.SoftwareVersion):
			others.add(c, candidates[i])
		case taken[region] < loadedEndpoints(countByRegion[region], v.Share()):
			taken[region]++
			selected.add(c, candidates[i])
		}
	}
	return selected.choices, selected.candidates, others
}

// loadedEndpoints returns how many of n endpoints share of a pool's requests load like all
// of its requests load n.
func loadedEndpoints(n int, share float64) int {
	return max(int(math.Ceil(float64(n)*share)), 1)
}

func (s *choiceSet) add(c choice, candidate zpplace.Candidate) {
	s.choices, s.candidates = append(s.choices, c), append(s.candidates, candidate)
}

// expectedFirstByte returns the time to the first byte with which that of an answer is
// compared, or zero if it says nothing about the endpoint's version.
func (g *Gateway) expectedFirstByte(j *job, c choice) time.Duration {
	switch {
	case c.candidate.Cold:
		return 0
	case j.route.Kind == zpcatalog.KindStream:
		return engineStartTime + zpplace.PrefillLatency(c.demand, c.candidate, g.Rates)
	default:
		return j.route.TargetLatency
	}
}

// recordVersion records how an endpoint answered, as evidence on its software version.
func (g *Gateway) recordVersion(j *job, c choice, s sendResult) {
	if c.upgrade.IsNew() && s.outcome != outcomeUnsent {
		j.triedNewVersion = true
	}
	outcome := zpupgrade.OutcomeIgnored
	switch s.outcome {
	case outcomeDone:
		outcome = zpupgrade.OutcomeGood
		if j.route.Kind == zpcatalog.KindStream {
			c.upgrade.SetEvents(j.events)
		}
	case outcomeFailed, outcomeBroken, outcomeSilent:
		outcome = zpupgrade.OutcomeBad
	case outcomeStopped:
		if errors.Is(s.err, errEndpointTimeout) {
			outcome = zpupgrade.OutcomeBad
		}
	}
	c.upgrade.End(outcome, g.Clock())
}
