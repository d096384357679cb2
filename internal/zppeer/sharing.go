package zppeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zpdigest"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zprelay"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// notFollowedCode is the RPC code of zprelay.ErrNotFollowed.
const notFollowedCode = 1

// SharingHandler serves the sharing RPCs, by which daemons that serve routed
// requests exchange soft state.
type SharingHandler struct {
	Instance         string
	Apply            func(m zpshare.Message)
	Targets          func() []zprollout.Target                             // recent target weight versions
	CatalogVersion   func() int64                                          // in use; zero: none yet
	CatalogConfirmed func() bool                                           // the store has confirmed the configuration recently
	CatalogAge       func() time.Duration                                  // since the store last confirmed it; nil: unknown, counts as zero
	Catalog          func() zpobject.Object                                // the configuration in use
	LookUpParts      func(keys []zpparts.Key) zpparts.Knowledge            // returns what is known of the requested parts
	Digest           func(r zpdigest.Report) zpdigest.Digest               // records a load and returns that of the others
	MergeSum         func(s zpdigest.Sum) zpdigest.Sum                     // records the sum of another relay and returns the own one
	Upgrades         func(reports []zpupgrade.Report) []zpupgrade.Decision // records reports and answers them; may be nil
	GrantTrial       func(fingerprint string) bool                         // grants a trial of a banned fingerprint
	KeepOrigins      func(origins []zporigin.Origin)                       // keeps where streams began
	OriginOf         func(request, pool string) zporigin.Reply             // returns where a stream began, and what is known of its pool
	// OpenEndpoint opens a connection to an endpoint for another daemon; see zpdetour.Server.
	OpenEndpoint func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	WatchObjects func(ctx context.Context, prefix string, since int64, wait time.Duration) (zprelay.Update, error)
}

// Share implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) Share(_ context.Context, in *zppeerpb.ShareRequest) (*zppeerpb.ShareReply, error) {
	h.Apply(decodeMessage(in, zpclock.Now()))
	version, confirmed, age := h.catalogState()
	reply := &zppeerpb.ShareReply{Instance: h.Instance, Targets: encodeTargets(h.Targets()), CatalogVersion: version, CatalogConfirmed: confirmed, CatalogAgeMs: age.Milliseconds()}
	if len(in.Upgrades) > 0 && h.Upgrades != nil {
		reply.Upgrades = encodeDecisions(h.Upgrades(decodeReports(in.Instance, in.Upgrades)))
	}
	return reply, nil
}

// catalogState reads the confirmation and its age first: read after the version, they could be
// those of a newer one, and the receiver would take the older version for confirmed.
func (h *SharingHandler) catalogState() (version int64, confirmed bool, age time.Duration) {
	if h.CatalogAge != nil {
		age = h.CatalogAge()
	}
	confirmed = h.CatalogConfirmed()
	return h.CatalogVersion(), confirmed, age
}

// ReadCatalog implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) ReadCatalog(context.Context, *zppeerpb.ReadCatalogRequest) (*zppeerpb.ReadCatalogReply, error) {
	return &zppeerpb.ReadCatalogReply{Object: encodeObject(h.Catalog())}, nil
}

// RequestTrial implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) RequestTrial(_ context.Context, in *zppeerpb.TrialRequest) (*zppeerpb.TrialReply, error) {
	return &zppeerpb.TrialReply{Granted: h.GrantTrial(in.Fingerprint)}, nil
}

// Recall implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) Recall(_ context.Context, in *zppeerpb.RecallRequest) (*zppeerpb.RecallReply, error) {
	k := h.LookUpParts(partKeys(decodeParts(in.Parts)))
	return &zppeerpb.RecallReply{Held: encodeParts(k.Held), Coming: encodeParts(k.Expected), Saving: encodeParts(k.Saving)}, nil
}

// Follow implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) Follow(ctx context.Context, in *zppeerpb.FollowRequest) (*zppeerpb.FollowReply, error) {
	a, err := h.WatchObjects(ctx, in.Prefix, in.Since, time.Duration(in.WaitMs)*time.Millisecond)
	if errors.Is(err, zprelay.ErrNotFollowed) {
		return nil, drpcerr.WithCode(err, notFollowedCode)
	}
	if err != nil {
		return nil, err
	}
	out := &zppeerpb.FollowReply{Revision: a.Revision, Whole: a.Complete}
	for _, o := range a.Objects {
		out.Objects = append(out.Objects, encodeObject(o))
	}
	return out, nil
}

