package zpsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// serveOncePerConnection answers the first request of each connection and closes the
// connection at the second one. It counts the requests with an id.
func serveOncePerConnection(id string) (address string, count *atomic.Int64) {
	GinkgoHelper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(lis.Close)
	count = &atomic.Int64{}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.Header.Get("Request-Id") == id {
						count.Add(1)
					}
					if n > 0 {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return lis.Addr().String(), count
}

var _ = Describe("newHTTPRequest", func() {
	DescribeTable("leaves it to net/http to send a read again, but not a booking",
		func(kind string, sends int) {
			address, count := serveOncePerConnection("second")
			client := &http.Client{Transport: &http.Transport{}}
			DeferCleanup(client.CloseIdleConnections)
			for _, id := range []string{"first", "second"} {
				req, err := newHTTPRequest(context.Background(), &request{ID: id, Kind: kind}, fmt.Sprintf("http://%s/", address))
				Expect(err).NotTo(HaveOccurred())
				if res, err := client.Do(req); err == nil {
					Expect(res.Body.Close()).To(Succeed())
				}
			}
			Expect(count.Load()).To(BeEquivalentTo(sends))
		},
		Entry("a booking", "book", 1),
		Entry("a read", "read", 2),
	)
})
