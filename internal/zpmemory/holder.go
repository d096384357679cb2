package zpmemory

import "time"

// Holder holds the reservations of one connection.
type Holder struct {
	budget   *Budget
	evict    func(Phase)
	owner    string
	phase    Phase
	bytes    int64
	progress progress
	evicted  bool
	removed  bool
}

// Reserve takes more bytes. After an error the holder keeps what it had.
func (h *Holder) Reserve(bytes int64, now time.Time) error {
	b := h.budget
	b.mu.Lock()
	if h.removed || h.evicted {
		b.mu.Unlock()
		return ErrExhausted
	}
	reason, ok := b.admit(h, bytes)
	if ok {
		b.take(h, bytes)
		b.mu.Unlock()
		return nil
	}
	victims := b.memoryVictims(bytes, now)
	refusal := b.refusal(h, reason, bytes)
	b.mu.Unlock()
	b.evict(victims)
	b.refuse(refusal)
	return ErrExhausted
}

// TryReserve takes more bytes if they are free, and reports whether it did. Nobody is evicted
// for them.
func (h *Holder) TryReserve(bytes int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.removed || h.evicted {
		return false
	}
	if _, ok := b.admit(h, bytes); !ok {
		return false
	}
	b.take(h, bytes)
	return true
}

// ReserveRequest starts a request. It takes what the request costs beyond its body, the
// copies of its header lines included.
func (h *Holder) ReserveRequest(header map[string][]string, now time.Time) error {
	// An http.Server does not report a request that arrived with the one before.
	h.Enter(PhaseRunning, now)
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return h.Reserve(int64(RequestBytes+lines*LineBytes), now)
}

// Release gives bytes back.
func (h *Holder) Release(bytes int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.removed {
		b.giveBack(h, bytes)
	}
}

// Identify names the workspace whose share the holder uses.
func (h *Holder) Identify(workspace string) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.removed {
		return
	}
	bytes := h.bytes
	b.giveBack(h, bytes)
	h.owner = workspace
	b.take(h, bytes)
}

// Enter starts a phase. With a zero time, its progress is measured from when it is next
// looked at, which saves a reading of the clock.
func (h *Holder) Enter(p Phase, now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.phase, h.progress = p, progress{since: now}
}

// Phase returns the current phase.
func (h *Holder) Phase() Phase {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.phase
}

// Advance records that bytes were received or sent.
func (h *Holder) Advance(bytes int, now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress.add(bytes, now)
}

// Reset ends a request: the holder is idle and keeps the bytes of its connection.
func (h *Holder) Reset(now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.removed {
		return
	}
	b.giveBack(h, h.bytes)
	h.owner, h.phase, h.progress = "", PhaseIdle, progress{since: now}
	b.take(h, ConnectionBytes)
}

// IsEvicted reports whether the holder lost its memory to others.
func (h *Holder) IsEvicted() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.evicted
}

// Close gives all bytes back. It may be called again.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(h)
}
