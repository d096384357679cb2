// Package zpclaim stores claims, the durable records that make a non-idempotent
// request run at most once. Claims are sharded; the claims of a shard are stored
// in pages, one platform object each. Conditional updates alone guarantee safety.
// One writer per shard is an optimization that saves platform calls.
package zpclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/zeebo/xxh3"
)

type (
	// State is the state of a claim.
	State string

	// Claim records one non-idempotent request.
	Claim struct {
		Token       string // of the only attempt that may run
		Holder      string // daemon instance that runs the attempt
		BodyHash    string
		State       State
		Status      int // HTTP status of the answer, once finished
		ContentType string
		Answer      []byte
		CreatedAt   time.Time
	}

	// AcquireRequest is a request to claim a key, that is, for the right to run a request.
	AcquireRequest struct {
		Key      string
		Token    string
		Holder   string
		BodyHash string
	}

	// Settlement is the outcome of the attempt that holds a token.
	Settlement struct {
		Key         string
		Token       string
		State       State // StateFinished, StateUnknown or StateReleased
		Status      int
		ContentType string
		Answer      []byte
	}

	// Decision is the reply to an AcquireRequest.
	Decision struct {
		Result Result
		Claim  Claim // the existing claim; empty if granted or the shard is full
	}

	// Result tells whether the caller may run its request.
	Result string
)

// States of a claim.
const (
	StateOpen     State = "open"
	StateFinished State = "finished"
	StateUnknown  State = "unknown"
	StateReleased State = "released" // never stored; the claim is deleted
)

// Results of an AcquireRequest.
const (
	ResultGranted  Result = "granted"  // the caller may run the request
	ResultExists   Result = "exists"   // another attempt has claimed the key
	ResultMismatch Result = "mismatch" // the key was used with another body
	ResultFull     Result = "full"     // the shard has the maximum number of pages
)

// Key returns the key of a claim. The parts are hashed one by one, so that their
// boundaries count.
func Key(workspace, service, idempotencyKey string) string {
	h := sha256.New()
	for _, part := range []string{workspace, service, idempotencyKey} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// BodyHash returns a hash of a request's method, path and body.
func BodyHash(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// ShardOf returns the shard that stores a key.
func ShardOf(key string, shards int) int { return int(xxh3.HashString(key) % uint64(shards)) }
