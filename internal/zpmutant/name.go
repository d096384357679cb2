package zpmutant

// Name names a mechanism that can be switched off.
type Name string

// Mechanisms.
const (
	Claim         Name = "claim"          // bookings run without a claim
	NotRun        Name = "not_run"        // every failure is said not to have run
	ColdLimit     Name = "cold_limit"     // a cold endpoint gets its warm limit
	Freshness     Name = "freshness"      // new work is taken however old the proof is
	VersionOrder  Name = "version_order"  // any manifest that arrives is put in force
	Resume        Name = "resume"         // a broken stream begins anew
	Drain         Name = "drain"          // a stop closes connections at once
	Quarantine    Name = "quarantine"     // crashes are not attributed
	FairQueue     Name = "fair_queue"     // first come, first served
	SaltWorkspace Name = "salt_workspace" // block names are the same for all workspaces
	SaltVersion   Name = "salt_version"   // block names are the same for all weight versions
	OutOfService  Name = "out_of_service" // domains and endpoints taken out still get work
	Fencing       Name = "fencing"        // orders carry no fencing number and are not repaired
	RetryBudget   Name = "retry_budget"   // repeats have no budget
	Departure     Name = "departure"      // callers that leave are not noticed
)
