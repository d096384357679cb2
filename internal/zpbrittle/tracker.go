// Package zpbrittle decides what may be sent to endpoints that fall over when they have to
// refuse too many requests in a second. While the endpoints of a pool say so, requests wait
// at daemons until an endpoint has room.
package zpbrittle

import (
	"strconv"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

type (
	// Tracker holds which pools are brittle, and what this daemon has risked at their endpoints.
	// It is safe for concurrent use.
	Tracker struct {
		Self string // name of this daemon

		mu        sync.Mutex
		pools     map[string]pool
		refusals  map[string][]time.Time // of the last window, by endpoint
		risks     map[string][]time.Time // sends without a share of the slots in the last window, by endpoint
		expiredAt time.Time
	}

	// Send is a request that could be sent to an endpoint.
	Send struct {
		Pool          string
		Endpoint      string
		Slots         int // zero if unknown
		Own           int // requests of this daemon at the endpoint
		Total         int // requests of all daemons at the endpoint, as far as this one knows
		OtherRefusals int // in the last window, of the other daemons
		Daemons       []string
	}

	pool struct {
		maxRefusals int // that an endpoint survives in a window
		until       time.Time
	}
)

const (
	// Window is the time over which an endpoint counts its refusals.
	Window = time.Second
	// memoryTime is how long a pool counts as brittle after the last response that said so.
	memoryTime = 5 * time.Second
	// turnTime is how long a daemon has a slot that there are too few of for all daemons. In its
	// last part nothing is sent, so that the next daemon knows what runs there.
	turnTime = time.Second
	turnEnd  = 300 * time.Millisecond // longer than loads take to become known between failure domains
)

// New returns a tracker without brittle pools.
func New(self string) *Tracker {
	return &Tracker{Self: self, pools: map[string]pool{}, refusals: map[string][]time.Time{}, risks: map[string][]time.Time{}}
}

// Record records that an endpoint of a pool survives maxRefusals refusals in a window, and
// reports whether the pool was not known to be brittle.
func (t *Tracker) Record(name string, maxRefusals int, now time.Time) (began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	began = !t.isBrittle(name, now)
	t.pools[name] = pool{maxRefusals: maxRefusals, until: now.Add(memoryTime)}
	return began
}

// IsBrittle reports whether the endpoints of a pool are brittle.
func (t *Tracker) IsBrittle(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isBrittle(name, now)
}

func (t *Tracker) isBrittle(name string, now time.Time) bool { return now.Before(t.pools[name].until) }

// RecordRefusal records that an endpoint has refused a request of this daemon.
func (t *Tracker) RecordRefusal(endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals[endpoint] = append(recent(t.refusals[endpoint], now), now)
}

// Allow reports whether a request may be sent to an endpoint, and records the risk that it is
// refused. Everything may be sent to the endpoints of a pool that is not brittle.
//
// Each daemon has a share of the slots, on which it needs no news of others. Slots that others
// leave free are used at the risk of a refusal, as others may use them at the same moment: each
// daemon has a share of the refusals that the endpoint survives, too.
func (t *Tracker) Allow(s Send, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isBrittle(s.Pool, now) {
		return true
	}
	t.expire(now)
	limit := t.pools[s.Pool].maxRefusals
	refused := len(recent(t.refusals[s.Endpoint], now)) + s.OtherRefusals
	if refused >= max(limit, 1) {
		return false
	}
	if s.Total >= max(s.Slots, 1) {
		return false
	}
	if s.Own < t.slotsOf(s, now) {
		return true
	}
	risks := recent(t.risks[s.Endpoint], now)
	if len(risks) >= limit/max(len(s.Daemons), 1) {
		return false
	}
	t.risks[s.Endpoint] = append(risks, now)
	return true
}

// slotsOf returns this daemon's share of the slots of an endpoint. The daemons take turns with
// those that are left over, as there may be more daemons than slots.
func (t *Tracker) slotsOf(s Send, now time.Time) int {
	slots, daemons := max(s.Slots, 1), max(len(s.Daemons), 1)
	share, left := slots/daemons, slots%daemons
	if left == 0 || now.UnixNano()%int64(turnTime) >= int64(turnTime-turnEnd) {
		return share
	}
	turn := strconv.FormatInt(now.UnixNano()/int64(turnTime), 10)
	if zpplace.RendezvousRank(t.Self, s.Endpoint+"/"+turn, s.Daemons) < left {
		share++
	}
	return share
}

// expire deletes what is too old to count, once in a window.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expiredAt) < Window {
		return
	}
	t.expiredAt = now
	for _, lists := range []map[string][]time.Time{t.refusals, t.risks} {
		for endpoint, list := range lists {
			if len(recent(list, now)) == 0 {
				delete(lists, endpoint)
			}
		}
	}
	for name := range t.pools {
		if !t.isBrittle(name, now) {
			delete(t.pools, name)
		}
	}
}

// recent returns the end of a list that lies within the window.
func recent(list []time.Time, now time.Time) []time.Time {
	for len(list) > 0 && now.Sub(list[0]) >= Window {
		list = list[1:]
	}
	return list
}
