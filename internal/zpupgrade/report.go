package zpupgrade

import "time"

type (
	// Report is what one daemon instance knows of its part in an order. All counts are
	// cumulative since the daemon learned of the order.
	Report struct {
		Instance   string
		Pool       string
		Order      string        // identifies the order
		Age        time.Duration // since the order, as far as the daemon knows
		Sent       int64         // requests sent to the pool
		SentNew    int64         // of them to the new version
		OldRunning int64         // requests that still run on old versions
		Switched   bool          // no more requests are sent to old versions
		Stopped    bool          // no more requests are sent to the new version
		Routes     []RouteTally
	}

	// Decision is what a judge answers to a report.
	Decision struct {
		Pool   string
		Order  string
		Age    time.Duration
		State  State
		Reason string
		Share  float64 // of the requests to the pool that the new version may get
		Focus  string  // route that the verdict waits for; empty: none
		// SwitchIn is the time until all requests go to the new version, if HasSwitch.
		SwitchIn  time.Duration
		HasSwitch bool
		Leads     map[string]time.Duration // how much sooner requests on a route do, if at all
	}
)
