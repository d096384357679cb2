package zpnet_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
)

// connect returns both ends of a connection and the Peer of the accepted end.
func connect() (caller *net.TCPConn, accepted net.Conn, peer zpnet.Peer) {
	GinkgoHelper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = lis.Close() }()
	conn, err := net.Dial("tcp", lis.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	accepted, err = lis.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = conn.Close()
		_ = accepted.Close()
	})
	return conn.(*net.TCPConn), accepted, zpnet.PeerOf(zpnet.WithPeer(context.Background(), accepted))
}

var _ = Describe("Peer", func() {
	It("is open until it closes, also during a blocked read", func() {
		caller, accepted, peer := connect()
		go func() { _, _ = accepted.Read(make([]byte, 1)) }()
		Consistently(peer.HasClosed, "50ms").Should(BeFalse())
		Expect(caller.Close()).To(Succeed())
		Eventually(peer.HasClosed, "1s").Should(BeTrue())
	})

	It("is closed after a reset", func() {
		caller, _, peer := connect()
		Expect(caller.SetLinger(0)).To(Succeed())
		Expect(caller.Close()).To(Succeed())
		Eventually(peer.HasClosed, "1s").Should(BeTrue())
	})

	It("is closed even if its bytes are unread", func() {
		caller, _, peer := connect()
		_, err := caller.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Consistently(peer.HasClosed, "50ms").Should(BeFalse())
		Expect(caller.Close()).To(Succeed())
		Eventually(peer.HasClosed, "1s").Should(BeTrue())
	})

	It("reports the time since its last bytes arrived", func() {
		caller, _, peer := connect()
		_, err := caller.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(peer.SinceLastReceive, "1s").Should(BeNumerically(">=", 100*time.Millisecond))
	})

	It("is unknown for a request without a connection", func() {
		peer := zpnet.PeerOf(context.Background())
		Expect(peer.HasClosed()).To(BeFalse())
		Expect(peer.SinceLastReceive()).To(BeZero())
	})
})
