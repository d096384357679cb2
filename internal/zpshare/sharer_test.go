package zpshare_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

// fakePeer records the messages that a daemon receives.
type fakePeer struct {
	mu       sync.Mutex
	instance string
	down     bool
	received []zpshare.Message
	lost     []zpshare.Message // sent while the daemon was down
}

func (p *fakePeer) send(_ context.Context, _ string, m zpshare.Message) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		p.lost = append(p.lost, m)
		return "", errors.New("down")
	}
	p.received = append(p.received, m)
	return p.instance, nil
}

func (p *fakePeer) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// partCount returns how often updates about a part were received.
func (p *fakePeer) partCount(name string) func() int {
	return func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		n := 0
		for _, m := range p.received {
			for _, c := range m.Parts {
				if c.Key.Part == name {
					n++
				}
			}
		}
		return n
	}
}

// messages returns the messages received so far.
func (p *fakePeer) messages() []zpshare.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.received)
}

// lostMessages returns the messages sent so far while the daemon was down.
func (p *fakePeer) lostMessages() []zpshare.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lost)
}

func news(part string) zpshare.Message {
	return zpshare.Message{Parts: []zpparts.Change{{Holder: "e", Key: zpparts.Key{Part: part}, Tokens: 1}}}
}

var _ = Describe("Sharer", func() {
	var peer *fakePeer
	var sharer *zpshare.Sharer
	var usage *zpusage.Tracker
	var sendsLoad atomic.Bool
	var member atomic.Value // instance in the record of the peer

	BeforeEach(func() {
		sendsLoad.Store(true)
		member.Store("p.1")
		peer = &fakePeer{instance: "p.1"}
		usage = zpusage.NewTracker(time.Second)
		sharer = &zpshare.Sharer{
			Self: "self", Domain: "a", Usage: usage,
			Others: func() []zpassign.Member {
				return []zpassign.Member{{Name: "p", Instance: member.Load().(string), PeerAddress: "p:1", Domain: "a"}}
			},
			SendsLoad: sendsLoad.Load, Send: peer.send,
			Snapshot: func(zpassign.Member) zpshare.Message {
				sharer.Alive()
				return news("snapshot")
			},
			Log: zplog.Discard(), Clock: time.Now,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			sharer.Run(ctx)
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		Eventually(peer.partCount("snapshot")).Should(Equal(1))
	})

	It("sends each update once", func() {
		sharer.Add(news("x"))
		Eventually(peer.partCount("x")).Should(Equal(1))
		Consistently(peer.partCount("x"), "150ms").Should(Equal(1))
		Expect(sharer.Alive()).To(HaveKey("p"))
	})

	It("sends the load of endpoints", func() {
		run := usage.Begin("e", 5, 7)
		defer run.End()
		Eventually(func() zpusage.Usage {
			peer.mu.Lock()
			defer peer.mu.Unlock()
			return peer.received[len(peer.received)-1].Uses["e"]
		}).Should(Equal(zpusage.Usage{Requests: 1, PrefillTokens: 5, MemoryTokens: 7}))
	})

	It("sends a snapshot to a daemon that was unreachable", func() {
		peer.update(func() { peer.down = true })
		sharer.Add(news("lost"))
		Eventually(sharer.Alive, "4s").ShouldNot(HaveKey("p"))
		peer.update(func() { peer.down = false })
		Eventually(peer.partCount("snapshot"), "3s").Should(Equal(2))
	})

	It("sends no snapshots to a daemon that does not answer", func() {
		peer.update(func() { peer.down = true })
		Eventually(peer.lostMessages, "4s").Should(HaveLen(4))
		for _, m := range peer.lostMessages() {
			Expect(m.Parts).To(BeEmpty())
		}
		peer.update(func() { peer.down = false })
		Eventually(peer.partCount("snapshot"), "3s").Should(Equal(2))
		sharer.Add(news("x"))
		Eventually(peer.partCount("x")).Should(Equal(1))
	})

	It("sends one snapshot at a time", func() {
		var sending, most atomic.Int64
		crowd := &zpshare.Sharer{
			Self: "self", Domain: "a", Usage: usage,
			Others: func() []zpassign.Member {
				return []zpassign.Member{{Name: "p", PeerAddress: "p:1", Domain: "a"}, {Name: "q", PeerAddress: "q:1", Domain: "a"}, {Name: "r", PeerAddress: "r:1", Domain: "b"}}
			},
			Send: func(_ context.Context, address string, m zpshare.Message) (string, error) {
				if len(m.Parts) > 0 {
					most.Store(max(most.Load(), sending.Add(1)))
					defer sending.Add(-1)
					time.Sleep(100 * time.Millisecond)
				}
				return peer.send(context.Background(), address, m)
			},
			Snapshot: func(to zpassign.Member) zpshare.Message { return news("for " + to.Name) }, Log: zplog.Discard(), Clock: time.Now,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			crowd.Run(ctx)
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		for _, name := range []string{"p", "q", "r"} {
			Eventually(peer.partCount("for "+name), "4s").Should(Equal(1))
		}
		Expect(most.Load()).To(BeEquivalentTo(1))
	})

	It("sends no messages without news when loads go another way", func() {
		sendsLoad.Store(false)
		before := len(peer.messages())
		Consistently(func() int { return len(peer.messages()) }, "1200ms").Should(BeNumerically("<=", before+1))
		sharer.Add(news("x"))
		Eventually(peer.partCount("x")).Should(Equal(1))
	})

	It("sends a snapshot to a daemon whose record shows a restart", func() {
		sendsLoad.Store(false)
		member.Store("p.2")
		Eventually(peer.partCount("snapshot"), "2s").Should(Equal(2))
		Consistently(peer.partCount("snapshot"), "400ms").Should(Equal(2))
	})

	It("sends a snapshot to a restarted daemon", func() {
		peer.update(func() { peer.instance = "p.2" })
		sharer.Add(news("x"))
		Eventually(peer.partCount("snapshot"), "2s").Should(Equal(2))
	})
})
