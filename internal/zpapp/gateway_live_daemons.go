package zpapp

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
)

// liveDaemons caches the list of daemons that answered recently, including this
// one. It is safe for concurrent use.
type liveDaemons struct {
	daemon *GatewayDaemon

	mu          sync.Mutex
	members     []zpassign.Member
	owners      *zplookup.Owners
	refreshedAt time.Time

	registered   *zplookup.Owners // of all registered daemons, whether they answer or not
	registeredAt time.Time
}

// liveDaemonsMaxAge bounds the age of the cached list. The cache saves
// rebuilding the list several times per prompt; daemons start and stop far less
// often than it expires.
const liveDaemonsMaxAge = 200 * time.Millisecond

// list returns the daemons. The caller must not modify the result.
func (a *liveDaemons) list() []zpassign.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(zpclock.Now())
	return a.members
}

// isMajority reports whether more than half of the registered daemons answered recently, this
// one included.
func (a *liveDaemons) isMajority() bool {
	return zpcatalog.IsMajority(len(a.list())-1, len(a.daemon.members.Others()))
}

// partOwners returns the assignment of prompt parts to the daemons that own them.
func (a *liveDaemons) partOwners() *zplookup.Owners {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(zpclock.Now())
	return a.owners
}

// registeredOwners is partOwners with all registered daemons.
func (a *liveDaemons) registeredOwners() *zplookup.Owners {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := zpclock.Now(); a.registered == nil || now.Sub(a.registeredAt) >= liveDaemonsMaxAge {
		a.registered = zplookup.NewOwners(append([]zpassign.Member{a.daemon.self}, a.daemon.members.Others()...))
		a.registeredAt = now
	}
	return a.registered
}

func (a *liveDaemons) refresh(now time.Time) {
	if a.members != nil && now.Sub(a.refreshedAt) < liveDaemonsMaxAge {
		return
	}
	alive := a.daemon.alive()
	members := []zpassign.Member{a.daemon.self}
	for _, m := range a.daemon.members.Others() {
		if alive[m.Name] {
			members = append(members, m)
		}
	}
	a.members, a.owners, a.refreshedAt = members, zplookup.NewOwners(members), now
}
