package zppeer

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/internal/zpfleet"
	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zplink"
)

type (
	// Service is the set of calls that daemons make to each other. A daemon uses
	// the same interface for itself, without a connection.
	Service interface {
		Compare(ctx context.Context, instance string, revision int64, askPromise bool) (zpfleet.Comparison, error)
		Quote(ctx context.Context, endpoints []string) (map[string]zpadmission.Quote, error)
		Reserve(ctx context.Context, endpoint string, r zpadmission.Request, slice time.Duration) (zpadmission.Decision, error)
		Release(ctx context.Context, endpoint string, r zpadmission.Result) error
		Held(ctx context.Context, endpoints []string) ([]zpadmission.Holding, error)
		Locate(ctx context.Context, key zphint.Key) ([]zphint.Hint, error)
		Record(ctx context.Context, key zphint.Key, h zphint.Hint, remove bool) error
		Claim(ctx context.Context, shard int, a zpclaim.AcquireRequest) (zpclaim.Decision, error)
		Settle(ctx context.Context, shard int, s zpclaim.Settlement) error
		Suspect(ctx context.Context, fingerprint string, crashes []string) error
		StartFlight(ctx context.Context, fingerprint, id string) (bool, error)
		EndFlight(ctx context.Context, fingerprint, id string, whole bool) error
		GrantBytes(ctx context.Context, link string, bytes int64, urgent bool) (zplink.Grant, error)
		Status(ctx context.Context) (Status, error)
	}

	// Status is the state of a daemon as shown to operators.
	Status struct {
		Instance        string
		Domain          string
		Region          string
		ManifestVersion int64
		Age             time.Duration // time since the configuration was last confirmed to be current
		Mode            string
		OpenRequests    int64
		Partitions      int
		LeaseValid      bool
	}

	// ServiceResolver resolves members and addresses to a Service: the local one, or a
	// RemoteService.
	ServiceResolver struct {
		Self        string // instance
		SelfAddress string
		Local       Service
		Dialer      *Dialer
	}
)

// ForMember returns the service of a member.
func (x *ServiceResolver) ForMember(m zpassign.Member) Service {
	if m.Instance == x.Self {
		return x.Local
	}
	return x.ForAddress(m.PeerAddress)
}

// ForAddress returns the service at an address.
func (x *ServiceResolver) ForAddress(address string) Service {
	if address == x.SelfAddress {
		return x.Local
	}
	return &RemoteService{Dialer: x.Dialer, Address: address, Self: x.Self}
}

// Compare requests the configuration changes after revision from the daemon at
// address.
func (x *ServiceResolver) Compare(ctx context.Context, address string, revision int64, askPromise bool) (zpfleet.Comparison, error) {
	return x.ForAddress(address).Compare(ctx, x.Self, revision, askPromise)
}

// HeldBy returns the reservations on the endpoints that the daemon at address has
// started.
func (x *ServiceResolver) HeldBy(ctx context.Context, address string, endpoints []string) ([]zpadmission.Holding, error) {
	return x.ForAddress(address).Held(ctx, endpoints)
}
