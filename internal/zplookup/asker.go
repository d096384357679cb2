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
	// Asker brings this daemon's directory up to date on the parts of a prompt. Set
	// the exported fields before use. It is safe for concurrent use.
	Asker struct {
		Self   zpassign.Member
		Owners func() *Owners
		Call   func(ctx context.Context, address string, keys []zpparts.Key) (zpparts.Knowledge, error)
		Learn  func(keys []zpparts.Key, k zpparts.Knowledge, now time.Time)
		Log    *zplog.Logger
		Clock  func() time.Time

		mu     sync.Mutex
		asked  map[string]time.Time // part to its last answer
		silent map[string]time.Time // address to the time until which it is not asked
	}

	question struct {
		address string
		keys    []zpparts.Key
	}
)

const (
	// askTimeout bounds what a question may add to the wait of a caller, who
	// expects a first answer within some hundred milliseconds.
	askTimeout = 80 * time.Millisecond
	// silentPause spares an owner that has not answered, and its callers the wait.
	silentPause = 500 * time.Millisecond
	// commonAge is for how long an answer about a part that many prompts begin with
	// is used. It is below the age up to which the state of a store is used.
	commonAge = 500 * time.Millisecond
	// askedLimit bounds the memory of answers.
	askedLimit = 4096
)

// Look asks the owners of parts what they know, and waits for the answers.
// Parts whose owners do not answer are left as they are known here. The last
// part is always asked for: it tells where the prompt should go.
func (a *Asker) Look(ctx context.Context, parts [][]zpparts.Key) {
	questions := a.plan(parts, a.Clock())
	if len(questions) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var asking sync.WaitGroup
	for _, q := range questions {
		asking.Go(func() { a.ask(ctx, q) })
	}
	asking.Wait()
}

// plan groups the parts by owner; each part has a key for each weight version.
func (a *Asker) plan(parts [][]zpparts.Key, now time.Time) []question {
	owners := a.Owners()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []question
	for i, keys := range parts {
		if len(keys) == 0 {
			continue
		}
		part := keys[0].Part
		owner, ok := owners.In(a.Self.Region, part)
		if !ok || owner.Name == a.Self.Name || now.Before(a.silent[owner.Address]) {
			continue
		}
		if i < len(parts)-1 && now.Sub(a.asked[part]) < commonAge {
			continue
		}
		out = addQuestion(out, owner.Address, keys)
	}
	return out
}

func addQuestion(list []question, address string, keys []zpparts.Key) []question {
	for i := range list {
		if list[i].address == address {
			list[i].keys = append(list[i].keys, keys...)
			return list
		}
	}
	return append(list, question{address, append([]zpparts.Key(nil), keys...)})
}

func (a *Asker) ask(ctx context.Context, q question) {
	k, err := a.Call(ctx, q.address, q.keys)
	now := a.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asked == nil || len(a.asked) > askedLimit {
		a.asked = map[string]time.Time{}
	}
	if a.silent == nil {
		a.silent = map[string]time.Time{}
	}
	if err != nil {
		a.Log.Emit(zplog.OwnerSilent, zplog.Fields{"address": q.address, "keys": len(q.keys), "error": err.Error(), "spared_ms": silentPause.Milliseconds()})
		a.silent[q.address] = now.Add(silentPause)
		return
	}
	delete(a.silent, q.address)
	a.Learn(q.keys, k, now)
	for _, key := range q.keys {
		a.asked[key.Part] = now
	}
}
