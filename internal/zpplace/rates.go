package zpplace

import "time"

// DefaultRates returns the rates for engines that prefill about 50 prompt tokens
// per millisecond.
func DefaultRates() Rates {
	return Rates{
		PrefillPerMS:          48,                     // prefill speed of the engines that users run
		ServiceTime:           20 * time.Millisecond,  // typical run time on the users' services
		DomainPenalty:         10 * time.Millisecond,  // traffic between failure domains is billed
		RegionPenalty:         80 * time.Millisecond,  // round trip, and traffic between regions is billed
		SuspectPenalty:        2 * time.Second,        // longer than any usual wait
		ColdPenalty:           time.Second,            // a cold engine stays slow for several seconds
		OldWeightsPenalty:     150 * time.Millisecond, // an answer of older weights is worth a fifth less
		RecomputePerToken:     30 * time.Microsecond,  // duplicate prefill costs more than its own time
		PreferredBonus:        150 * time.Millisecond, // same order as prefilling a long prompt again
		PreferenceBonus:       40 * time.Millisecond,  // what other daemons have just sent to an engine takes about as long
		RunningRequestPenalty: 2 * time.Millisecond,   // each running request slows the decode steps of all
		MaxMemoryShare:        0.95,                   // the rest is reserved for answers longer than announced
		RequestsPerSlot:       2,                      // per slot, one request runs and one waits
	}
}
