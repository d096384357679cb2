package zpclaim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// operation is the input of one call in a history: an ask or, if settle is set,
	// the release of a claim.
	operation struct {
		key    string
		token  string
		settle bool
	}

	// outcome is the output of a call. unknown means that the call returned an error,
	// so that it may or may not have taken effect.
	outcome struct {
		result  zpclaim.Result
		unknown bool
	}
)

// keyModel is a sequential model of one key. Its state is the token that holds the
// claim, or "".
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		operationsByKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(operation).key
			operationsByKey[k] = append(operationsByKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range operationsByKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder, in, out := state.(string), input.(operation), output.(outcome)
		switch {
		case in.settle:
			if holder == in.token {
				return true, ""
			}
			return true, holder
		case out.unknown && holder == "":
			return true, in.token
		case out.unknown:
			return true, holder
		case out.result == zpclaim.ResultGranted:
			return holder == "" || holder == in.token, in.token
		default:
			return holder != "", holder
		}
	},
}

// faultyStore returns a store whose calls fail at random, derived from a seed.
func faultyStore(seed uint64) *zpobject.Memory {
	m := zpobject.NewMemory()
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	m.Fault = func(string, string) zpobject.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch n := rng.IntN(10); {
		case n == 0:
			return zpobject.FaultRejected
		case n <= 2:
			return zpobject.FaultResponseLost
		default:
			return zpobject.FaultNone
		}
	}
	return m
}

// runClients has four clients, each with a writer of its own as in separate daemons,
// claim and release three keys concurrently. It returns the history of their calls.
func runClients(seed uint64, m *zpobject.Memory) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			w := newWriter(m)
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			held := map[string]string{}
			for i := range 20 {
				key := fmt.Sprintf("k%d", rng.IntN(3))
				op := operation{key: key, token: fmt.Sprintf("c%d-%d", client, i)}
				if token, ok := held[key]; ok {
					op.settle, op.token = true, token
					delete(held, key)
				}
				start := time.Since(begin).Nanoseconds()
				out := execute(w, op)
				end := time.Since(begin).Nanoseconds()
				if out.unknown {
					end = int64(time.Hour) // it may take effect at any later time
				}
				if out.result == zpclaim.ResultGranted {
					held[key] = op.token
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: op, Call: start, Output: out, Return: end})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

func execute(w *zpclaim.Writer, op operation) outcome {
	if op.settle {
		err := w.Settle(context.Background(), zpclaim.Settlement{Key: op.key, Token: op.token, State: zpclaim.StateReleased})
		return outcome{unknown: err != nil}
	}
	v, err := w.Acquire(context.Background(), newRequest(op.key, op.token))
	return outcome{result: v.Result, unknown: err != nil}
}

var _ = Describe("Concurrent writers on a faulty store", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("are linearizable for each key, seed %d", seed), func() {
			history := runClients(seed, faultyStore(seed))
			// A call of unknown outcome, ask or settlement, may or may not take
			// effect. The model accepts it at any later time, and also after the
			// end of the history.
			Expect(porcupine.CheckOperations(keyModel, history)).To(BeTrue())
		})
	}

	It("are rejected by the model when two tokens are granted the same key", func() {
		history := []porcupine.Operation{
			{ClientId: 0, Input: operation{key: "k", token: "a"}, Output: outcome{result: zpclaim.ResultGranted}, Call: 0, Return: 1},
			{ClientId: 1, Input: operation{key: "k", token: "b"}, Output: outcome{result: zpclaim.ResultGranted}, Call: 2, Return: 3},
		}
		Expect(porcupine.CheckOperations(keyModel, history)).To(BeFalse())
	})
})
