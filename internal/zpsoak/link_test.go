package zpsoak

import (
	"bufio"
	"bytes"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Link", func() {
	var link *Link
	var conn net.Conn

	// echoLine sends a line and reads it back, or fails after 200 ms.
	echoLine := func(text string) error {
		if err := conn.SetDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			return err
		}
		if _, err := conn.Write([]byte(text + "\n")); err != nil {
			return err
		}
		_, err := bufio.NewReader(conn).ReadString('\n')
		return err
	}
	// connect opens a connection and echoes a line over it.
	connect := func() error {
		c, err := net.Dial("tcp", link.Listen)
		if err != nil {
			return err
		}
		conn = c
		DeferCleanup(func() { _ = c.Close() })
		return echoLine("x")
	}

	BeforeEach(func() {
		echo, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for {
				c, err := echo.Accept()
				if err != nil {
					return
				}
				go func() {
					lines := bufio.NewScanner(c)
					for lines.Scan() {
						_, _ = c.Write(append(lines.Bytes(), '\n')) // a failed write shows in the test as a missing line
					}
				}()
			}
		}()
		free, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(free.Close()).To(Succeed())
		link = &Link{Listen: free.Addr().String(), Target: echo.Addr().String()}
		Expect(link.Open()).To(Succeed())
		DeferCleanup(func() {
			link.Close()
			_ = echo.Close()
		})
		Expect(connect()).To(Succeed())
	})

	It("delays data", func() {
		link.SetMode(LinkMode{Delay: 60 * time.Millisecond})
		startedAt := time.Now()
		Expect(echoLine("x")).To(Succeed())
		Expect(time.Since(startedAt)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	It("replaces data on its way to the target and on its way back", func() {
		replace := func(from, to byte) func([]byte) []byte {
			return func(data []byte) []byte { return bytes.ReplaceAll(data, []byte{from}, []byte{to}) }
		}
		link.Close()
		link = &Link{Listen: link.Listen, Target: link.Target, Rewrite: replace('a', 'b'), RewriteBack: replace('b', 'c')}
		Expect(link.Open()).To(Succeed())
		Expect(connect()).To(Succeed())
		_, err := conn.Write([]byte("a\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(bufio.NewReader(conn).ReadString('\n')).To(Equal("c\n"))
	})

	DescribeTable("tells when a client has ended its connection",
		func(mode LinkMode) {
			ends := make(chan string, 1)
			link.Close()
			link = &Link{Listen: link.Listen, Target: link.Target, OnClientEnd: func(source string) { ends <- source }}
			Expect(link.Open()).To(Succeed())
			Expect(connect()).To(Succeed())
			link.SetMode(mode)
			Expect(conn.Close()).To(Succeed())
			Eventually(ends).Should(Receive(HavePrefix("127.0.0.1:")))
		},
		Entry("and the link forwards it", LinkMode{}),
		Entry("and the link holds the end", LinkMode{HoldToTarget: true}),
	)

	It("does not take a reset by the link for the end of a client's connection", func() {
		ends := make(chan string, 1)
		link.Close()
		link = &Link{Listen: link.Listen, Target: link.Target, OnClientEnd: func(source string) { ends <- source }}
		Expect(link.Open()).To(Succeed())
		Expect(connect()).To(Succeed())
		link.Reset()
		Consistently(ends, 100*time.Millisecond).ShouldNot(Receive())
	})

	DescribeTable("holds data while it is cut and forwards it afterwards",
		func(m LinkMode) {
			link.SetMode(m)
			Expect(echoLine("x")).NotTo(Succeed())
			link.SetMode(LinkMode{})
			Expect(echoLine("y")).To(Succeed())
		},
		Entry("to the target", LinkMode{HoldToTarget: true}),
		Entry("from the target", LinkMode{HoldFromTarget: true}),
	)

	It("forwards nothing any more on a connection whose data was lost", func() {
		link.SetMode(LinkMode{LoseFromTarget: true})
		Expect(echoLine("x")).NotTo(Succeed())
		link.SetMode(LinkMode{})
		Expect(echoLine("y")).NotTo(Succeed())
		Expect(connect()).To(Succeed())
	})

	It("resets open connections, and new ones in refuse mode", func() {
		link.SetMode(LinkMode{Refuse: true})
		link.Reset()
		Expect(echoLine("x")).NotTo(Succeed())
		// The reset may arrive before or after the dial returns.
		Expect(connect()).NotTo(Succeed())
		link.SetMode(LinkMode{})
		Expect(connect()).To(Succeed())
	})

	DescribeTable("cuts its client off until that joins again",
		func(kind Kind, isHeld, isRefused bool) {
			Expect(link.cutClient(kind)).To(Succeed())
			Expect(echoLine("x") == nil).To(Equal(!isHeld))
			_, err := net.DialTimeout("tcp", link.Listen, 200*time.Millisecond)
			if isRefused {
				Expect(err).To(MatchError(syscall.ECONNREFUSED))
			} else {
				Expect(err).To(HaveOccurred())
				Expect(err.(net.Error).Timeout()).To(BeTrue(), err.Error())
			}
			Expect(link.joinClient()).To(Succeed())
			Expect(connect()).To(Succeed())
		},
		Entry("where connections hang", StrandedHang, true, false),
		Entry("where they are reset", StrandedReset, true, true),
		Entry("where they go on", StrandedRefuse, false, true),
	)

	It("stays cut off from a target that fails as well", func() {
		Expect(link.cutClient(StrandedHang)).To(Succeed())
		link.SetMode(LinkMode{HoldToTarget: true})
		Expect(link.joinClient()).To(Succeed())
		Expect(echoLine("x")).NotTo(Succeed())
		link.SetMode(LinkMode{})
		Expect(echoLine("y")).To(Succeed())
	})
})
