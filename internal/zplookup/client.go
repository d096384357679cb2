package zplookup

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
)

type (
	// Client updates this daemon's directory with what the owners of the parts of a
	// prompt know. Set the exported fields before use. It is safe for concurrent
	// use.
	Client struct {
		Self   zpassign.Member
		Owners func() *Owners
		Call   func(ctx context.Context, address string, keys []zpparts.Key) (zpparts.Knowledge, error)
		Learn  func(keys []zpparts.Key, k zpparts.Knowledge, now time.Time)
		Log    *zplog.Logger
		Clock  func() time.Time

		mu         sync.Mutex
		answeredAt map[string]time.Time // time of the last answer by part
		retryAt    map[string]time.Time // earliest time of the next query by address
	}

	query struct {
		address string
		keys    []zpparts.Key
	}
)

const (
	// queryTimeout bounds the latency that a query adds to a request. Callers expect
	// the first byte of an answer within a few hundred milliseconds.
	queryTimeout = 80 * time.Millisecond
	// retryPause is the time without queries to an owner that failed to answer. It
	// takes load off the owner and saves callers the wait.
	retryPause = 500 * time.Millisecond
	// answerMaxAge is how long an answer is reused for a part at the beginning of a
	// prompt, which many prompts have in common. It is shorter than the time for
	// which the state of a store is valid.
	answerMaxAge = 500 * time.Millisecond
	// answersLimit is the number of remembered answer times above which all of them
	// are dropped.
	answersLimit = 4096
)

// Query queries the owners of parts and waits for their answers. The directory
// entries of a part whose owner does not answer stay unchanged. The last part is
// queried even if an answer about it is recent, because it determines where the
// prompt should go.
func (a *Client) Query(ctx context.Context, parts [][]zpparts.Key) {
	queries := a.plan(parts, a.Clock())
	if len(queries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var pending sync.WaitGroup
	for _, q := range queries {
		pending.Go(func() { a.send(ctx, q) })
	}
	pending.Wait()
}

// plan groups the parts to be queried by owner. Each part has one key per weight
// version.
func (a *Client) plan(parts [][]zpparts.Key, now time.Time) []query {
	owners := a.Owners()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []query
	for i, keys := range parts {
		if len(keys) == 0 {
			continue
		}
		part := keys[0].Part
		owner, ok := owners.InRegion(a.Self.Region, part)
		if !ok || owner.Name == a.Self.Name || now.Before(a.retryAt[owner.PeerAddress]) {
			continue
		}
		if i < len(parts)-1 && now.Sub(a.answeredAt[part]) < answerMaxAge {
			continue
		}
		out = addQuery(out, owner.PeerAddress, keys)
	}
	return out
}

func addQuery(list []query, address string, keys []zpparts.Key) []query {
	for i := range list {
		if list[i].address == address {
			list[i].keys = append(list[i].keys, keys...)
			return list
		}
	}
	return append(list, query{address, append([]zpparts.Key(nil), keys...)})
}

func (a *Client) send(ctx context.Context, q query) {
	k, err := a.Call(ctx, q.address, q.keys)
	now := a.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answeredAt == nil || len(a.answeredAt) > answersLimit {
		a.answeredAt = map[string]time.Time{}
	}
	if a.retryAt == nil {
		a.retryAt = map[string]time.Time{}
	}
	if err != nil {
		a.Log.Emit(zplog.OwnerUnresponsive, zplog.Fields{"address": q.address, "keys": len(q.keys), "error": err.Error(), "spared_ms": retryPause.Milliseconds()})
		a.retryAt[q.address] = now.Add(retryPause)
		return
	}
	delete(a.retryAt, q.address)
	a.Learn(q.keys, k, now)
	for _, key := range q.keys {
		a.answeredAt[key.Part] = now
	}
}
