package zpnet_test

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
)

const (
	connectTimeout = time.Second
	maxPause       = 1200 * time.Millisecond // of a sound peer in these specs
	timerSlack     = 800 * time.Millisecond  // of the kernel's timers and a busy VM
)

// dialSilence returns both ends of a connection that was dialled with a silence timeout.
func dialSilence(timeout time.Duration) (near, far net.Conn) {
	GinkgoHelper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = lis.Close() }()
	near, err = zpnet.NewDialer(connectTimeout, timeout).DialContext(context.Background(), "tcp", lis.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	far, err = lis.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = near.Close() // both may have been closed by a spec
		_ = far.Close()
	})
	// Probes of its own would tell the dialled end that its peer is there.
	Expect(far.(*net.TCPConn).SetKeepAlive(false)).To(Succeed())
	return near, far
}

// control calls f with the descriptor of a connection.
func control(conn net.Conn, f func(fd int) error) {
	GinkgoHelper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	Expect(raw.Control(func(fd uintptr) { err = f(int(fd)) })).To(Succeed())
	Expect(err).NotTo(HaveOccurred())
}

// silence makes the kernel of an end drop all that it receives, as if its VM had lost power.
func silence(conn net.Conn) {
	GinkgoHelper()
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	control(conn, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
}

// endSilence ends the effect of silence.
func endSilence(conn net.Conn) {
	GinkgoHelper()
	control(conn, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// timeToError returns how long a read takes to fail.
func timeToError(conn net.Conn) time.Duration {
	GinkgoHelper()
	start := time.Now()
	Expect(conn.SetReadDeadline(start.Add(10 * time.Second))).To(Succeed())
	_, err := conn.Read(make([]byte, 1))
	Expect(err).To(MatchError(syscall.ETIMEDOUT))
	return time.Since(start)
}

// expectConnected sends a byte each way.
func expectConnected(near, far net.Conn) {
	GinkgoHelper()
	for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
		_, err := ends[0].Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(ends[1].SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = ends[1].Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	}
}

// inParallel runs a spec of several connections at once, as each takes seconds.
func inParallel(n int, f func(i int)) {
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			defer GinkgoRecover()
			f(i)
		})
	}
	running.Wait()
}

var _ = Describe("A connection to a peer that falls silent", func() {
	DescribeTable("fails after the silence timeout",
		func(timeout time.Duration) {
			inParallel(2, func(i int) {
				near, far := dialSilence(timeout)
				expectConnected(near, far)
				silence(far)
				if i > 0 {
					_, err := near.Write([]byte("x"))
					Expect(err).NotTo(HaveOccurred())
				}
				Expect(timeToError(near)).To(BeNumerically("~", timeout+timerSlack/2, timerSlack/2+50*time.Millisecond))
			})
		},
		Entry("to a daemon or the store", 2*time.Second),
		Entry("to an endpoint", zpnet.SilenceTimeout(maxPause)),
	)

	// Guards against a sound endpoint that loses its connections as it misses one probe.
	It("lasts over a pause, idle or with sent bytes", func() {
		const phases, phase = 8, 250 * time.Millisecond
		inParallel(2*phases, func(i int) {
			near, far := dialSilence(zpnet.SilenceTimeout(maxPause))
			expectConnected(near, far)
			time.Sleep(time.Duration(i/2) * phase)
			silence(far)
			if i%2 > 0 {
				_, err := near.Write([]byte("x"))
				Expect(err).NotTo(HaveOccurred())
			}
			time.Sleep(maxPause)
			endSilence(far)
			if i%2 > 0 {
				Expect(far.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				_, err := far.Read(make([]byte, 1))
				Expect(err).NotTo(HaveOccurred())
			}
			time.Sleep(3 * time.Second) // a probe that gave up would have ended it by now
			expectConnected(near, far)
		})
	})

	// Guards against an endpoint that stops reading a long body for a moment, and acknowledges all the time.
	It("lasts over a pause in which the peer reads nothing", func() {
		near, far := dialSilence(zpnet.SilenceTimeout(maxPause))
		sent := make(chan error, 1)
		go func() {
			_, err := near.Write(make([]byte, sentBytes*4))
			sent <- err
		}()
		time.Sleep(maxPause + time.Second)
		Expect(far.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		n, err := io.CopyN(io.Discard, far, sentBytes*4)
		Expect(err).NotTo(HaveOccurred(), "after %d bytes", n)
		Expect(<-sent).To(Succeed())
	})

	DescribeTable("has probes that give up when sent bytes do",
		func(timeout time.Duration, count int) {
			near, _ := dialSilence(timeout)
			options := func(option int) (value int) {
				control(near, func(fd int) (err error) {
					value, err = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, option)
					return err
				})
				return value
			}
			Expect(options(unix.TCP_USER_TIMEOUT)).To(BeEquivalentTo(timeout.Milliseconds()))
			Expect(options(unix.TCP_KEEPCNT)).To(Equal(count))
			Expect(options(unix.TCP_KEEPIDLE) + count*options(unix.TCP_KEEPINTVL)).To(BeEquivalentTo(timeout.Seconds()))
		},
		Entry("2 s", 2*time.Second, 1),
		Entry("3 s", 3*time.Second, 2),
		Entry("4 s", 4*time.Second, 3),
		Entry("15 s", 15*time.Second, 14),
	)

	DescribeTable("has a timeout of whole probes that leaves time for one after a pause",
		func(pause, timeout time.Duration) { Expect(zpnet.SilenceTimeout(pause)).To(Equal(timeout)) },
		Entry("none", time.Duration(0), 2*time.Second),
		Entry("half a second", 500*time.Millisecond, 3*time.Second),
		Entry("just over a second", maxPause, 4*time.Second),
		Entry("two seconds", 2*time.Second, 5*time.Second),
	)
})
