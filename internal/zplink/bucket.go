// Package zplink budgets the bytes of an inter-region link. The link's owner
// grants them; urgent requests may use all of the budget, others only what is
// above a reserve.
package zplink

import (
	"time"

	"golang.org/x/time/rate"
)

type (
	// Bucket is the budget of one link. It is safe for concurrent use.
	Bucket struct {
		limiter *rate.Limiter
		burst   int
	}

	// Grant answers a request for bytes.
	Grant struct {
		Bytes      int64 // all that was asked for, or 0
		RetryAfter time.Duration
	}
)

// reserveShare is the part of the burst that is kept for urgent requests.
const reserveShare = 0.5

// NewBucket returns a full budget that refills at bytesPerSecond and saves up
// to burst bytes.
func NewBucket(bytesPerSecond, burst int64) *Bucket {
	return &Bucket{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(burst)), burst: int(burst)}
}

// Take grants all of the bytes or none.
func (b *Bucket) Take(bytes int64, urgent bool, now time.Time) Grant {
	floor := 0.0
	if !urgent {
		floor = float64(b.burst) * reserveShare
	}
	lack := float64(bytes) + floor - b.limiter.TokensAt(now)
	if lack > 0 || !b.limiter.AllowN(now, int(bytes)) {
		return Grant{RetryAfter: time.Duration(max(lack, 1) / float64(b.limiter.Limit()) * float64(time.Second))}
	}
	return Grant{Bytes: bytes}
}
