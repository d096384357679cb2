package zpupgrade

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

type (
	// Verdict says how the answers of a new version compare with those of the old ones.
	Verdict struct {
		Kind   VerdictKind
		Reason string // what led to it, for the log
		Route  string // that an open verdict waits for; empty: none
	}

	// sample is how many of some answers have a property.
	sample struct{ hits, answers int64 }

	// VerdictKind is the kind of a verdict.
	VerdictKind int
)

// Kinds of verdicts.
const (
	VerdictOpen VerdictKind = iota
	VerdictGood
	VerdictBad
)

const (
	// addedShare is the share of further failures, or of further slow answers, from which a
	// version counts as bad.
	addedShare = 0.3
	// excludedShare is the share of further failures or slow answers that the good verdict
	// excludes. Excluding smaller ones would take more answers than a new version gets.
	excludedShare = 0.4
	// badEvidence is the logarithm of how much likelier the answers of some stretch of time
	// must be of a bad version than of a good one. Of good versions with n answers on a
	// route, fewer than n/exp(badEvidence) in one are taken for bad.
	badEvidence = 9.0
	// goodEvidence is the same for the good verdict, over all answers on a route.
	goodEvidence = 0.5
	// openEvidence of a bad version in the latest stretch of time forbids the good verdict.
	openEvidence = 5.5

	minFailureShare = 0.02 // assumed of old versions that fail less
	minSlowShare    = 0.05
	// slowClasses is how many speed classes above the median of the old versions an answer
	// counts as slow: a factor of 2.4 to 3.4.
	slowClasses = 2
	// minOldAnswers is how many answers of old versions are needed for a comparison.
	minOldAnswers = 10
	// minNewAnswers is how many answers on a route the good verdict needs.
	minNewAnswers = 12
	// commonRouteShare is the share of the pool's answers from which a route must have been
	// judged by itself for the good verdict.
	commonRouteShare = 0.03
	// recentSpans is the number of spans before and after one whose answers of the old
	// versions it is compared with: those of the same time.
	recentSpans = 4
)

// String returns the name of the verdict for logs.
func (k VerdictKind) String() string { return [...]string{"open", "good", "bad"}[k] }

// verdict compares the new version with the old ones.
func (e *evidence) verdict() Verdict {
	if e.judged == nil {
		v := e.compareRoutes()
		e.judged = &v
	}
	return *e.judged
}

// compareRoutes compares the versions route by route, so that a fault on a rare route is not
// hidden by the others.
func (e *evidence) compareRoutes() Verdict {
	all, judged := int64(0), 0
	for _, s := range e.routes {
		all += s.answers()
	}
	open := Verdict{}
	for _, name := range slices.Sorted(maps.Keys(e.routes)) {
		s := e.routes[name]
		isCommon := float64(s.answers()) >= commonRouteShare*float64(all)
		isJudged := isCommon || s.total.New.Answers >= minNewAnswers
		switch v := s.judge(name, isJudged); {
		case v.Kind == VerdictBad:
			return v
		case v.Kind == VerdictOpen:
			open = v
		}
		if isCommon && s.total.New.Answers < minNewAnswers {
			open = Verdict{Reason: fmt.Sprintf("route %s: %d answers of the new version", name, s.total.New.Answers), Route: name}
		}
		if isJudged {
			judged++
		}
	}
	if open.Reason == "" && judged > 0 {
		return Verdict{Kind: VerdictGood, Reason: "no route shows more failures or slower answers"}
	}
	return open
}

// judge compares the versions on one route. Without isJudged, only clear signs of a fault
// count.
func (s *series) judge(name string, isJudged bool) Verdict {
	out := Verdict{Kind: VerdictGood}
	for _, c := range s.comparisons() {
		switch c.kind(isJudged) {
		case VerdictBad:
			return Verdict{Kind: VerdictBad, Reason: c.describe(name)}
		case VerdictOpen:
			out = Verdict{Reason: c.describe(name) + " not excluded", Route: name}
		}
	}
	return out
}

