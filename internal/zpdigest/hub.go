// Package zpdigest tells each daemon of a large fleet the load that all others put on
// the endpoints. Each daemon reports its own load to a relay of its failure domain. The
// reply is a digest: the load of all other daemons. Relays exchange the sums of their
// failure domains. The calls of a daemon thereby do not grow with the fleet.
package zpdigest

import (
	"cmp"
	"hash/fnv"
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// Report is the load that one daemon puts on endpoints.
	Report struct {
		Name       string // of the daemon; a restarted daemon replaces its earlier report
		Instance   string
		Uses       map[string]zpusage.Usage // by endpoint
		Speeds     []zpspeed.Report         // that the daemon has heard from endpoints
		KnownAlive uint64                   // checksum of the live daemons that the sender knows; see Digest
	}

	// Digest is the load of all daemons but one.
	Digest struct {
		Uses   map[string]zpusage.Usage // by endpoint
		Speeds []zpspeed.Report         // that the others have heard
		Alive  []uint32                 // sorted hashes of the instances that are alive; see InstanceHash
		// AliveUnchanged says that Alive is left out, because the receiver knows it.
		AliveUnchanged bool
		// Incomplete says that daemons began to report to this relay just now, so Uses lacks
		// those that have not yet.
		Incomplete bool
	}

	// Sum is the load of the daemons that report to one relay.
	Sum struct {
		Relay   string                   // instance
		Domain  string                   // failure domain
		Members []uint32                 // daemons whose load it contains, as hashes of their instances
		Uses    map[string]zpusage.Usage // by endpoint
		Speeds  []zpspeed.Report
	}

	// Hub holds what a relay knows: the reports of its failure domain and the sums of
	// other relays. Each entry lapses by its age, so a daemon that is gone, or a failure
	// domain that is cut off, does not count for long. It is safe for concurrent use.
	Hub struct {
		Self   string // instance
		Domain string

		mu          sync.Mutex
		reportingAt time.Time            // when the first of the present daemons began to report
		reports     map[string]report    // by name of the daemon
		sums        map[string]sum       // by instance of the relay
		heardAt     map[uint32]time.Time // when each daemon was last in a report or sum
	}

	report struct {
		at   time.Time
		hash uint32 // of the instance
		uses map[string]zpusage.Usage

		speeds []zpspeed.Report
	}

	sum struct {
		Sum
		at time.Time
	}
)

const (
	// maxReportAge and maxSumAge are the ages at which a load no longer counts. They
	// leave room for several lost calls.
	maxReportAge = 1200 * time.Millisecond
	maxSumAge    = 1200 * time.Millisecond
	// aliveTimeout is the time after the last report at which a daemon no longer counts as
	// alive. It is longer than maxReportAge, because what depends on it moves between
	// daemons, which costs more than a missing load.
	aliveTimeout = 3 * time.Second
	// fillTime is the time in which a new relay hears of all daemons of its failure domain
	// and of all other relays.
	fillTime = reportInterval + sumInterval + 100*time.Millisecond
)

// NewHub returns a hub without reports.
func NewHub(self, domain string) *Hub {
	return &Hub{Self: self, Domain: domain, reports: map[string]report{}, sums: map[string]sum{}, heardAt: map[uint32]time.Time{}}
}

// InstanceHash returns the hash that stands for a daemon in a digest.
func InstanceHash(instance string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance)) // never fails
	return h.Sum32()
}

// AliveChecksum returns the checksum of a list of live daemons.
func AliveChecksum(alive []uint32) uint64 { return checksum(slices.Values(alive)) }

// checksum does not depend on the order of the hashes.
func checksum(hashes iter.Seq[uint32]) uint64 {
	sum := uint64(0)
	for h := range hashes {
		x := uint64(h) * 0x9e3779b97f4a7c15 // spreads the hash over all bits
		sum += x ^ x>>29
	}
	return sum
}

