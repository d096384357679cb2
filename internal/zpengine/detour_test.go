package zpengine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// newHangingAddress returns an address at which connects hang, as its listener accepts nothing.
func newHangingAddress() string {
	GinkgoHelper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(syscall.Close, fd)
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	name, err := syscall.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		DeferCleanup(conn.Close)
	}
	Fail("connects do not hang")
	return ""
}

// detouringSender is a sender that cannot connect to its endpoint by itself.
type detouringSender struct {
	*zpengine.Sender
	address string // to which nobody listens here
	opened  *atomic.Int32
	lastVia atomic.Pointer[net.Conn]
}

// newDetouringSender returns a sender for an endpoint that another daemon reaches at target.
func newDetouringSender(target string) *detouringSender {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(lis.Close()).To(Succeed())
	s := &detouringSender{address: lis.Addr().String(), opened: &atomic.Int32{}}
	detour := &zpdetour.Dialer{
		Tracker: &zpdetour.Tracker{}, Region: "n", Log: zplog.Discard(), Clock: time.Now,
		Peers: func() []zpdetour.Peer {
			return []zpdetour.Peer{{Name: "peer", Address: "peer", Domain: "b", Region: "n"}}
		},
		Open: func(ctx context.Context, _, _ string) (net.Conn, error) {
			s.opened.Add(1)
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
			if err == nil {
				s.lastVia.Store(&conn)
			}
			return conn, err
		},
	}
	s.Sender = &zpengine.Sender{ConnectTimeout: time.Second, SilenceTimeout: time.Second, IdleTimeout: time.Second, Detour: detour}
	s.Open()
	DeferCleanup(s.Close)
	return s
}

func (s *detouringSender) send(ctx context.Context, pooled bool, gate *zpengine.Gate) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/", strings.NewReader("request"))
	Expect(err).NotTo(HaveOccurred())
	res, err := s.Send(ctx, req, pooled, gate, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

var _ = Describe("A sender that cannot connect to an endpoint", func() {
	ctx := context.Background()
	var requests atomic.Int32
	newServer := func() *httptest.Server {
		requests.Store(0)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			_, _ = io.WriteString(w, "answer")
		}))
		DeferCleanup(server.Close)
		return server
	}

	DescribeTable("sends requests through another daemon, each on a connection of its own",
		func(pooled bool) {
			server := newServer()
			s := newDetouringSender(server.Listener.Addr().String())
			for n := range int32(3) {
				gate := newGate()
				Expect(s.send(ctx, pooled, gate)).To(Equal("answer"))
				Expect(gate.Through()).To(Equal("peer"))
				Expect(s.opened.Load()).To(Equal(n + 1))
			}
			Expect(requests.Load()).To(Equal(int32(3)))
		},
		Entry("ones that may be repeated", true),
		Entry("ones that must not be repeated", false),
	)

	DescribeTable("has sent nothing if no other daemon may be used",
		func(pooled bool) {
			s := newDetouringSender(newServer().Listener.Addr().String())
			gate := newGate()
			_, err := s.send(zpdetour.WithRegions(ctx, func(string) bool { return false }), pooled, gate)
			Expect(err).To(HaveOccurred())
			Expect(gate.Sent()).To(BeFalse())
			Expect(requests.Load()).To(BeZero())
		},
		Entry("a request that may be repeated", true),
		Entry("one that must not be repeated", false),
	)

	// Guards against a second run of a booking whose connection through another daemon was lost.
	It("does not send a request again once a byte of it was sent through another daemon", func() {
		var s *detouringSender
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			requests.Add(1)
			_ = (*s.lastVia.Load()).Close()
		}))
		DeferCleanup(server.Close)
		requests.Store(0)
		s = newDetouringSender(server.Listener.Addr().String())
		gate := newGate()
		_, err := s.send(ctx, false, gate)
		Expect(err).To(HaveOccurred())
		Expect(gate.Sent()).To(BeTrue())
		Expect(requests.Load()).To(Equal(int32(1)))
	})

	// Guards against the crash of an endpoint that refuses the connections of this daemon alone.
	It("does not take the endpoint for crashed while another daemon connects to it", func() {
		s := newDetouringSender(newServer().Listener.Addr().String())
		Expect(s.IsRefusing(ctx, s.address, 0)).To(BeFalse())
	})

	// Guards against a stream that a crash cuts off and that passes for complete, as this daemon's connects hang.
	DescribeTable("asks others whether the endpoint has crashed where its own connects hang",
		func(target func() string, isRefusing bool) {
			s := newDetouringSender(target())
			s.address = newHangingAddress()
			s.Detour.Tracker.RecordDetour(s.address, time.Now())
			ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			Expect(s.IsRefusing(ctx, s.address, 20*time.Millisecond)).To(Equal(isRefusing))
		},
		Entry("it has", func() string { return "127.0.0.1:1" }, true),
		Entry("it has not", func() string { return newServer().Listener.Addr().String() }, false),
	)

	// Guards against the listener of an endpoint that outlives its other connections for a moment.
	DescribeTable("watches a connection through another daemon",
		func(isBlocked bool) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			go func() {
				defer GinkgoRecover()
				conn, err := lis.Accept()
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(30 * time.Millisecond)
				_ = lis.Close()
				_ = conn.Close()
			}()
			s := newDetouringSender(lis.Addr().String())
			if isBlocked {
				s.Detour.Tracker.RecordDetour(s.address, time.Now())
			}
			Expect(s.IsRefusing(ctx, s.address, 90*time.Millisecond)).To(BeTrue())
		},
		Entry("where its own take a detour", true),
		Entry("where its own are refused", false),
	)

	It("takes it for crashed if others cannot connect to it either", func() {
		s := newDetouringSender("127.0.0.1:1")
		Expect(s.IsRefusing(ctx, s.address, 0)).To(BeTrue())
	})

	// Guards against a crash that is not found while other daemons were just killed.
	It("takes it for crashed if no other daemon answers, while this one reaches another endpoint", func() {
		s := newDetouringSender("")
		s.Detour.Open = func(context.Context, string, string) (net.Conn, error) { return nil, zpdetour.ErrPeerFailed }
		Expect(s.IsRefusing(ctx, s.address, 0)).To(BeFalse())
		other := newServer().Listener.Addr().String()
		s.Detour.Endpoints = func() []string { return []string{s.address, other} }
		Expect(s.IsRefusing(ctx, s.address, 0)).To(BeTrue())
	})
})
