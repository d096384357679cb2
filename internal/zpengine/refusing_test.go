package zpengine_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
)

var _ = Describe("Sender.IsRefusing", func() {
	sender := &zpengine.Sender{ConnectTimeout: time.Second, SilenceTimeout: time.Second}

	// listen serves connections on a loopback address.
	listen := func(serve func(lis net.Listener, conn *net.TCPConn)) string {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = lis.Close() })
		go func() {
			for {
				conn, err := lis.Accept()
				if err != nil {
					return
				}
				serve(lis, conn.(*net.TCPConn))
			}
		}()
		return lis.Addr().String()
	}
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}

	DescribeTable("tells a process that is gone from one that serves",
		func(isRefusing bool, serve func(lis net.Listener, conn *net.TCPConn)) {
			Expect(sender.IsRefusing(context.Background(), listen(serve), 25*time.Millisecond)).To(Equal(isRefusing))
		},
		Entry("it keeps the connection", false, func(net.Listener, *net.TCPConn) {}),
		Entry("it resets connections beyond its limit", false, func(_ net.Listener, conn *net.TCPConn) { reset(conn) }),
		// Guards against a crash that is taken for a clean end while the listener still stands.
		Entry("it is about to end", true, func(lis net.Listener, conn *net.TCPConn) {
			_ = lis.Close()
			reset(conn)
		}),
	)

	It("reports an address without a listener", func() {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(lis.Close()).To(Succeed())
		Expect(sender.IsRefusing(context.Background(), lis.Addr().String(), 0)).To(BeTrue())
	})
})
