package zpmemory

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Budget bounds the bytes and the connections of all holders together. Set the exported
	// fields before use. It is safe for concurrent use.
	Budget struct {
		Bytes       int64 // limit of all reservations
		Connections int   // limit of open holders
		// OnRefuse is called after a reservation or a connection was refused, and OnEvict
		// after a holder was evicted. They may be nil.
		OnRefuse func(r Refusal)
		OnEvict  func(phase Phase, bytes int64, stalled time.Duration)

		mu        sync.Mutex
		used      int64
		owners    map[string]int64 // bytes by workspace; "": callers that are not identified
		holders   map[*Holder]struct{}
		scannedAt time.Time
	}

	// Refusal describes a reservation that was refused.
	Refusal struct {
		Reason    Reason
		Workspace string // empty: not identified
		Wanted    int64  // bytes
		Held      int64  // bytes of the holder
		Used      int64  // bytes of all holders
		Open      int    // holders
	}

	// Reason is why a reservation was refused.
	Reason string

	// Phase is what a holder's connection is doing.
	Phase int
)

// Phases of a holder. A running request is never evicted.
const (
	PhaseIdle Phase = iota
	PhaseHead
	PhaseBody
	PhaseRunning
	PhaseWriting
)

// Reasons for refusals.
const (
	ReasonMemory      Reason = "memory"      // all bytes are reserved
	ReasonShare       Reason = "share"       // the bytes left are kept for others
	ReasonConnections Reason = "connections" // all connections are in use
)

const (
	// ConnectionBytes is reserved for each connection: its buffers and goroutine.
	ConnectionBytes = 12 << 10
	// RequestBytes is reserved for each request: its connection to the endpoint and the
	// first buffer of its response.
	RequestBytes = 16 << 10
	// LineBytes is reserved for each header line, as it is parsed and each time it is copied.
	LineBytes = 256

	// smallBytes is what a holder may have and still use the bytes kept for small ones.
	smallBytes = 64 << 10
	// smallDivisor keeps 1/smallDivisor of the budget for small holders.
	smallDivisor = 8
	// ownerDivisor limits a workspace, and all callers that are not identified, to
	// 1/ownerDivisor of the budget once busyShare of it is in use. A small holder is exempt.
	ownerDivisor = 2
	busyShare    = 0.75

	retryAfter = 500 * time.Millisecond // progress or eviction is expected to free memory within this time
)

// ErrExhausted is returned if a reservation is refused. The request has not run.
var ErrExhausted = zperror.New(zperror.KindUnavailable, "memory_exhausted",
	"the memory of this VM for requests is in use", "send the request again after the time in Retry-After").WithRetryAfter(retryAfter)

// Open adds a holder for a connection. evict is called at most once, without locks held,
// and must end the connection or, in PhaseBody, the read of the body.
func (b *Budget) Open(evict func(phase Phase), now time.Time) (*Holder, error) {
	b.mu.Lock()
	h := &Holder{budget: b, evict: evict, progress: progress{since: now}}
	if b.holders == nil {
		b.holders, b.owners = map[*Holder]struct{}{}, map[string]int64{}
	}
	var victims []victim
	reason := ReasonConnections
	ok := len(b.holders) < b.Connections
	if !ok {
		victims = b.connectionVictims(now)
		for _, v := range victims {
			b.remove(v.holder)
		}
		ok = len(b.holders) < b.Connections
	}
	if ok {
		reason, ok = b.admit(h, ConnectionBytes)
	}
	if !ok && reason != ReasonConnections {
		victims = append(victims, b.memoryVictims(ConnectionBytes, now)...)
	}
	if ok {
		b.holders[h] = struct{}{}
		b.take(h, ConnectionBytes)
	}
	refusal := b.refusal(h, reason, ConnectionBytes)
	b.mu.Unlock()
	b.evict(victims)
	if !ok {
		b.refuse(refusal)
		return nil, ErrExhausted
	}
	return h, nil
}

// Used returns the reserved bytes and the number of holders.
func (b *Budget) Used() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.holders)
}

// admit decides whether a holder may take more bytes.
func (b *Budget) admit(h *Holder, bytes int64) (Reason, bool) {
	after := b.used + bytes
	isSmall := h.bytes+bytes <= smallBytes
	switch {
	case after > b.Bytes:
		return ReasonMemory, false
	case isSmall:
		return "", true
	case after > b.Bytes-b.Bytes/smallDivisor:
		return ReasonShare, false
	case float64(after) > float64(b.Bytes)*busyShare && b.owners[h.owner]+bytes > b.Bytes/ownerDivisor:
		return ReasonShare, false
	default:
		return "", true
	}
}

func (b *Budget) take(h *Holder, bytes int64) {
	h.bytes += bytes
	b.used += bytes
	b.owners[h.owner] += bytes
}

func (b *Budget) giveBack(h *Holder, bytes int64) {
	h.bytes -= bytes
	b.used -= bytes
	if b.owners[h.owner] -= bytes; b.owners[h.owner] == 0 {
		delete(b.owners, h.owner)
	}
}

// remove gives back all bytes of a holder. A removed holder reserves nothing any more.
func (b *Budget) remove(h *Holder) {
	if h.removed {
		return
	}
	b.giveBack(h, h.bytes)
	h.removed = true
	delete(b.holders, h)
}

func (b *Budget) refusal(h *Holder, reason Reason, wanted int64) Refusal {
	return Refusal{Reason: reason, Workspace: h.owner, Wanted: wanted, Held: h.bytes, Used: b.used, Open: len(b.holders)}
}

func (b *Budget) refuse(r Refusal) {
	if b.OnRefuse != nil {
		b.OnRefuse(r)
	}
}

func (b *Budget) evict(victims []victim) {
	for _, v := range victims {
		v.holder.evict(v.phase)
		if b.OnEvict != nil {
			b.OnEvict(v.phase, v.bytes, v.stalled)
		}
	}
}

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"idle", "head", "body", "running", "writing"}[p]
}
