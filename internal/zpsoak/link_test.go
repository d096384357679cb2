package zpsoak

import (
	"bufio"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Link", func() {
	var link *Link
	var conn net.Conn

	// say sends a line and reads it back, or fails within a short time.
	say := func(text string) error {
		if err := conn.SetDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			return err
		}
		if _, err := conn.Write([]byte(text + "\n")); err != nil {
			return err
		}
		_, err := bufio.NewReader(conn).ReadString('\n')
		return err
	}
	// reach opens a connection and uses it.
	reach := func() error {
		c, err := net.Dial("tcp", link.Listen)
		if err != nil {
			return err
		}
		conn = c
		DeferCleanup(func() { _ = c.Close() })
		return say("x")
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
						_, _ = c.Write(append(lines.Bytes(), '\n')) // the caller judges
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
		Expect(reach()).To(Succeed())
	})

	It("delays", func() {
		link.SetMode(LinkMode{Delay: 60 * time.Millisecond})
		begun := time.Now()
		Expect(say("x")).To(Succeed())
		Expect(time.Since(begun)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	DescribeTable("holds bytes back while it is cut, and passes them on afterwards",
		func(m LinkMode) {
			link.SetMode(m)
			Expect(say("x")).NotTo(Succeed())
			link.SetMode(LinkMode{})
			Expect(say("y")).To(Succeed())
		},
		Entry("towards the target", LinkMode{NoWay: true}),
		Entry("back", LinkMode{NoReturn: true}),
	)

	It("resets open connections, and new ones while it refuses", func() {
		link.SetMode(LinkMode{Refuse: true})
		link.Reset()
		Expect(say("x")).NotTo(Succeed())
		// The reset may come before connect returns, or after it.
		Expect(reach()).NotTo(Succeed())
		link.SetMode(LinkMode{})
		Expect(reach()).To(Succeed())
	})
})
