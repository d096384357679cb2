package zpplace

import "time"

// Term is one summand of the cost of a candidate.
type Term struct {
	Name string
	Cost time.Duration
}

// Terms returns the summands of Cost that are not zero, for an operator.
func Terms(a Request, c Candidate, r Rates) []Term {
	var out []Term
	rest := Cost(a, c, r)
	add := func(name string, d time.Duration) {
		rest -= d
		if d != 0 {
			out = append(out, Term{name, d})
		}
	}
	without := func(change func(c *Candidate)) time.Duration {
		other := c
		change(&other)
		return Cost(a, c, r) - Cost(a, other, r)
	}
	add("distance", r.distancePenalty(a, c))
	add("suspect", without(func(c *Candidate) { c.Suspect = false }))
	add("cold", without(func(c *Candidate) { c.Cold = false }))
	add("old_weights", without(func(c *Candidate) { c.OldWeights = false }))
	add("slow", without(func(c *Candidate) { c.Slowness = 0 }))
	c.Slowness = 0 // the terms below are those of a usual endpoint
	add("preference", without(func(c *Candidate) { c.Preference = 0 }))
	add("preferred", without(func(c *Candidate) { c.Preferred = false }))
	add("running", without(func(c *Candidate) { c.Use.Requests = 0 }))
	add("queued_prompts", without(func(c *Candidate) { c.Use.PrefillTokens = 0 }))
	add("own_prompt", rest)
	return out
}
