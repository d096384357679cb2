package e2e_test

import (
	"fmt"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Sizes of the crowds. Three of four callers stop one byte short and stay.
const (
	headCrowd       = 600
	bodyCrowd       = 60
	largeChunkCrowd = 60
	smallChunkCrowd = 160
	finishingEvery  = 4 // one caller in so many sends its last byte

	pieceBytes      = 64 << 10
	largeChunkBytes = 512 << 10
	smallChunks     = 500_000 // chunks of one byte in a body
)

// finish sends the last byte of a request if the caller is one of those that do.
func finish(i int, conn net.Conn, last string) {
	if i%finishingEvery == 0 {
		write(conn, last)
	}
}

// headerLines returns lines that fill a head of the given length up to max-header-bytes.
func headerLines(used int, line func(n int) string) string {
	var b strings.Builder
	for n := 0; ; n++ {
		text := line(n)
		if used+b.Len()+len(text)+len("\r\n") > crowdHeaderBytes {
			return b.String()
		}
		b.WriteString(text)
	}
}

// shortName returns different names of up to three letters.
func shortName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := ""
	for ; ; n /= len(letters) {
		name += string(letters[n%len(letters)])
		if n < len(letters) {
			return name
		}
	}
}

var _ = Describe("A crowd of callers inside the limits", Serial, func() {
	DescribeTable("that sends heads of many lines",
		func(number int, line func(n int) string) {
			c := startCrowdSite(number)
			c.join(headCrowd, func(i int, conn net.Conn) {
				head := c.head("/book/1", fmt.Sprintf("head-%d", i), crowdKey)
				if write(conn, head+headerLines(len(head), line)+"\r") {
					finish(i, conn, "\n")
				}
			})
			c.expectAlive()
		},
		Entry("short ones", 111, func(n int) string { return shortName(n) + ":\r\n" }),
		Entry("the same one", 112, func(int) string { return "a:\r\n" }),
		Entry("odd ones", 113, func(n int) string {
			return fmt.Sprintf("%s!#$%%&'*+-.^_`|~%d:\t \t\r\n", shortName(n), n)
		}),
	)

	DescribeTable("that sends large bodies with a length",
		func(number int, piece int) {
			c := startCrowdSite(number)
			c.join(bodyCrowd, func(i int, conn net.Conn) {
				head := c.head("/stream/1", fmt.Sprintf("body-%d", i), crowdKey)
				ok := write(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes))
				for sent := 0; ok && sent < crowdBodyBytes-1; sent += piece {
					ok = write(conn, strings.Repeat("x", min(piece, crowdBodyBytes-1-sent)))
				}
				if ok {
					finish(i, conn, "x")
				}
			})
			c.expectAlive()
		},
		Entry("whole", 114, crowdBodyBytes),
		Entry("piece by piece", 115, pieceBytes),
	)

	DescribeTable("that sends chunked bodies",
		func(number, callers, chunk, chunks int) {
			c := startCrowdSite(number)
			text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
			together := max(pieceBytes/len(text), 1)
			c.join(callers, func(i int, conn net.Conn) {
				head := c.head("/stream/1", fmt.Sprintf("chunked-%d", i), crowdKey)
				ok := write(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
				for sent := 0; ok && sent < chunks; sent += together {
					ok = write(conn, strings.Repeat(text, min(together, chunks-sent)))
				}
				if ok && write(conn, "0\r\n\r") {
					finish(i, conn, "\n")
				}
			})
			c.expectAlive()
		},
		Entry("of one byte", 116, smallChunkCrowd, 1, smallChunks),
		Entry("in large chunks", 117, largeChunkCrowd, largeChunkBytes, crowdBodyBytes/largeChunkBytes),
	)

	DescribeTable("has one request served",
		func(number int, request func(head string) string) {
			c := startCrowdSite(number)
			c.join(1, func(_ int, conn net.Conn) {
				Expect(write(conn, request(c.head("/book/1", "largest", crowdKey)))).To(BeTrue())
				Expect(readStatus(conn)).To(Equal("200 OK"))
			})
			c.expectAlive()
		},
		Entry("with the largest head", 118, func(head string) string {
			return head + headerLines(len(head), func(n int) string { return shortName(n) + ":\r\n" }) + "\r\n"
		}),
		Entry("with the largest body", 119, func(head string) string {
			return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes) + strings.Repeat("x", crowdBodyBytes)
		}),
		Entry("with the largest body in chunks of one byte", 120, func(head string) string {
			return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", crowdBodyBytes) + "0\r\n\r\n"
		}),
		Entry("with the largest body in one chunk", 121, func(head string) string {
			return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", crowdBodyBytes) + strings.Repeat("x", crowdBodyBytes) + "\r\n0\r\n\r\n"
		}),
	)
})
