package zpsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"time"
)

const (
	// upgradeDowntime is how long a daemon is down while its build is replaced.
	upgradeDowntime = 500 * time.Millisecond
	// upgradeShare is the share of the time with faults in which upgrades begin. The rest allows
	// for daemons that take long to stop.
	upgradeShare = 0.8
	// maxUpgradeTime is the time that a daemon takes to stop and start again.
	maxUpgradeTime = 5 * time.Second
	// Callers close the connections of streams between minHopDelay and maxHopDelay after they
	// sent the request, and take the streams up at other daemons.
	minHopDelay = 60 * time.Millisecond
	maxHopDelay = 330 * time.Millisecond
	hopCallers  = 2 // per daemon
	// scopeInterval is the interval at which a fault that waits for its scope looks at it.
	scopeInterval = 20 * time.Millisecond
)

// planUpgrade plans an upgrade of all daemons, one after the other in random order.
func planUpgrade(seed uint64, length time.Duration, daemons int) (out []Fault) {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	interval := time.Duration(upgradeShare * float64(length-recoveryTime-warmUp) / float64(daemons))
	for n, daemon := range random.Perm(daemons) {
		out = append(out, Fault{Kind: DaemonStop, Target: daemon, At: warmUp + time.Duration(n)*interval, Duration: upgradeDowntime})
	}
	return out
}

// binary returns the path of the daemon's program in a directory.
func (c Config) binary(dir string) string {
	if c.Mutant != "" {
		dir = filepath.Join(dir, "mutant")
	}
	return filepath.Join(dir, "zinniapaddle")
}

// upgrade stops daemons as planned and starts them with the build in BinDir. It waits for
// other signals to a daemon to end. Daemons that would not be back at the end of the faults
// keep their build.
func (i *injector) upgrade(ctx context.Context, plan []Fault) {
	startedAt := time.Now()
	latest := startedAt.Add(i.cluster.Length - recoveryTime - maxUpgradeTime)
	for _, f := range plan {
		sleep(ctx, f.At-time.Since(startedAt))
		if !i.beginUntil(ctx, f, latest) {
			continue
		}
		i.mu.Lock()
		i.upgradedAt[f.Target] = i.incarnations[f.Target] + 1
		i.mu.Unlock()
		i.cluster.daemons[f.Target].Path = i.cluster.binary(i.cluster.BinDir)
		if err := i.apply(ctx, f); err != nil {
			i.fail(f, err)
		}
		i.end(f)
	}
}

// beginUntil is begin for a fault that waits for its scope. It returns false if the scope is
// in use until latest.
func (i *injector) beginUntil(ctx context.Context, f Fault, latest time.Time) bool {
	for time.Now().Before(latest) && ctx.Err() == nil {
		if i.begin(f) {
			return true
		}
		sleep(ctx, scopeInterval)
	}
	return false
}

// isUpgraded reports whether a daemon ran the build in BinDir.
func (i *injector) isUpgraded(daemon, incarnation int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	at, ok := i.upgradedAt[daemon]
	return ok && incarnation >= at
}

// sendHoppingStreams sends streams as long as there may be faults. The caller closes their
// connections early and takes them up at other daemons.
func (r *run) sendHoppingStreams(ctx context.Context, daemon, clientIndex int) {
	ctx, cancel := context.WithTimeout(ctx, r.cluster.Length-recoveryTime)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	random := rand.New(rand.NewPCG(r.cluster.Seed, uint64(daemon*hopCallers+clientIndex)))
	for n := 0; ctx.Err() == nil; n++ {
		first := request{ID: fmt.Sprintf("h-%d-%d-%d", daemon, clientIndex, n), Kind: "stream", Daemon: daemon}
		path := "/stream/" + first.ID // as in sendAndCancel
		q := first
		for attempt := 1; attempt < maxStreamAttempts; attempt++ {
			r.sendFor(ctx, client, &q, path, minHopDelay+time.Duration(random.Int64N(int64(maxHopDelay-minHopDelay))))
			if !q.Interrupted {
				break
			}
			next := (q.Daemon + 1 + random.IntN(r.cluster.Daemons-1)) % r.cluster.Daemons
			q = q.nextAttempt(fmt.Sprintf("%s-%d", first.ID, attempt), next)
			if attempt == maxStreamAttempts-1 {
				r.send(ctx, client, &q, path)
			}
		}
		sleep(ctx, requestInterval)
	}
}
