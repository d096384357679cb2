package zpdetour_test

import (
	"context"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// newServer returns the server of a daemon that connects as n tells.
func newServer(n *testNetwork) (*zpdetour.Server, *zpdetour.Dialer) {
	d := newDialer(n)
	return &zpdetour.Server{
		Dial: d.DialDirect, Tracker: d.Tracker, IsEndpoint: func(string) bool { return true }, MaxOpen: 16, Log: zplog.Discard(), Clock: time.Now,
	}, d
}

// block makes an address one that the daemon has reached through another one alone.
func block(t *zpdetour.Tracker, address string) {
	GinkgoHelper()
	t.RecordDetour(address, time.Now())
	t.RecordConnect("other", time.Now())
	Expect(t.IsBlocked(address, time.Now())).To(BeTrue())
	Expect(t.IsCut(time.Now())).To(BeFalse())
}

var _ = Describe("Server", func() {
	ctx := context.Background()

	// Guards against daemons that refuse each other for a second after all of them connect again.
	It("connects to an address that was blocked, and finds the way back by it", func() {
		s, d := newServer(&testNetwork{})
		block(d.Tracker, "a")
		conn, err := s.Open(ctx, "a", time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Expect(d.Tracker.IsBlocked("a", time.Now())).To(BeFalse())
	})

	DescribeTable("cannot tell about a blocked address to which its own connect fails",
		func(dialErr error) {
			s, d := newServer(&testNetwork{direct: map[string]error{"a": dialErr}})
			block(d.Tracker, "a")
			_, err := s.Open(ctx, "a", time.Second)
			Expect(err).To(MatchError(zpdetour.ErrUndecided))
			Expect(s.OpenConnections()).To(BeZero())
		},
		Entry("it refuses", syscall.ECONNREFUSED),
		Entry("it does not answer", errHang),
	)

	// Guards against connects that wait for the same silence, one for each request of others.
	It("has one connect at a time on its way to a blocked address", func() {
		s, d := newServer(&testNetwork{})
		block(d.Tracker, "a")
		began, end := make(chan string, 8), make(chan struct{})
		s.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
			began <- address
			<-end
			return nil, errHang
		}
		first := make(chan error, 1)
		go func() {
			_, err := s.Open(ctx, "a", time.Second)
			first <- err
		}()
		Eventually(began).Should(Receive())
		for range 3 {
			_, err := s.Open(ctx, "a", time.Second)
			Expect(err).To(MatchError(zpdetour.ErrUndecided))
		}
		Expect(began).To(BeEmpty())
		close(end)
		Eventually(first).Should(Receive(MatchError(zpdetour.ErrUndecided)))
		_, err := s.Open(ctx, "a", time.Second)
		Expect(err).To(MatchError(zpdetour.ErrUndecided))
		Expect(began).To(Receive())
	})

	It("tries no connect while it is cut off itself", func() {
		n := &testNetwork{}
		s, d := newServer(n)
		d.Tracker.RecordDetour("a", time.Now())
		d.Tracker.RecordDetour("b", time.Now())
		_, err := s.Open(ctx, "a", time.Second)
		Expect(err).To(MatchError(zpdetour.ErrPeerCut))
		Expect(n.dialed).To(BeEmpty())
	})

	Describe("while its daemon stops", func() {
		var s *zpdetour.Server
		var hasEnded chan struct{}
		var first net.Conn

		shutDown := func(within time.Duration) {
			GinkgoHelper()
			var err error
			s, _ = newServer(&testNetwork{})
			first, err = s.Open(ctx, "a", time.Second)
			Expect(err).NotTo(HaveOccurred())
			ending, cancel := context.WithTimeout(ctx, within)
			DeferCleanup(cancel)
			hasEnded = make(chan struct{})
			go func() {
				s.Shutdown(ending)
				close(hasEnded)
			}()
			Consistently(hasEnded, 50*time.Millisecond).ShouldNot(BeClosed())
		}

		// Guards against seconds without any way while all daemons that connect to endpoints are being stopped.
		It("connects for as long as another connection is open", func() {
			shutDown(10 * time.Second)
			second, err := s.Open(ctx, "a", time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(first.Close()).To(Succeed())
			Consistently(hasEnded, 50*time.Millisecond).ShouldNot(BeClosed())
			Expect(second.Close()).To(Succeed())
			Eventually(hasEnded, time.Second).Should(BeClosed())
			_, err = s.Open(ctx, "a", time.Second)
			Expect(err).To(MatchError(zpdetour.ErrPeerCut))
		})

		// Guards against requests that break off because the daemon ends before they do.
		It("does not connect shortly before it must end", func() {
			shutDown(time.Second)
			_, err := s.Open(ctx, "a", time.Second)
			Expect(err).To(MatchError(zpdetour.ErrPeerCut))
			Expect(first.Close()).To(Succeed())
			Eventually(hasEnded, 500*time.Millisecond).Should(BeClosed())
		})
	})
})
