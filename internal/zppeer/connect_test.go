package zppeer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
)

// openFunc opens a connection to an endpoint for another daemon.
type openFunc = func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

func dialEndpoint(ctx context.Context, address string, _ time.Duration) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// serveConnects serves connections for others and returns the address, and a function that
// ends the daemon.
func serveConnects(open openFunc) (address string, kill func()) {
	lis, err := zppeer.Listen("127.0.0.1:0", nil)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = zppeer.ServeSharing(ctx, lis, &zppeer.SharingHandler{OpenEndpoint: open}) }()
	return lis.Addr().String(), cancel
}

func newPeerDialer() *zppeer.Dialer {
	d := &zppeer.Dialer{Timeout: time.Second}
	d.Open()
	DeferCleanup(func() { _ = d.Close() })
	return d
}

// listenEndpoint serves each connection to an endpoint with serve.
func listenEndpoint(serve func(conn *net.TCPConn)) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return lis.Addr().String()
}

var _ = Describe("A connection to an endpoint through another daemon", func() {
	ctx := context.Background()
	open := func(peer, endpoint string) net.Conn {
		GinkgoHelper()
		conn, err := zppeer.OpenEndpoint(ctx, newPeerDialer(), peer, endpoint)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}

	It("passes bytes on in both directions", func() {
		peer, _ := serveConnects(dialEndpoint)
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) { _, _ = io.Copy(conn, conn) }))
		body := bytes.Repeat([]byte("0123456789"), 50_000)
		go func() { _, _ = conn.Write(body) }()
		got := make([]byte, len(body))
		_, err := io.ReadFull(conn, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, body)).To(BeTrue())
		Expect(conn.Close()).To(Succeed())
	})

	It("ends as the endpoint ends it", func() {
		peer, _ := serveConnects(dialEndpoint)
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) {
			_, _ = conn.Write([]byte("all"))
			_ = conn.Close()
		}))
		Expect(io.ReadAll(conn)).To(Equal([]byte("all")))
	})

	// Guards against a response that was cut off by a reset and looks complete.
	It("is reset if the endpoint resets it", func() {
		peer, _ := serveConnects(dialEndpoint)
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) {
			_, _ = conn.Write([]byte("part"))
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}))
		_, err := conn.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(conn)
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(string(got)).To(Equal("part"))
	})

	// Guards against the end of another daemon, taken for the end of a response.
	It("is reset if the other daemon ends", func() {
		peer, kill := serveConnects(dialEndpoint)
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) { _, _ = conn.Write([]byte("part")) }))
		_, err := io.ReadFull(conn, make([]byte, 4))
		Expect(err).NotTo(HaveOccurred())
		kill()
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against requests that never end because their endpoint does not read the body.
	It("is closed at once while a write is blocked", func() {
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		peer, _ := serveConnects(dialEndpoint)
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) {
			<-stop
			_ = conn.Close()
		}))
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = conn.Write(make([]byte, 64<<20))
		}()
		Consistently(written, "300ms").ShouldNot(BeClosed())
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_ = conn.Close()
		}()
		Eventually(closed, "1s").Should(BeClosed())
		Eventually(written, "1s").Should(BeClosed())
	})

	// Guards against work for callers that have left.
	It("closes the connection to the endpoint at once when it is closed", func() {
		closed := make(chan time.Time, 1)
		peer, _ := serveConnects(dialEndpoint)
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) {
			_, _ = io.Copy(io.Discard, conn)
			closed <- time.Now()
		}))
		_, err := conn.Write([]byte("request"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Eventually(closed, 150*time.Millisecond).Should(Receive())
	})

	It("uses one connection between the daemons for several endpoints in turn", func() {
		peer, _ := serveConnects(dialEndpoint)
		endpoint := listenEndpoint(func(conn *net.TCPConn) { _, _ = io.Copy(conn, conn) })
		d := newPeerDialer()
		for range 5 {
			conn, err := zppeer.OpenEndpoint(ctx, d, peer, endpoint)
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(conn, make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}
	})

	DescribeTable("is not opened, and nothing is sent, if",
		func(openErr, expected error) {
			peer, _ := serveConnects(func(context.Context, string, time.Duration) (net.Conn, error) { return nil, openErr })
			_, err := zppeer.OpenEndpoint(ctx, newPeerDialer(), peer, "127.0.0.1:1")
			Expect(err).To(MatchError(expected))
		},
		Entry("the endpoint refuses it", syscall.ECONNREFUSED, syscall.ECONNREFUSED),
		Entry("the endpoint does not answer", errors.New("timeout"), zpdetour.ErrNoPath),
		Entry("the other daemon is cut off, too", zpdetour.ErrPeerCut, zpdetour.ErrPeerCut),
		Entry("the other daemon has no room", zpdetour.ErrBusy, zpdetour.ErrBusy),
		Entry("the other daemon cannot tell", errors.Join(zpdetour.ErrUndecided, syscall.ECONNREFUSED), zpdetour.ErrUndecided),
	)

	It("is not opened through a daemon that is gone", func() {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(lis.Close()).To(Succeed())
		_, err = zppeer.OpenEndpoint(ctx, newPeerDialer(), lis.Addr().String(), "127.0.0.1:1")
		Expect(err).To(MatchError(zpdetour.ErrPeerFailed))
	})

	It("is not opened through a daemon of a version that does not know the call", func() {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serving, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go func() { _ = drpcserver.New(drpcmux.New()).Serve(serving, lis) }()
		_, err = zppeer.OpenEndpoint(ctx, newPeerDialer(), lis.Addr().String(), "127.0.0.1:1")
		Expect(err).To(MatchError(zpdetour.ErrUnsupported))
	})

	It("is given up when the request's context ends before it is open", func() {
		peer, _ := serveConnects(func(ctx context.Context, _ string, _ time.Duration) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, err := zppeer.OpenEndpoint(short, newPeerDialer(), peer, "127.0.0.1:1")
		Expect(err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	})
})

// serveDetours serves connections for others as a daemon does, with dial in place of its own.
func serveDetours(dial func(ctx context.Context, network, address string) (net.Conn, error)) (address string, server *zpdetour.Server) {
	server = &zpdetour.Server{
		Dial: dial, Tracker: &zpdetour.Tracker{}, IsEndpoint: func(string) bool { return true },
		MaxOpen: 16, Log: zplog.Discard(), Clock: time.Now,
	}
	address, _ = serveConnects(server.Open)
	return address, server
}

var _ = Describe("The end of a connection to an endpoint through another daemon", func() {
	ctx := context.Background()
	open := func(peer, endpoint string) net.Conn {
		GinkgoHelper()
		conn, err := zppeer.OpenEndpoint(ctx, newPeerDialer(), peer, endpoint)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}

	// Guards against a response that was cut off by a reset and looks complete.
	It("is a reset if a write of the other daemon has got the error of the reset", func() {
		peer, _ := serveDetours(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			for err == nil {
				if _, writeErr := conn.Write([]byte("x")); writeErr != nil {
					break
				}
			}
			return conn, err
		})
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}))
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against work for callers that have left while their body is on the way.
	It("reaches an endpoint that does not read", func() {
		closed := make(chan struct{})
		accepted := make(chan struct{})
		peer, server := serveDetours((&net.Dialer{}).DialContext)
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) {
			close(accepted)
			defer close(closed)
			for { // looks at the state alone, as an endpoint that works on a request
				time.Sleep(time.Millisecond)
				if _, err := conn.Write([]byte("x")); err != nil {
					return
				}
			}
		}))
		<-accepted
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write(make([]byte, 64<<20))
			written <- err
		}()
		Consistently(written, 300*time.Millisecond).ShouldNot(Receive())
		started := time.Now()
		Expect(conn.Close()).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond))
		Eventually(written, 100*time.Millisecond).Should(Receive(HaveOccurred()))
		Eventually(closed, 400*time.Millisecond).Should(BeClosed())
		Eventually(server.OpenConnections, 100*time.Millisecond).Should(BeZero())
	})

	// Guards against the end of the connection between daemons while a caller reads slowly.
	It("does not come while a caller reads nothing for seconds", func() {
		size := 32 << 20
		peer, _ := serveDetours((&net.Dialer{}).DialContext)
		conn := open(peer, listenEndpoint(func(conn *net.TCPConn) {
			_, _ = conn.Write(make([]byte, size))
			_ = conn.Close()
		}))
		time.Sleep(4 * time.Second)
		got, err := io.Copy(io.Discard, conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(int64(size)))
		Expect(conn.Close()).To(Succeed())
	})
})