// AddReport replaces the report of a daemon.
func (h *Hub) AddReport(r Report, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeLapsed(now)
	if len(h.reports) == 0 {
		h.reportingAt = now
	}
	hash := InstanceHash(r.Instance)
	h.reports[r.Name] = report{at: now, hash: hash, uses: r.Uses, speeds: r.Speeds}
	h.heardAt[hash] = now
}

// RemoveReport removes the report of a daemon that reports to another relay.
func (h *Hub) RemoveReport(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reports, name)
}

// AddSum replaces the sum of another relay.
func (h *Hub) AddSum(s Sum, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Relay == h.Self {
		return
	}
	h.sums[s.Relay] = sum{Sum: s, at: now}
	for _, m := range s.Members {
		h.heardAt[m] = now
	}
}

// HasReports reports whether any daemon reports to this one.
func (h *Hub) HasReports(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeLapsed(now)
	return len(h.reports) > 0
}

// Sum returns the load of the daemons that report to this one.
func (h *Hub) Sum(now time.Time) Sum {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeLapsed(now)
	out := Sum{Relay: h.Self, Domain: h.Domain, Uses: map[string]zpusage.Usage{}}
	for _, r := range h.reports {
		out.Members = append(out.Members, r.hash)
		addUses(out.Uses, r.uses)
		out.Speeds = zpspeed.Newest(out.Speeds, r.speeds, now.Sub(r.at))
	}
	slices.Sort(out.Members)
	return out
}

// Digest returns the load of all daemons except the one named receiver, and the daemons
// that are alive. knownAlive is the checksum of those that the receiver knows.
func (h *Hub) Digest(receiver string, knownAlive uint64, now time.Time) Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeLapsed(now)
	d := Digest{Uses: map[string]zpusage.Usage{}, Incomplete: now.Sub(h.reportingAt) < fillTime}
	counted := map[uint32]bool{}
	for name, r := range h.reports {
		counted[r.hash] = true
		if name != receiver {
			addUses(d.Uses, r.uses)
			d.Speeds = zpspeed.Newest(d.Speeds, r.speeds, now.Sub(r.at))
		}
	}
	for _, s := range h.disjointSums(counted) {
		addUses(d.Uses, s.Uses)
		d.Speeds = zpspeed.Newest(d.Speeds, s.Speeds, now.Sub(s.at))
	}
	if d.AliveUnchanged = checksum(maps.Keys(h.heardAt)) == knownAlive; !d.AliveUnchanged {
		d.Alive = slices.Sorted(maps.Keys(h.heardAt))
	}
	return d
}

// disjointSums returns sums that contain no daemon twice and none of those counted
// already; h.mu must be held. A daemon that has changed its relay is in two sums until
// its old report lapses. The larger sum then counts, so that the load of a whole failure
// domain is never missing.
func (h *Hub) disjointSums(counted map[uint32]bool) []sum {
	ordered := slices.SortedFunc(maps.Values(h.sums), func(a, b sum) int {
		return cmp.Or(cmp.Compare(len(b.Members), len(a.Members)), b.at.Compare(a.at), cmp.Compare(a.Relay, b.Relay))
	})
	var out []sum
	for _, s := range ordered {
		if slices.ContainsFunc(s.Members, func(m uint32) bool { return counted[m] }) {
			continue
		}
		for _, m := range s.Members {
			counted[m] = true
		}
		out = append(out, s)
	}
	return out
}

// removeLapsed removes what is too old at now; h.mu must be held.
func (h *Hub) removeLapsed(now time.Time) {
	maps.DeleteFunc(h.reports, func(_ string, r report) bool { return now.Sub(r.at) >= maxReportAge })
	maps.DeleteFunc(h.sums, func(_ string, s sum) bool { return now.Sub(s.at) >= maxSumAge })
	maps.DeleteFunc(h.heardAt, func(_ uint32, at time.Time) bool { return now.Sub(at) >= aliveTimeout })
}

func addUses(total, uses map[string]zpusage.Usage) {
	for endpoint, u := range uses {
		total[endpoint] = total[endpoint].Plus(u)
	}
}
