package zpmemory

import (
	"cmp"
	"slices"
	"time"
)

type (
	// progress measures the bytes that a connection moves in windows of time, so that a
	// byte now and then does not count as progress.
	progress struct {
		since        time.Time // start of the current window; zero: starts when it is next looked at
		bytes        int64     // in the current window
		stalledSince time.Time // start of the first window below the floor; zero: none
	}

	// victim is a holder that is evicted, as it was when it was chosen.
	victim struct {
		holder  *Holder
		phase   Phase
		bytes   int64
		stalled time.Duration
	}
)

const (
	progressWindow = time.Second
	// minRate is the rate in bytes per second below which a connection makes no progress.
	minRate = 4 << 10
	// scanInterval is the minimum interval between two searches for holders to evict for
	// their memory.
	scanInterval = 20 * time.Millisecond
)

func (p *progress) add(bytes int, now time.Time) {
	if p.since.IsZero() {
		p.since = now
	}
	if elapsed := now.Sub(p.since); elapsed >= progressWindow {
		if p.isBelowFloor(elapsed) {
			if p.stalledSince.IsZero() {
				p.stalledSince = p.since
			}
		} else {
			p.stalledSince = time.Time{}
		}
		p.since, p.bytes = now, 0
	}
	p.bytes += int64(bytes)
}

func (p *progress) isBelowFloor(elapsed time.Duration) bool {
	return float64(p.bytes) < minRate*elapsed.Seconds()
}

// stalled returns how long there has been no progress.
func (p *progress) stalled(now time.Time) time.Duration {
	if p.since.IsZero() {
		p.since = now
	}
	elapsed := now.Sub(p.since)
	switch {
	case !p.stalledSince.IsZero():
		return now.Sub(p.stalledSince)
	case elapsed >= 2*progressWindow: // no byte has arrived since the window ended
		return elapsed
	case elapsed >= progressWindow && p.isBelowFloor(elapsed):
		return elapsed
	default:
		return 0
	}
}

// stalledHolders returns the holders that make no progress, those that have made none for
// longest first.
func (b *Budget) stalledHolders(now time.Time) []victim {
	var out []victim
	for h := range b.holders {
		if h.evicted || h.phase == PhaseRunning {
			continue
		}
		if d := h.progress.stalled(now); d > 0 {
			out = append(out, victim{holder: h, phase: h.phase, bytes: h.bytes, stalled: d})
		}
	}
	slices.SortFunc(out, func(x, y victim) int { return cmp.Compare(y.stalled, x.stalled) })
	return out
}

// memoryVictims chooses the holders to evict for a reservation. Idle connections hold
// little and go last.
func (b *Budget) memoryVictims(bytes int64, now time.Time) []victim {
	if now.Sub(b.scannedAt) < scanInterval {
		return nil
	}
	b.scannedAt = now
	list := b.stalledHolders(now)
	slices.SortStableFunc(list, func(x, y victim) int { return cmp.Compare(idleRank(x), idleRank(y)) })
	var freed int64
	for i, v := range list {
		if freed >= bytes {
			return list[:i]
		}
		v.holder.evicted = true
		freed += v.bytes
	}
	return list
}

// EvictWriters ends the holders whose callers do not read their responses, and reports whether
// there were any.
func (b *Budget) EvictWriters(now time.Time) bool {
	b.mu.Lock()
	var victims []victim
	for _, v := range b.stalledHolders(now) {
		if v.phase == PhaseWriting {
			v.holder.evicted = true
			victims = append(victims, v)
		}
	}
	b.mu.Unlock()
	b.evict(victims)
	return len(victims) > 0
}

func idleRank(v victim) int {
	if v.phase == PhaseIdle {
		return 1
	}
	return 0
}

// connectionVictims chooses one holder to evict for a new connection: the idle one that
// has been idle for longest, or else the one that has made no progress for longest.
func (b *Budget) connectionVictims(now time.Time) []victim {
	var oldest *Holder
	for h := range b.holders {
		if h.phase == PhaseIdle && !h.evicted && (oldest == nil || h.progress.since.Before(oldest.progress.since)) {
			oldest = h
		}
	}
	if oldest != nil {
		oldest.evicted = true
		return []victim{{holder: oldest, phase: PhaseIdle, bytes: oldest.bytes, stalled: now.Sub(oldest.progress.since)}}
	}
	list := b.stalledHolders(now)
	if len(list) == 0 {
		return nil
	}
	list[0].holder.evicted = true
	return list[:1]
}
