package zpapp

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// bans keeps in the store which fingerprints are refused, so that this is known after
	// all daemons have stopped. It is safe for concurrent use.
	bans struct {
		daemon  *GatewayDaemon
		changes chan banChange

		mu     sync.Mutex
		listed bool                 // the stored bans were read at least once
		stored map[string]storedBan // by object name
	}

	banChange struct {
		fingerprint string
		isLifted    bool
		isUpdate    bool // the ban is stored, and another crash belongs to it
	}

	storedBan struct {
		revision  int64
		expiresAt time.Time
		reports   []zpquarantine.Report
	}
)

const (
	// banPrefix is the prefix of the objects of refused fingerprints.
	banPrefix = "bans/"
	// maxBanChanges bounds the changes that wait while the store does not answer.
	maxBanChanges = 64
	// banWriteTimeout bounds the attempts to write one change.
	banWriteTimeout = time.Minute
	banRetryDelay   = 300 * time.Millisecond
	// watcherBanDelay is the time after which a daemon that watches the store writes a ban
	// that no other one has written: no single daemon may know all crashes at first.
	watcherBanDelay = 500 * time.Millisecond
)

func newBans(d *GatewayDaemon) *bans {
	return &bans{daemon: d, changes: make(chan banChange, maxBanChanges), stored: map[string]storedBan{}}
}

// HasSynced reports whether the stored bans were read at least once.
func (b *bans) HasSynced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed
}

// crashReported stores the ban that a report has led to, if any. Reports of other daemons
// are left to these and, after a delay, to the daemons that watch the store. A failed trial is
// added to a ban that is already stored, as trials are limited.
func (b *bans) crashReported(r zpquarantine.Report, isOwn bool) {
	f := b.daemon.gateway.Quarantine.Check(r.Workspace, r.Fingerprints, zpclock.Now())
	if f.Status != zpquarantine.StatusBanned {
		return
	}
	isStored := b.isStored(f.Fingerprint)
	switch {
	case isStored && isOwn && r.OnTrial:
		b.enqueue(banChange{fingerprint: f.Fingerprint, isUpdate: true})
	case isStored:
	case isOwn:
		b.enqueue(banChange{fingerprint: f.Fingerprint})
	case b.daemon.follower.IsWatcher():
		time.AfterFunc(watcherBanDelay, func() { b.enqueue(banChange{fingerprint: f.Fingerprint}) })
	}
}

// lift removes the stored bans of fingerprints that have turned out to be harmless. What
// could not be told apart from them is still refused, and stored by itself.
func (b *bans) lift(fingerprints []string) {
	for _, f := range fingerprints {
		if !b.isStored(f) {
			continue
		}
		b.enqueue(banChange{fingerprint: f, isLifted: true})
		for _, r := range b.storedReports(f) {
			b.crashReported(r, true)
		}
	}
}

func (b *bans) storedReports(fingerprint string) []zpquarantine.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stored[banObject(fingerprint)].reports
}

func (b *bans) enqueue(c banChange) {
	select {
	case b.changes <- c:
	default:
		b.daemon.Log.Emit(zplog.BanNotStored, zplog.Fields{"fingerprint": c.fingerprint, "lifted": c.isLifted, "error": "too many changes wait"})
	}
}

// run writes the changes to the store until ctx ends.
func (b *bans) run(ctx context.Context) {
	for {
		select {
		case c := <-b.changes:
			b.store(ctx, c)
		case <-ctx.Done():
			return
		}
	}
}

// store writes a change. It tries again while the store is unavailable.
func (b *bans) store(ctx context.Context, c banChange) {
	ctx, cancel := context.WithTimeout(ctx, banWriteTimeout)
	defer cancel()
	for b.isStored(c.fingerprint) == (c.isLifted || c.isUpdate) {
		err := b.write(ctx, c)
		if err == nil || zpobject.IsConflict(err) || zpobject.IsNotFound(err) {
			return // written, or changed by another daemon at the same time
		}
		select {
		case <-time.After(banRetryDelay):
		case <-ctx.Done():
			b.daemon.Log.Emit(zplog.BanNotStored, zplog.Fields{"fingerprint": c.fingerprint, "lifted": c.isLifted, "error": err.Error()})
			return
		}
	}
}

func (b *bans) write(ctx context.Context, c banChange) error {
	if !b.daemon.reads.IsAnswering() {
		return zpobject.ErrUnavailable
	}
	name := banObject(c.fingerprint)
	b.mu.Lock()
	revision := b.stored[name].revision
	b.mu.Unlock()
	if c.isLifted {
		return b.daemon.store.Delete(ctx, name, revision)
	}
	body, err := zpquarantine.EncodeBan(b.daemon.gateway.Quarantine.BanOf(c.fingerprint), zpclock.Now(), time.Now())
	if err != nil {
		return err
	}
	_, err = b.daemon.store.Put(ctx, name, body, revision)
	return err
}

func (b *bans) isStored(fingerprint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.stored[banObject(fingerprint)]
	return ok && zpclock.Now().Before(s.expiresAt)
}

// replaceAll records the stored bans. Expired ones are deleted by the daemons that watch the
// store.
func (b *bans) replaceAll(objects []zpobject.Object) {
	b.mu.Lock()
	before := b.stored
	b.stored = map[string]storedBan{}
	b.mu.Unlock()
	for _, o := range objects {
		b.change(o)
	}
	b.mu.Lock()
	b.listed = true
	b.mu.Unlock()
	b.storeLost(before)
}

// storeLost stores bans again that the store has lost, as it came back from an older copy. A
// daemon that watches the store does so, if it still has the evidence.
func (b *bans) storeLost(before map[string]storedBan) {
	era, _ := b.daemon.eras.Current()
	for name, x := range before {
		b.mu.Lock()
		_, isStored := b.stored[name]
		b.mu.Unlock()
		if isStored || zpobject.EraOf(x.revision) >= era {
			continue
		}
		for _, r := range x.reports {
			b.crashReported(r, false)
		}
	}
}

// change records a change of a stored ban and its crashes.
func (b *bans) change(o zpobject.Object) {
	now := zpclock.Now()
	if o.Deleted {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.stored, o.Name)
		return
	}
	ban, err := zpquarantine.DecodeBan(o.Body, now, time.Now())
	if err != nil {
		b.daemon.Log.Emit(zplog.EntryIgnored, zplog.Fields{"object": o.Name, "revision": o.Revision, "error": err.Error()})
		return
	}
	expiresAt := ban.ExpiresAt(crashRetention)
	b.mu.Lock()
	b.stored[o.Name] = storedBan{revision: o.Revision, expiresAt: expiresAt, reports: ban.Reports}
	b.mu.Unlock()
	if !now.Before(expiresAt) {
		b.removeExpired(o)
		return
	}
	for _, r := range ban.Reports {
		b.daemon.gateway.MergeCrash(r, "store")
	}
}

func (b *bans) removeExpired(o zpobject.Object) {
	if !b.daemon.follower.IsWatcher() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := b.daemon.store.Delete(ctx, o.Name, o.Revision); err != nil && !zpobject.IsConflict(err) && !zpobject.IsNotFound(err) {
			b.daemon.Log.Emit(zplog.BanNotStored, zplog.Fields{"object": o.Name, "lifted": true, "error": err.Error()})
		}
	}()
}

// banObject returns the name of the object of a fingerprint, which may have any characters.
func banObject(fingerprint string) string {
	return banPrefix + fmt.Sprintf("%016x", xxh3.HashString(fingerprint))
}