// comparison is the result of comparing one property of answers on one route. The
// evidences are logarithms of likelihood ratios of a bad version to a good one.
type comparison struct {
	name                                     string
	isPace                                   bool
	total                                    float64 // of excludedShare, over all answers
	latest                                   float64 // of addedShare, in the stretch up to now that speaks most against the version
	newHits, newAnswers, oldHits, oldAnswers int64
}

// kind returns what the comparison says by itself. Few streams may have events enough for a
// pace, so its lack does not leave the verdict open.
func (c comparison) kind(isJudged bool) VerdictKind {
	isNeeded := isJudged && (!c.isPace || c.newAnswers >= minNewAnswers)
	switch {
	case c.latest >= badEvidence:
		return VerdictBad
	case c.latest > openEvidence || isNeeded && c.total > -goodEvidence:
		return VerdictOpen
	default:
		return VerdictGood
	}
}

func (c comparison) describe(route string) string {
	return fmt.Sprintf("route %s: %s (%d of %d new, %d of %d old)", route, c.name, c.newHits, c.newAnswers, c.oldHits, c.oldAnswers)
}

// comparisons compares the failures, the slow answers and the slow streams.
func (s *series) comparisons() []comparison {
	slowClass := func(old Speeds) int { return min(old.median()+slowClasses, SpeedClasses-2) }
	slow, slowPace := slowClass(s.total.Old.Speeds), slowClass(s.total.Old.Paces)
	failures := s.compare("failures", minFailureShare, func(t *Tally) (int64, int64) { return t.Bad, t.Answers })
	speeds := s.compare("slow answers", minSlowShare, func(t *Tally) (int64, int64) { return t.Speeds.slowerThan(slow), t.Speeds.count() })
	paces := s.compare("slow streams", minSlowShare, func(t *Tally) (int64, int64) { return t.Paces.slowerThan(slowPace), t.Paces.count() })
	paces.isPace = true
	return []comparison{failures, speeds, paces}
}

// compare runs a cumulative sum test over the spans. The latest stretch begins where the
// sum was last zero, so that a fault that begins late is not hidden by good answers before.
func (s *series) compare(name string, minShare float64, count func(*Tally) (hits, answers int64)) comparison {
	c := comparison{name: name}
	c.newHits, c.newAnswers = count(&s.total.New)
	c.oldHits, c.oldAnswers = count(&s.total.Old)
	if c.oldAnswers < minOldAnswers {
		return c
	}
	old := make([]sample, len(s.spans))
	for i := range s.spans {
		old[i].hits, old[i].answers = count(&s.spans[i].old)
	}
	for i := range s.spans {
		hits, answers := count(&s.spans[i].new)
		if answers == 0 {
			continue
		}
		share := oldShare(old, i, sample{c.oldHits, c.oldAnswers}, minShare)
		c.total += logLikelihoodRatio(hits, answers, share, excludedShare)
		c.latest = max(c.latest+logLikelihoodRatio(hits, answers, share, addedShare), 0)
	}
	return c
}

// oldShare returns the share of hits of the old versions around a span, at least the share
// over the whole time, and at least minShare.
func oldShare(spans []sample, i int, total sample, minShare float64) float64 {
	around := sample{}
	for _, x := range spans[max(i-recentSpans, 0):min(i+recentSpans+1, len(spans))] {
		around.hits, around.answers = around.hits+x.hits, around.answers+x.answers
	}
	share := minShare
	for _, x := range []sample{around, total} {
		if x.answers >= minOldAnswers {
			share = max(share, cautiousShare(x.hits, x.answers))
		}
	}
	return min(share, 1-minShare)
}

// cautiousShare estimates a share from few answers, one standard error above the estimate of
// Agresti and Coull: a share that is too small would speak against the new version.
func cautiousShare(hits, answers int64) float64 {
	n := float64(answers + 4)
	p := float64(hits+2) / n
	return p + math.Sqrt(p*(1-p)/n)
}

// logLikelihoodRatio compares a share that is higher by a part of the rest with share.
func logLikelihoodRatio(hits, answers int64, share, added float64) float64 {
	bad := share + added*(1-share)
	return float64(hits)*math.Log(bad/share) + float64(answers-hits)*math.Log((1-bad)/(1-share))
}