// ServeSharing serves the sharing service on lis until ctx is canceled.
func ServeSharing(ctx context.Context, lis net.Listener, h *SharingHandler) error {
	mux := drpcmux.New()
	if err := zppeerpb.DRPCRegisterSharing(mux, h); err != nil {
		return fmt.Errorf("register sharing service: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, lis)
}

// Share sends a state update to the daemon at address and returns its reply. The ages
// of the targets are those at the time when the reply was sent.
func Share(ctx context.Context, d *Dialer, address string, m zpshare.Message) (zpshare.Reply, error) {
	out, err := doWithConn(ctx, d, address, "share", 0, func(ctx context.Context, conn Conn) (*zppeerpb.ShareReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).Share(ctx, encodeMessage(m, zpclock.Now()))
	})
	if err != nil {
		return zpshare.Reply{}, err
	}
	return zpshare.Reply{Instance: out.Instance, Targets: decodeTargets(out.Targets), CatalogVersion: out.CatalogVersion, CatalogConfirmed: out.CatalogConfirmed, CatalogAge: milliseconds(out.CatalogAgeMs), Upgrades: decodeDecisions(out.Upgrades)}, nil
}

// ReadCatalog returns the configuration that the daemon at address uses.
func ReadCatalog(ctx context.Context, d *Dialer, address string) (zpobject.Object, error) {
	out, err := doWithConn(ctx, d, address, "read_catalog", 0, func(ctx context.Context, conn Conn) (*zppeerpb.ReadCatalogReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).ReadCatalog(ctx, &zppeerpb.ReadCatalogRequest{})
	})
	if err != nil {
		return zpobject.Object{}, err
	}
	return decodeObject(out.Object), nil
}

// RequestTrial asks the daemon at address for a trial of a banned fingerprint.
func RequestTrial(ctx context.Context, d *Dialer, address, fingerprint string) (granted bool, err error) {
	out, err := doWithConn(ctx, d, address, "request_trial", 0, func(ctx context.Context, conn Conn) (*zppeerpb.TrialReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).RequestTrial(ctx, &zppeerpb.TrialRequest{Fingerprint: fingerprint})
	})
	if err != nil {
		return false, err
	}
	return out.Granted, nil
}

// Recall returns what the daemon at address knows of the given parts.
func Recall(ctx context.Context, d *Dialer, address string, keys []zpparts.Key) (zpparts.Knowledge, error) {
	in := &zppeerpb.RecallRequest{}
	for _, k := range keys {
		in.Parts = append(in.Parts, &zppeerpb.SharedPart{Salt: k.Salt, Part: k.Part})
	}
	out, err := doWithConn(ctx, d, address, "recall", 0, func(ctx context.Context, conn Conn) (*zppeerpb.RecallReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).Recall(ctx, in)
	})
	if err != nil {
		return zpparts.Knowledge{}, err
	}
	return zpparts.Knowledge{Held: decodeParts(out.Held), Expected: decodeParts(out.Coming), Saving: decodeParts(out.Saving)}, nil
}

// Follow returns the changes to objects under a prefix after revision since, as
// known to the daemon at address. It waits up to wait for a change; a zero since
// requests all objects.
func Follow(ctx context.Context, d *Dialer, address, prefix string, since int64, wait time.Duration) (zprelay.Update, error) {
	in := &zppeerpb.FollowRequest{Prefix: prefix, Since: since, WaitMs: wait.Milliseconds()}
	out, err := doWithConn(ctx, d, address, "follow", wait, func(ctx context.Context, conn Conn) (*zppeerpb.FollowReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).Follow(ctx, in)
	})
	if drpcerr.Code(err) == notFollowedCode {
		return zprelay.Update{}, zprelay.ErrNotFollowed.WithCause(err)
	}
	if err != nil {
		return zprelay.Update{}, err
	}
	a := zprelay.Update{Complete: out.Whole, Listing: zpobject.Listing{Revision: out.Revision}}
	for _, o := range out.Objects {
		a.Objects = append(a.Objects, decodeObject(o))
	}
	return a, nil
}

