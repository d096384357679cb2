package zpengine_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
)

const sentBodyBytes = 4 << 20 // more than the buffers of a connection hold

// Guards against requests that are called not run although an endpoint has read a part of them.
var _ = DescribeTable("A request of which an endpoint has read a byte counts as sent",
	func(end func(conn *net.TCPConn, leave context.CancelFunc)) {
		for _, pooled := range []bool{false, true} {
			for _, size := range []int{0, 1, sentBodyBytes} {
				for _, read := range []int{1, 40, 4 << 10, 64 << 10} {
					ctx, leave := context.WithTimeout(context.Background(), time.Second)
					lis, err := net.Listen("tcp", "127.0.0.1:0")
					Expect(err).NotTo(HaveOccurred())
					got := make(chan int, 16) // bytes read, by connection
					go func() {
						for {
							conn, err := lis.Accept()
							if err != nil {
								return
							}
							n, _ := io.ReadAtLeast(conn, make([]byte, read), min(read, 40))
							end(conn.(*net.TCPConn), leave)
							_ = conn.Close()
							got <- n
						}
					}()
					sender := &zpengine.Sender{ConnectTimeout: time.Second, SilenceTimeout: time.Second}
					sender.Open()
					req, err := http.NewRequest(http.MethodPost, "http://"+lis.Addr().String()+"/", bytes.NewReader(make([]byte, size)))
					Expect(err).NotTo(HaveOccurred())
					gate := newGate()
					res, err := sender.Send(ctx, req, pooled, gate, nil)
					if err == nil {
						_ = res.Body.Close()
					}
					Expect(gate.Sent()).To(BeTrue(), "pooled %t, %d bytes, %d read: %v", pooled, size, read, err)
					Eventually(got).Should(Receive(BeNumerically(">", 0)))
					Consistently(got, 2*time.Millisecond).ShouldNot(Receive(), "sent twice")
					sender.Close()
					leave()
					Expect(lis.Close()).To(Succeed())
				}
			}
		}
	},
	Entry("and resets the connection", func(conn *net.TCPConn, _ context.CancelFunc) { _ = conn.SetLinger(0) }),
	Entry("and closes it", func(*net.TCPConn, context.CancelFunc) {}),
	Entry("and resets it after the head of a response", func(conn *net.TCPConn, _ context.CancelFunc) {
		_, _ = io.Copy(conn, strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\npart"))
		_ = conn.SetLinger(0)
	}),
	Entry("and the caller leaves", func(_ *net.TCPConn, leave context.CancelFunc) { leave() }),
)
