// Package zplink limits the bytes sent over an inter-region link. The link's owner
// grants them; urgent requests may use the whole bucket, others only what is
// above a reserve.
package zplink

import (
	"time"

	"golang.org/x/time/rate"
)

type (
	// Bucket is the token bucket of one link. It is safe for concurrent use.
	Bucket struct {
		limiter *rate.Limiter
		burst   int
	}

	// Grant is the result of a request for bytes.
	Grant struct {
		Bytes      int64 // the requested number, or 0
		RetryAfter time.Duration
	}
)

// reserveShare is the fraction of the burst reserved for urgent requests.
const reserveShare = 0.5

// NewBucket returns a full Bucket that refills at bytesPerSecond and holds up
// to burst bytes.
func NewBucket(bytesPerSecond, burst int64) *Bucket {
	return &Bucket{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(burst)), burst: int(burst)}
}

// Take grants all of the bytes or none.
func (b *Bucket) Take(bytes int64, urgent bool, now time.Time) Grant {
	reserve := 0.0
	if !urgent {
		reserve = float64(b.burst) * reserveShare
	}
	shortfall := float64(bytes) + reserve - b.limiter.TokensAt(now)
	if shortfall > 0 || !b.limiter.AllowN(now, int(bytes)) {
		return Grant{RetryAfter: time.Duration(max(shortfall, 1) / float64(b.limiter.Limit()) * float64(time.Second))}
	}
	return Grant{Bytes: bytes}
}
