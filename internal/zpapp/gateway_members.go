package zpapp

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// members holds the daemons registered in the store, by name. It is safe for
// concurrent use.
type members struct {
	self string

	mu           sync.Mutex
	listed       bool      // the records were read at least once
	keptUntil    time.Time // members without a record are kept until then
	byName       map[string]zpassign.Member
	leftAt       map[string]time.Time // when members left that have not come back, by name
	sortedNames  []string
	otherMembers []zpassign.Member
}

const (
	// gatewayMemberPrefix is the prefix of the objects of gateway daemons. The
	// members of zpassign.MemberPrefix are daemons of the other kind.
	gatewayMemberPrefix = "members/"
	joinRetry           = 300 * time.Millisecond
	// rejoinInterval is the mean interval between the daemons of a fleet that look for their
	// records after a restore of the store.
	rejoinInterval = 20 * time.Millisecond
	// rejoinGrace is added to the time in which all daemons look for their records, for a store
	// that is slow to answer.
	rejoinGrace = 3 * time.Second
)

func newMembers(self string) *members {
	m := &members{self: self, byName: map[string]zpassign.Member{}, leftAt: map[string]time.Time{}}
	m.rebuild()
	return m
}

// HasSynced reports whether the records of the daemons were read at least once.
// Before that, this daemon would take the limits of the whole fleet for its own.
func (m *members) HasSynced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// Names returns the sorted names of all daemons, including this one. The caller
// must not modify the result.
func (m *members) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedNames
}

// Others returns the other daemons. The caller must not modify the result.
func (m *members) Others() []zpassign.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.otherMembers
}

// storeRestored keeps the members for a while whose records the copy lacks: they write them
// again. Otherwise this daemon would take the limits that they share for its own.
func (m *members) storeRestored(now time.Time) (keptUntil time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keptUntil = now.Add(rejoinGrace + time.Duration(len(m.sortedNames))*rejoinInterval)
	return m.keptUntil
}

func (m *members) replace(list []zpassign.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	before := m.byName
	m.byName = map[string]zpassign.Member{}
	for _, x := range list {
		m.byName[x.Name] = x
		delete(m.leftAt, x.Name)
	}
	for name, x := range before {
		if _, ok := m.byName[name]; ok {
			continue
		}
		if now.Before(m.keptUntil) {
			m.byName[name] = x
		} else {
			m.recordLeft(name, now)
		}
	}
	m.rebuild()
}

func (m *members) put(x zpassign.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byName[x.Name] = x
	delete(m.leftAt, x.Name)
	m.rebuild()
}

func (m *members) remove(name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.byName[name]; ok {
		delete(m.byName, name)
		m.recordLeft(name, now)
	}
	m.rebuild()
}

// recordLeft records that a member has left; m.mu must be held.
func (m *members) recordLeft(name string, now time.Time) {
	for x, at := range m.leftAt {
		if now.Sub(at) >= zporigin.Retention {
			delete(m.leftAt, x)
		}
	}
	m.leftAt[name] = now
}

// haveLeft reports whether another daemon has left so lately that a caller may take up a stream
// that it began, and has not come back.
func (m *members) haveLeft(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, at := range m.leftAt {
		if name != m.self && now.Sub(at) < zporigin.Retention {
			return true
		}
	}
	return false
}

func (m *members) rebuild() {
	m.sortedNames = []string{m.self}
	for name := range m.byName {
		if name != m.self {
			m.sortedNames = append(m.sortedNames, name)
		}
	}
	sort.Strings(m.sortedNames)
	m.otherMembers = nil
	for _, name := range m.sortedNames {
		if x, ok := m.byName[name]; ok && name != m.self {
			m.otherMembers = append(m.otherMembers, x)
		}
	}
}

// join registers this daemon in the store, and again whenever the store comes back from an
// older copy, which may lack the record.
func (d *GatewayDaemon) join(ctx context.Context) {
	body, err := zpassign.EncodeMember(d.self)
	if err != nil {
		d.Log.Emit(zplog.MemberNotWritten, zplog.Fields{"error": err.Error()})
		return
	}
	// Before the first start of the fleet no daemon has a record, so it is not read first.
	mayExist := !d.Node.FirstStart
	for {
		restored := d.eras.Changed()
		if zpmutant.Active(zpmutant.EraRecord) {
			restored = nil
		}
		for !d.register(ctx, body, mayExist) {
			mayExist = true
			if !pause(ctx, joinRetry) {
				return
			}
		}
		mayExist = true
		select {
		case <-restored:
		case <-ctx.Done():
			return
		}
		if !pause(ctx, d.rejoinDelay()) || d.leaving.Load() {
			return
		}
	}
}

// rejoinDelay returns a random delay that spreads the calls of all daemons, so that they are
// a small part of what the store takes.
func (d *GatewayDaemon) rejoinDelay() time.Duration {
	return time.Duration(rand.Float64() * float64(len(d.members.Names())) * float64(rejoinInterval))
}

// pause waits and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// register writes this instance's record unless the store already has it. It
// reports whether the record is stored. mayExist tells whether there may be a record.
func (d *GatewayDaemon) register(ctx context.Context, body []byte, mayExist bool) bool {
	name := gatewayMemberPrefix + d.self.Name
	var stored zpobject.Object
	if mayExist {
		var err error
		stored, err = d.reads.Get(ctx, name)
		switch {
		case err == nil:
			if m, decodeErr := zpassign.DecodeMember(stored.Body); decodeErr == nil && m.Instance == d.self.Instance {
				d.recordRevision.Store(stored.Revision)
				return true
			}
		case !zpobject.IsNotFound(err):
			return false
		}
	}
	isAgain := d.recordRevision.Load() != 0
	written, err := d.store.Put(ctx, name, body, stored.Revision)
	if err != nil {
		return false
	}
	d.recordRevision.Store(written.Revision)
	if isAgain {
		d.Log.Emit(zplog.WrittenAgain, zplog.Fields{"object": name, "era": zpobject.EraOf(written.Revision), "revision": zpobject.PlainRevision(written.Revision)})
	}
	return true
}

// unregister removes this daemon's record, so that other daemons stop using it.
func (d *GatewayDaemon) unregister(ctx context.Context) {
	name := gatewayMemberPrefix + d.self.Name
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var err error
	revision := d.recordRevision.Load()
	if era, _ := d.eras.Current(); revision == 0 || zpobject.EraOf(revision) != era {
		// A write without an answer may have been executed, and a store that came back from a
		// copy may have the record under another revision.
		var o zpobject.Object
		o, err = d.reads.Get(ctx, name)
		revision = o.Revision
	}
	if err == nil {
		err = d.store.Delete(ctx, name, revision)
	}
	if err != nil {
		d.Log.Emit(zplog.MemberNotWritten, zplog.Fields{"error": err.Error()})
	}
}
