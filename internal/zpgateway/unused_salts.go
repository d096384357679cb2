package zpgateway

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
)

// unusedSalts records since when the current catalog gives no request a salt of certain
// workspaces. The zero value is empty. It is safe for concurrent use.
type unusedSalts struct {
	mu    sync.Mutex
	since map[string]time.Time // by cacheSalt.sharers
}

// unusedSaltRetention is the time from a change of the isolated workspaces until the parts
// that are no longer used may be freed. Requests of daemons with an older catalog have ended
// by then, and a change that is soon taken back frees nothing.
const unusedSaltRetention = 30 * time.Second

// sharers names the workspaces that use parts with the salt.
func (s cacheSalt) sharers() string { return s.isolated + "~" + s.scope }

// isUsedUnder reports whether a catalog gives requests salts of the same workspaces.
func (s cacheSalt) isUsedUnder(c *zpcatalog.Catalog) bool {
	if s.isolated == "" {
		return s.scope == c.CacheScope()
	}
	w, ok := c.WorkspaceNamed(s.isolated)
	return ok && w.Isolated
}

// mayFree reports whether the parts of a salt have been unused for unusedSaltRetention.
func (u *unusedSalts) mayFree(s cacheSalt, c *zpcatalog.Catalog, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s.isUsedUnder(c) {
		delete(u.since, s.sharers())
		return false
	}
	if u.since == nil {
		u.since = map[string]time.Time{}
	}
	at, ok := u.since[s.sharers()]
	if !ok {
		u.since[s.sharers()] = now
		return false
	}
	return now.Sub(at) >= unusedSaltRetention
}