func encodeObject(o zpobject.Object) *zppeerpb.FollowedObject {
	return &zppeerpb.FollowedObject{Name: o.Name, Revision: o.Revision, Body: o.Body, Deleted: o.Deleted}
}

// decodeObject returns an object without a name if there is none.
func decodeObject(o *zppeerpb.FollowedObject) zpobject.Object {
	return zpobject.Object{Name: o.GetName(), Revision: o.GetRevision(), Body: o.GetBody(), Deleted: o.GetDeleted()}
}

func partKeys(changes []zpparts.Change) []zpparts.Key {
	out := make([]zpparts.Key, 0, len(changes))
	for _, c := range changes {
		out = append(out, c.Key)
	}
	return out
}

// encodeMessage encodes times as their ages at now.
func encodeMessage(m zpshare.Message, now time.Time) *zppeerpb.ShareRequest {
	out := &zppeerpb.ShareRequest{Instance: m.Instance, ResetHolders: m.ResetHolders, WithoutUses: m.Uses == nil, FailureDomain: m.Domain, Dark: m.Unreachable, Harmless: m.Harmless}
	out.Uses, out.Speeds, out.Upgrades = encodeUses(m.Uses), encodeSpeeds(m.Speeds), encodeReports(m.Upgrades)
	out.Parts, out.Expected, out.Saving = encodeParts(m.Parts), encodeParts(m.Expected), encodeParts(m.Saving)
	for _, c := range m.Changing {
		out.Changing = append(out.Changing, &zppeerpb.SharedChange{Endpoint: c.Endpoint, LeftMs: c.Left.Milliseconds()})
	}
	for _, c := range m.Crashes {
		out.Crashes = append(out.Crashes, &zppeerpb.SharedCrash{
			Crash: c.Crash, Fingerprints: c.Fingerprints, Workspace: c.Workspace,
			CrashAgeMs: now.Sub(c.CrashedAt).Milliseconds(), SentAgeMs: now.Sub(c.SentAt).Milliseconds(), OnTrial: c.OnTrial,
		})
	}
	for _, x := range m.Stores {
		out.Stores = append(out.Stores, &zppeerpb.SharedStore{Name: x.Name, Epoch: x.Epoch, Readable: x.Readable, FreeTokens: int64(x.Free)})
	}
	return out
}

func decodeMessage(in *zppeerpb.ShareRequest, now time.Time) zpshare.Message {
	m := zpshare.Message{Instance: in.Instance, ResetHolders: in.ResetHolders, Domain: in.FailureDomain, Unreachable: in.Dark, Harmless: in.Harmless}
	if !in.WithoutUses {
		m.Uses = decodeUses(in.Uses)
	}
	m.Speeds = decodeSpeeds(in.Speeds)
	m.Parts, m.Expected, m.Saving = decodeParts(in.Parts), decodeParts(in.Expected), decodeParts(in.Saving)
	for _, c := range in.Changing {
		m.Changing = append(m.Changing, zpshare.Changing{Endpoint: c.Endpoint, Left: time.Duration(c.LeftMs) * time.Millisecond})
	}
	for _, c := range in.Crashes {
		m.Crashes = append(m.Crashes, zpquarantine.Report{
			Crash: c.Crash, Fingerprints: c.Fingerprints, Workspace: c.Workspace,
			CrashedAt: now.Add(-milliseconds(c.CrashAgeMs)), SentAt: now.Add(-milliseconds(c.SentAgeMs)), OnTrial: c.OnTrial,
		})
	}
	for _, x := range in.Stores {
		m.Stores = append(m.Stores, zpparts.Store{Name: x.Name, Epoch: x.Epoch, Readable: x.Readable, Free: int(x.FreeTokens)})
	}
	return m
}

func encodeParts(changes []zpparts.Change) []*zppeerpb.SharedPart {
	var out []*zppeerpb.SharedPart
	for _, c := range changes {
		out = append(out, &zppeerpb.SharedPart{Holder: c.Holder, Salt: c.Key.Salt, Part: c.Key.Part, Tokens: int64(c.Tokens)})
	}
	return out
}

func decodeParts(list []*zppeerpb.SharedPart) []zpparts.Change {
	var out []zpparts.Change
	for _, c := range list {
		out = append(out, zpparts.Change{Holder: c.Holder, Key: zpparts.Key{Salt: c.Salt, Part: c.Part}, Tokens: int(c.Tokens)})
	}
	return out
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
