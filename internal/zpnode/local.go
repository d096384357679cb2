// Package zpnode implements the Service that a daemon provides to itself and to
// other daemons.
package zpnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/internal/zpfleet"
	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zpholding"
	"github.com/zinniapaddle/zinniapaddle/internal/zplink"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmetric"
	"github.com/zinniapaddle/zinniapaddle/internal/zpowner"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// Local implements Service on this daemon's components. Set the exported fields before use.
type Local struct {
	Fleet      *zpfleet.Fleet
	Owner      *zpowner.Owner
	Holdings   *zpholding.Registry
	Hints      *zphint.Table
	Quarantine *zpquarantine.List
	RunGuard   *zpquarantine.RunGuard
	API        zpobject.API
	Retention  time.Duration // of claims
	// MaxAnswerBytes is the size of the largest answer kept with a claim.
	MaxAnswerBytes int64
	NewID          func() string
	Metrics        *zpmetric.Metrics
	Log            *zplog.Logger
	Clock          func() time.Time
	Open           *atomic.Int64 // number of open requests

	mu      sync.Mutex
	writers map[int]*zpclaim.Writer
	links   map[string]*zplink.Bucket
}

// linkBurst is the idle time whose unused bytes a link may send later as a burst.
const linkBurst = time.Second

var _ zppeer.Service = (*Local)(nil)

// Compare returns the configuration state of this daemon that is newer than revision.
func (l *Local) Compare(_ context.Context, instance string, revision int64, askPromise bool) (zpfleet.Comparison, error) {
	return l.Fleet.AnswerCompare(instance, revision, askPromise, l.Clock()), nil
}

// Quote returns the load of endpoints owned by this daemon.
func (l *Local) Quote(_ context.Context, endpoints []string) (map[string]zpadmission.Quote, error) {
	return l.Owner.Quote(endpoints, l.Clock()), nil
}

// Reserve requests a reservation on an endpoint owned by this daemon.
func (l *Local) Reserve(ctx context.Context, endpoint string, r zpadmission.Request, slice time.Duration) (zpadmission.Decision, error) {
	d := l.Owner.Reserve(ctx, endpoint, r, slice)
	l.Metrics.Reservations.WithLabelValues(resultLabel(d)).Inc()
	return d, nil
}

// Release ends a reservation on an endpoint owned by this daemon.
func (l *Local) Release(_ context.Context, endpoint string, r zpadmission.Result) error {
	l.Owner.Release(endpoint, r)
	return nil
}

// Held returns the reservations that this daemon has started.
func (l *Local) Held(_ context.Context, endpoints []string) ([]zpadmission.Holding, error) {
	return l.Holdings.ForEndpoints(endpoints), nil
}

// Locate returns the hints for a conversation.
func (l *Local) Locate(_ context.Context, key zphint.Key) ([]zphint.Hint, error) {
	return l.Hints.Get(key), nil
}

// Record stores or removes a hint.
func (l *Local) Record(_ context.Context, key zphint.Key, h zphint.Hint, remove bool) error {
	if remove {
		l.Hints.Remove(key, h.Holder)
	} else {
		l.Hints.Put(key, h)
	}
	return nil
}

// Claim passes a claim to this daemon's writer of the shard.
func (l *Local) Claim(ctx context.Context, shard int, a zpclaim.AcquireRequest) (zpclaim.Decision, error) {
	return l.writer(shard).Acquire(ctx, a)
}

// Settle records the end of a claimed request with this daemon's writer of the
// shard.
func (l *Local) Settle(ctx context.Context, shard int, s zpclaim.Settlement) error {
	return l.writer(shard).Settle(ctx, s)
}

// Suspect records the crashes during which a request was in flight.
func (l *Local) Suspect(_ context.Context, fingerprint string, crashes []string) error {
	now := l.Clock()
	for _, c := range crashes {
		if l.Quarantine.RecordCrash(fingerprint, c, now) && l.Quarantine.Status(fingerprint, now) == zpquarantine.StatusBanned {
			l.Metrics.Quarantined.Inc()
			l.Log.Emit(zplog.FingerprintBanned, zplog.Fields{"fingerprint": fingerprint})
		}
	}
	return nil
}

// StartFlight reports whether a request may run now. Requests with a fingerprint
// that has not completed before run one at a time.
func (l *Local) StartFlight(_ context.Context, fingerprint, id string) (bool, error) {
	return l.RunGuard.Start(fingerprint, id, l.Clock()), nil
}

// EndFlight records the end of a request, and whether it completed.
func (l *Local) EndFlight(_ context.Context, fingerprint, id string, complete bool) error {
	l.RunGuard.End(fingerprint, id, complete)
	return nil
}

// GrantBytes grants bytes of a link owned by this daemon.
func (l *Local) GrantBytes(_ context.Context, link string, bytes int64, urgent bool) (zplink.Grant, error) {
	now := l.Clock()
	if !l.Fleet.HoldsLease(now) {
		return zplink.Grant{RetryAfter: time.Second}, nil
	}
	bucket := l.bucket(link)
	if bucket == nil {
		return zplink.Grant{RetryAfter: time.Second}, nil
	}
	g := bucket.Take(bytes, urgent, now)
	l.Metrics.LinkBytes.WithLabelValues(link).Add(float64(g.Bytes))
	return g, nil
}

// Status returns the status of this daemon.
func (l *Local) Status(context.Context) (zppeer.Status, error) {
	now := l.Clock()
	s := zppeer.Status{
		Instance: l.Fleet.Self.Instance, Domain: l.Fleet.Self.Domain, Region: l.Fleet.Self.Region,
		Age: l.Fleet.Cache.Age(now), Mode: string(l.Fleet.Mode(now)), OpenRequests: l.Open.Load(),
		Partitions: l.Fleet.OwnedPartitions(), LeaseValid: l.Fleet.HoldsLease(now),
	}
	if m := l.Fleet.Cache.Manifest(); m != nil {
		s.ManifestVersion = m.Version
	}
	return s, nil
}

func (l *Local) writer(shard int) *zpclaim.Writer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writers == nil {
		l.writers = map[int]*zpclaim.Writer{}
	}
	w := l.writers[shard]
	if w == nil {
		w = &zpclaim.Writer{API: l.API, Shard: shard, Retention: l.Retention, MaxAnswerBytes: l.MaxAnswerBytes, NewID: l.NewID, Clock: l.Clock}
		l.writers[shard] = w
	}
	return w
}

func (l *Local) bucket(name string) *zplink.Bucket {
	m := l.Fleet.Cache.Manifest()
	link, ok := findLink(m, name)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links == nil {
		l.links = map[string]*zplink.Bucket{}
	}
	if l.links[name] == nil {
		burst := int64(float64(link.BytesPerSecond) * linkBurst.Seconds())
		l.links[name] = zplink.NewBucket(link.BytesPerSecond, burst)
	}
	return l.links[name]
}

func findLink(m *zpmanifest.Manifest, name string) (zpmanifest.Link, bool) {
	if m == nil {
		return zpmanifest.Link{}, false
	}
	for _, link := range m.Links {
		if link.Name == name {
			return link, true
		}
	}
	return zpmanifest.Link{}, false
}

func resultLabel(d zpadmission.Decision) string {
	switch {
	case d.Granted:
		return "granted"
	case d.Queued:
		return "queued"
	default:
		return d.Code
	}
}
