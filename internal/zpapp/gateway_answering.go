package zpapp

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
)

// answering knows the daemons that answered lately, this one too. It is safe for
// concurrent use.
type answering struct {
	daemon *GatewayDaemon

	mu      sync.Mutex
	members []zpassign.Member
	owners  *zplookup.Owners
	at      time.Time
}

// answeringAge is how old the list may be. Daemons come and go much more seldom,
// and each prompt uses it several times.
const answeringAge = 200 * time.Millisecond

// list returns the daemons. The result is shared.
func (a *answering) list() []zpassign.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(zpclock.Now())
	return a.members
}

// ownersOfParts returns who owns which parts of prompts.
func (a *answering) ownersOfParts() *zplookup.Owners {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(zpclock.Now())
	return a.owners
}

func (a *answering) refresh(now time.Time) {
	if a.members != nil && now.Sub(a.at) < answeringAge {
		return
	}
	alive := a.daemon.sharer.Alive()
	members := []zpassign.Member{a.daemon.self}
	for _, m := range a.daemon.members.Others() {
		if alive[m.Name] {
			members = append(members, m)
		}
	}
	a.members, a.owners, a.at = members, zplookup.NewOwners(members), now
}
