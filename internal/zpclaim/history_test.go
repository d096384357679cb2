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
	// step is one call of a history.
	step struct {
		key    string
		token  string
		settle bool
	}

	// seen is what the call returned; unknown stands for no answer.
	seen struct {
		result  zpclaim.Result
		unknown bool
	}
)

// register models one key: the token that has claimed it, or "".
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(step).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder, in, out := state.(string), input.(step), output.(seen)
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

// faulty returns a store whose calls fail at random from a seed.
func faulty(seed uint64) *zpobject.Memory {
	m := zpobject.NewMemory()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	m.Fault = func(string, string) zpobject.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch n := random.IntN(10); {
		case n == 0:
			return zpobject.FaultDown
		case n <= 2:
			return zpobject.FaultLost
		default:
			return zpobject.FaultNone
		}
	}
	return m
}

// run lets several writers, each as one daemon, claim and release a few keys.
func run(seed uint64, m *zpobject.Memory) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			w := writer(m)
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			held := map[string]string{}
			for i := range 20 {
				key := fmt.Sprintf("k%d", random.IntN(3))
				s := step{key: key, token: fmt.Sprintf("c%d-%d", client, i)}
				if token, ok := held[key]; ok {
					s.settle, s.token = true, token
					delete(held, key)
				}
				call := time.Since(begin).Nanoseconds()
				out := do(w, s)
				end := time.Since(begin).Nanoseconds()
				if out.unknown {
					end = int64(time.Hour) // it may take effect any time later
				}
				if out.result == zpclaim.ResultGranted {
					held[key] = s.token
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: s, Call: call, Output: out, Return: end})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

func do(w *zpclaim.Writer, s step) seen {
	if s.settle {
		err := w.Settle(context.Background(), zpclaim.Settlement{Key: s.key, Token: s.token, State: zpclaim.StateReleased})
		return seen{unknown: err != nil}
	}
	v, err := w.Ask(context.Background(), ask(s.key, s.token))
	return seen{result: v.Result, unknown: err != nil}
}

var _ = Describe("History of concurrent writers under faults", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("is that of one register per key, seed %d", seed), func() {
			history := run(seed, faulty(seed))
			// A settlement of unknown outcome may or may not take effect, and an
			// ask of unknown outcome too; both are modelled as possible at any
			// later time, or never within the history.
			Expect(porcupine.CheckOperations(register, history)).To(BeTrue())
		})
	}

	It("is refused by the check when two tokens are granted", func() {
		history := []porcupine.Operation{
			{ClientId: 0, Input: step{key: "k", token: "a"}, Output: seen{result: zpclaim.ResultGranted}, Call: 0, Return: 1},
			{ClientId: 1, Input: step{key: "k", token: "b"}, Output: seen{result: zpclaim.ResultGranted}, Call: 2, Return: 3},
		}
		Expect(porcupine.CheckOperations(register, history)).To(BeFalse())
	})
})
