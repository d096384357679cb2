// Package zpmemory accounts for the memory that a daemon holds for others: connections,
// request heads and bodies, and responses that were not taken yet. Holders reserve bytes
// before they read. While memory is short, those that make no progress lose theirs.
package zpmemory

// Plan divides the memory of a VM. All figures are in bytes.
type Plan struct {
	GoLimit   int64 // soft memory limit of the Go runtime
	Requests  int64 // connections, heads and bodies of callers' requests
	Responses int64 // buffered responses of endpoints
	Control   int64 // connections and heads at the ports for readiness and metrics
}

const (
	// goShare is the share of the VM's memory set as the soft memory limit of the Go
	// runtime, near which it collects garbage regardless of the CPU cost. The rest is for
	// the program, the buffers of sockets, and what the runtime takes beyond its limit.
	goShare       = 0.6
	requestShare  = 0.3
	responseShare = 0.1
	controlShare  = 0.01

	minControlBytes = 1 << 20

	// Parts of the plan of a daemon that does not know the memory of its VM.
	defaultRequestBytes  = 256 << 20
	defaultResponseBytes = 64 << 20
	defaultControlBytes  = 4 << 20
)

// PlanFor divides the memory of a VM; zero means that it is unknown, and GoLimit is then
// zero, too.
func PlanFor(vm int64) Plan {
	if vm <= 0 {
		return Plan{Requests: defaultRequestBytes, Responses: defaultResponseBytes, Control: defaultControlBytes}
	}
	share := func(x float64) int64 { return int64(float64(vm) * x) }
	return Plan{GoLimit: share(goShare), Requests: share(requestShare), Responses: share(responseShare), Control: max(share(controlShare), minControlBytes)}
}
