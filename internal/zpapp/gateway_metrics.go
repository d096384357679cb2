package zpapp

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

// stateCollector exports the daemon's view of the fleet. It computes the values at
// scrape time, so that they cost nothing on the request path.
type stateCollector struct{ daemon *GatewayDaemon }

var (
	endpointsDesc    = describe("endpoints", "Endpoints by pool and state as this daemon sees them; one may have several states.", "pool", "state")
	storeAgeDesc     = describe("store_age_seconds", "Age of the configuration: time since it was last read or confirmed, by the store or a watcher.")
	storeEraDesc     = describe("store_era", "Era of the store: how often it came back from an older copy, as far as the store tells.")
	dutyDesc         = describe("duty_held", "1 while this daemon is the one that loads new weights into engines.")
	peersDesc        = describe("answering_daemons", "Daemons that answered recently, including this one.")
	registeredDesc   = describe("registered_daemons", "Daemons registered in the store, including this one, by the version of the messages between daemons that they speak; 0: their build does not tell.", "peer_version")
	cutOffDesc       = describe("cut_off_from_endpoints", "1 while this daemon connects to no endpoint by itself although others do.")
	blockedDesc      = describe("blocked_endpoints", "Addresses of endpoints that this daemon reaches only through other daemons.")
	detoursDesc      = describe("open_detours_for_others", "Connections to endpoints that are open for other daemons.")
	waitingDesc      = describe("waiting_requests", "Requests queued for an endpoint.")
	heldDesc         = describe("memory_held_bytes", "Bytes reserved for connections and their requests.", "port")
	connsDesc        = describe("memory_connections", "Open connections that are charged to the memory for requests.", "port")
	slowDesc         = describe("slow_endpoints", "Endpoints believed to be slow by what they have said in the last seconds.")
	partsDesc        = describe("known_parts", "Prompt parts in the directory that maps them to engines and KV cache stores.")
	upgradeSentDesc  = describe("upgrade_requests", "Requests that this daemon has sent to a pool since the order of its running roll-out, by side: all, new.", "pool", "side")
	upgradeStateDesc = describe("upgrade_state", "1 for the state of each pool's latest roll-out as this daemon knows it.", "pool", "version", "state")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("zinniapaddle_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (s *stateCollector) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(s, out) }

// Collect implements prometheus.Collector.
func (s *stateCollector) Collect(out chan<- prometheus.Metric) {
	d := s.daemon
	now := zpclock.Now()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	if c := d.catalog.Load(); c != nil {
		for _, p := range c.Pools {
			for state, n := range s.states(p.Name) {
				gauge(endpointsDesc, float64(n), p.Name, state)
			}
		}
	}
	if at := d.follower.ReadAt(); !at.IsZero() {
		gauge(storeAgeDesc, now.Sub(at).Seconds())
	}
	if era, _ := d.eras.Current(); d.eras.IsKnown() {
		gauge(storeEraDesc, float64(era))
	}
	reach, isCut := d.detour.Tracker.Reach(now), 0.0
	if reach.IsCut {
		isCut = 1
	}
	gauge(cutOffDesc, isCut)
	gauge(blockedDesc, float64(len(reach.Blocked)))
	gauge(detoursDesc, float64(d.connector.OpenConnections()))
	held := 0.0
	if _, _, ok := d.rollout.Keeper.Holds(); ok {
		held = 1
	}
	gauge(dutyDesc, held)
	gauge(peersDesc, float64(len(d.live.list())))
	for version, n := range s.registered() {
		gauge(registeredDesc, float64(n), strconv.Itoa(version))
	}
	gauge(waitingDesc, float64(d.gateway.QueuedRequests()))
	for _, r := range d.upgrades.tracker.Reports(now) {
		gauge(upgradeSentDesc, float64(r.Sent), r.Pool, "all")
		gauge(upgradeSentDesc, float64(r.SentNew), r.Pool, "new")
	}
	for _, c := range d.upgrades.tracker.States() {
		gauge(upgradeStateDesc, 1, c.Pool, c.To, c.State.String())
	}
	gauge(slowDesc, float64(d.gateway.Speed.Slow(now)))
	gauge(partsDesc, float64(d.gateway.Parts.Len()))
	for port, guard := range map[string]*zpnet.Guard{callerPorts: d.memory.callers, controlPorts: d.memory.control} {
		bytes, connections := guard.Budget.Used()
		gauge(heldDesc, float64(bytes), port)
		gauge(connsDesc, float64(connections), port)
	}
}

// registered counts the registered daemons by the version of the messages that they speak.
func (s *stateCollector) registered() map[int]int {
	out := map[int]int{0: 0, s.daemon.self.PeerVersion: 1}
	for _, m := range s.daemon.members.Others() {
		out[m.PeerVersion]++
	}
	return out
}

// states counts a pool's endpoints by state:
//   - listed: all endpoints in the registry
//   - draining: leaving
//   - cold: in a cold start
//   - avoided: unhealthy, such as unreachable or failing
//   - shut: backed off from, as it has just refused a request or wants none for a while
//   - changing: loading weights
func (s *stateCollector) states(pool string) map[string]int {
	d := s.daemon
	now := zpclock.Now()
	out := map[string]int{"listed": 0, "draining": 0, "cold": 0, "avoided": 0, "shut": 0, "changing": 0}
	for _, e := range d.registry.AllInPool(pool, now) {
		out["listed"]++
		count := func(state string, is bool) {
			if is {
				out[state]++
			}
		}
		count("draining", e.State == zpregistry.StateDraining || d.registry.IsLeaving(e.ID))
		count("cold", now.Before(e.ColdUntil))
		count("avoided", d.gateway.Health.IsAvoided(e.ID, now))
		count("shut", d.gateway.Health.IsBackingOff(e.ID, now))
		count("changing", d.weights.Changing(e.ID, now))
	}
	return out
}
