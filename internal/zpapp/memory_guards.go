package zpapp

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmetric"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// memoryGuards bound what a daemon holds for those who connect to it: for callers, and for
// the load balancer and operators, whose ports callers cannot exhaust.
type memoryGuards struct {
	callers *zpnet.Guard
	control *zpnet.Guard
}

const (
	// callerSocketShare is the share of the sockets for callers. The rest is for
	// endpoints, one for each request, the store and other daemons.
	callerSocketShare = 0.5
	// defaultCallerConnections applies if the limit of sockets is unknown.
	defaultCallerConnections = 10_000
	controlConnections       = 64
	controlHeaderBytes       = 4 << 10

	// Names of ports in logs and metrics.
	callerPorts  = "callers"
	controlPorts = "control"
)

// headTooLarge is the response to a head beyond the configuration's limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

func newMemoryGuards(n *zpplatform.Node, log *zplog.Logger, metrics *zpmetric.Metrics) memoryGuards {
	plan := zpmemory.PlanFor(n.Memory)
	connections := defaultCallerConnections
	if n.Sockets > 0 {
		connections = int(float64(n.Sockets) * callerSocketShare)
	}
	return memoryGuards{
		callers: newMemoryGuard(callerPorts, plan.Requests, connections, log, metrics),
		control: newMemoryGuard(controlPorts, plan.Control, controlConnections, log, metrics),
	}
}

func newMemoryGuard(port string, bytes int64, connections int, log *zplog.Logger, metrics *zpmetric.Metrics) *zpnet.Guard {
	return &zpnet.Guard{
		Clock: zpclock.Now, Refusal: zpplatform.RefusalOf(zpmemory.ErrExhausted),
		Budget: &zpmemory.Budget{
			Bytes: bytes, Connections: connections,
			OnRefuse: func(r zpmemory.Refusal) {
				event := zplog.MemoryRefused
				if r.Reason == zpmemory.ReasonConnections {
					event = zplog.ConnectionRefused
				}
				log.Emit(event, zplog.Fields{
					"port": port, "reason": r.Reason, "workspace": r.Workspace, "wanted_bytes": r.Wanted, "held_bytes": r.Held,
					"used_bytes": r.Used, "limit_bytes": bytes, "connections": r.Open, "limit_connections": connections,
				})
				metrics.MemoryRefusals.WithLabelValues(port, string(r.Reason)).Inc()
			},
			OnEvict: func(phase zpmemory.Phase, held int64, stalled time.Duration) {
				log.Emit(zplog.HolderEvicted, zplog.Fields{"port": port, "phase": phase.String(), "held_bytes": held, "stalled_ms": stalled.Milliseconds()})
				metrics.MemoryEvictions.WithLabelValues(port, phase.String()).Inc()
			},
		},
	}
}
