package zpupgrade

import (
	"math"
	"slices"
	"time"
)

type (
	// Tally counts the answers of one side, old or new, on one route.
	Tally struct {
		Answers int64
		Bad     int64
		Time    time.Duration // from the send to the end, of all answers together
		Speeds  Speeds        // by time to the first byte, relative to the expected time
		Paces   Speeds        // of streams, by mean time between events, relative to expectedPace
	}

	// Speeds counts answers by speed class. A higher class is slower.
	Speeds [SpeedClasses]int64

	// RouteTally counts the answers on one route.
	RouteTally struct {
		Route    string
		Old, New Tally
	}

	// evidence collects the reports of daemons. Reports are cumulative: a later one of the
	// same daemon instance replaces the earlier one, and only the difference is added.
	evidence struct {
		reports    map[string]Report // by instance
		reportedAt map[string]time.Time
		routes     map[string]*series
		judged     *Verdict // of all answers so far; nil: not computed
	}

	// series are the answers on one route by the time at which they became known.
	series struct {
		total RouteTally
		spans []span
	}

	span struct {
		startsAt time.Time
		old, new Tally
	}
)

const (
	// SpeedClasses is the number of speed classes; each is half an octave wide.
	SpeedClasses = 26
	// middleSpeed is the class of answers that took as long as expected.
	middleSpeed      = 15
	speedsPerOctave  = 2
	spanLength       = 500 * time.Millisecond
	maxSpans         = 240
	maxRoutesCounted = 64
)

// speedClass returns the class of an answer that took ratio times the expected time.
func speedClass(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	return min(max(int(math.Round(speedsPerOctave*math.Log2(ratio)))+middleSpeed, 0), SpeedClasses-1)
}

func newEvidence() *evidence {
	return &evidence{reports: map[string]Report{}, reportedAt: map[string]time.Time{}, routes: map[string]*series{}}
}

// merge replaces the report of a daemon. One that arrives late, after a newer one, is ignored.
func (e *evidence) merge(r Report, now time.Time) {
	last := e.reports[r.Instance]
	if r.Age < last.Age {
		return
	}
	e.reports[r.Instance], e.reportedAt[r.Instance] = r, now
	for _, x := range r.Routes {
		s, ok := e.routes[x.Route]
		if !ok {
			if len(e.routes) >= maxRoutesCounted {
				continue
			}
			s = &series{total: RouteTally{Route: x.Route}}
			e.routes[x.Route] = s
		}
		before := RouteTally{}
		if i := slices.IndexFunc(last.Routes, func(y RouteTally) bool { return y.Route == x.Route }); i >= 0 {
			before = last.Routes[i]
		}
		if s.add(x.Old.minus(&before.Old), x.New.minus(&before.New), now) {
			e.judged = nil
		}
	}
}

// newAnswers returns the number of answers of the new version.
func (e *evidence) newAnswers() int64 {
	sum := int64(0)
	for _, s := range e.routes {
		sum += s.total.New.Answers
	}
	return sum
}

// sums returns the requests sent to the pool and to its new version.
func (e *evidence) sums() (sent, sentNew int64) {
	for _, r := range e.reports {
		sent, sentNew = sent+r.Sent, sentNew+r.SentNew
	}
	return sent, sentNew
}

func (s *series) answers() int64 { return s.total.Old.Answers + s.total.New.Answers }

// add adds answers and reports whether there were any.
func (s *series) add(before, after Tally, now time.Time) bool {
	if before.Answers == 0 && after.Answers == 0 {
		return false
	}
	if n := len(s.spans); n == 0 || now.Sub(s.spans[n-1].startsAt) >= spanLength {
		s.spans = append(s.spans, span{startsAt: now})
		s.spans = s.spans[max(len(s.spans)-maxSpans, 0):]
	}
	last := &s.spans[len(s.spans)-1]
	last.old.add(&before)
	last.new.add(&after)
	s.total.Old.add(&before)
	s.total.New.add(&after)
	return true
}

func (t *Tally) add(x *Tally) {
	t.Answers += x.Answers
	t.Bad += x.Bad
	t.Time += x.Time
	for i := range t.Speeds {
		t.Speeds[i] += x.Speeds[i]
		t.Paces[i] += x.Paces[i]
	}
}

// minus returns the answers that are in t but not in x. Counts never decrease, so a
// negative difference comes from a damaged report and counts as none.
func (t *Tally) minus(x *Tally) Tally {
	if t.Answers <= x.Answers {
		return Tally{}
	}
	out := Tally{Answers: max(t.Answers-x.Answers, 0), Bad: max(t.Bad-x.Bad, 0), Time: max(t.Time-x.Time, 0)}
	for i := range t.Speeds {
		out.Speeds[i] = max(t.Speeds[i]-x.Speeds[i], 0)
		out.Paces[i] = max(t.Paces[i]-x.Paces[i], 0)
	}
	return out
}

// meanTime returns the mean time from the send to the end.
func (t Tally) meanTime() time.Duration {
	if t.Answers == 0 {
		return 0
	}
	return t.Time / time.Duration(t.Answers)
}

// count returns the number of answers.
func (s *Speeds) count() int64 { return s.slowerThan(-1) }

// slowerThan returns the number of answers in classes above one.
func (s *Speeds) slowerThan(class int) int64 {
	sum := int64(0)
	for i := max(class+1, 0); i < SpeedClasses; i++ {
		sum += s[i]
	}
	return sum
}

// median returns the class of the median answer.
func (s *Speeds) median() int {
	half, sum := s.count()/2, int64(0)
	for i, n := range s {
		if sum += n; sum > half {
			return i
		}
	}
	return middleSpeed
}
