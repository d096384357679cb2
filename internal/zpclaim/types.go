// Package zpclaim keeps claims: the durable record that makes a non-idempotent
// request run at most once. Claims live in pages of sharded platform objects.
// Safety rests on conditional updates alone; having one writer for a shard
// only saves calls.
package zpclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/zeebo/xxh3"
)

type (
	// State is the stage of a claim.
	State string

	// Claim is one non-idempotent request.
	Claim struct {
		Token       string // of the one attempt that may run
		Holder      string // instance that runs it
		BodyHash    string
		State       State
		Status      int // of the answer, once finished
		ContentType string
		Answer      []byte
		At          time.Time
	}

	// Ask asks for the right to run a request.
	Ask struct {
		Key      string
		Token    string
		Holder   string
		BodyHash string
	}

	// Settlement records how the attempt with a token ended.
	Settlement struct {
		Key         string
		Token       string
		State       State // StateFinished, StateUnknown or StateReleased
		Status      int
		ContentType string
		Answer      []byte
	}

	// Verdict answers an Ask.
	Verdict struct {
		Result Result
		Claim  Claim // the claim that stands, unless granted
	}

	// Result says what the asker may do.
	Result string
)

// States of a claim.
const (
	StateOpen     State = "open"
	StateFinished State = "finished"
	StateUnknown  State = "unknown"
	StateReleased State = "released" // never stored: the claim is removed
)

// Results of an Ask.
const (
	ResultGranted  Result = "granted"  // run it now
	ResultExists   Result = "exists"   // another attempt has claimed it
	ResultMismatch Result = "mismatch" // the key was used with another body
	ResultFull     Result = "full"     // the shard holds too many claims
)

// Key returns the name under which a claim is kept.
func Key(workspace, service, idempotencyKey string) string {
	h := sha256.New()
	for _, part := range []string{workspace, service, idempotencyKey} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// BodyHash identifies the content of a request.
func BodyHash(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// ShardOf returns the shard of a key.
func ShardOf(key string, shards int) int { return int(xxh3.HashString(key) % uint64(shards)) }
