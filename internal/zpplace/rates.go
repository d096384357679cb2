package zpplace

import "time"

// DefaultRates returns rates for engines that read about fifty prompt tokens in
// a millisecond.
func DefaultRates() Rates {
	return Rates{
		PrefillPerMS:   48,                     // measured by engines of the kind that users run
		ServiceTime:    20 * time.Millisecond,  // usual run on the users' plain services
		DomainPenalty:  10 * time.Millisecond,  // bytes between failure domains are paid
		RegionPenalty:  80 * time.Millisecond,  // way there and back, and paid bytes
		SuspectPenalty: 2 * time.Second,        // more than any usual wait
		ColdPenalty:    time.Second,            // a cold engine is slow for seconds
		OldPenalty:     150 * time.Millisecond, // answers of old weights are worth a fifth less
		RereadPerToken: 30 * time.Microsecond,  // a shared token read again costs more than its time
		PreferredBonus: 150 * time.Millisecond, // of the same order as reading a long prompt again
		RunningPenalty: 2 * time.Millisecond,   // each running request slows the steps of all
		MemoryShare:    0.95,                   // the rest is for answers longer than told
		SlotFactor:     2,                      // one request runs and one waits for each slot
	}
}
