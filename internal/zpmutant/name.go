package zpmutant

// Name identifies a mechanism that can be disabled.
type Name string

// The comment on each mechanism says what happens when it is disabled.
const (
	Claim         Name = "claim"          // service requests run without a claim
	NotRun        Name = "not_run"        // every failure is reported as not run
	ColdLimit     Name = "cold_limit"     // a cold endpoint gets its warm limit
	Freshness     Name = "freshness"      // new requests are accepted however stale the cached configuration is
	VersionOrder  Name = "version_order"  // any manifest that arrives is applied, also an older one
	Resume        Name = "resume"         // an interrupted stream restarts from the beginning
	EventOrder    Name = "event_order"    // events are forwarded whatever the caller has of the stream
	Drain         Name = "drain"          // shutdown closes connections immediately
	Quarantine    Name = "quarantine"     // crashes are not attributed to requests
	FairQueue     Name = "fair_queue"     // requests are served first come, first served
	SaltWorkspace Name = "salt_workspace" // block names do not depend on the workspace
	SaltVersion   Name = "salt_version"   // block names do not depend on the weight version
	OutOfService  Name = "out_of_service" // domains and endpoints taken out still receive requests
	Fencing       Name = "fencing"        // orders carry no fencing number and are not repaired
	RetryBudget   Name = "retry_budget"   // retries are not limited by a budget
	Departure     Name = "departure"      // client disconnects are not detected
	Leaving       Name = "leaving"        // that an endpoint says that it leaves is ignored
	Quiet         Name = "quiet"          // that an endpoint says for how long it wants no requests is ignored
	Silence       Name = "silence"        // daemons that do not answer count as ones that do not know a stream
	StoreWord     Name = "store_word"     // a pool has one version without a read of the store
	Contact       Name = "contact"        // daemons that were not heard of lately may be left out of those that answer
	Settled       Name = "settled"        // the word of a daemon that has just started counts
	Rest          Name = "rest"           // keepers alone are asked for a stream
	PastSeen      Name = "past_seen"      // a daemon that has just started or missed changes counts as one that has seen all versions
	Gap           Name = "gap"            // changes of endpoints that a daemon has missed count as seen
	Detour        Name = "detour"         // requests to endpoints that only other daemons reach take no detour
	EraOrder      Name = "era_order"      // fencing tokens do not contain the era of the store
	EraWatch      Name = "era_watch"      // watches go on although the store came back from an older copy
	EraLease      Name = "era_lease"      // leases of an earlier era of the store are held until they expire
	EraRecord     Name = "era_record"     // records that an older copy of the store lacks are not written again
)
