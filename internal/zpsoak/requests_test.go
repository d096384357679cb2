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

// onceServer answers requests, but closes the connection instead of answering the first one
// with its id. It counts the requests with that id.
type onceServer struct {
	id    string
	count atomic.Int64
}

// listen serves on loopback and returns the address.
func (o *onceServer) listen() string {
	GinkgoHelper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(lis.Close)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go o.serve(conn)
		}
	}()
	return lis.Addr().String()
}

func (o *onceServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Header.Get("Request-Id") == o.id {
			o.count.Add(1)
		}
		_, _ = io.WriteString(conn, o.answer(req))
	}
}

// answer returns an HTTP response, or nothing for the first request with the id.
func (o *onceServer) answer(req *http.Request) string {
	if req.Header.Get("Request-Id") != o.id || o.count.Load() > 1 {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	}
	return ""
}

var _ = Describe("newHTTPRequest", func() {
	DescribeTable("leaves it to net/http to send a read again, but not a booking",
		func(kind string, sends int) {
			server := &onceServer{id: "second"}
			address := server.listen()
			client := &http.Client{Transport: &http.Transport{}}
			DeferCleanup(client.CloseIdleConnections)
			for _, id := range []string{"first", "second"} {
				req, err := newHTTPRequest(context.Background(), &request{ID: id, Kind: kind}, fmt.Sprintf("http://%s/", address))
				Expect(err).NotTo(HaveOccurred())
				if res, err := client.Do(req); err == nil {
					Expect(res.Body.Close()).To(Succeed())
				}
			}
			Expect(server.count.Load()).To(BeEquivalentTo(sends))
		},
		Entry("a booking", "book", 1),
		Entry("a read", "read", 2),
	)
})
