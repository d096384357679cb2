package zplog_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

var _ = Describe("Catalogue", func() {
	It("numbers events in order, each with a text and an action", func() {
		last := 0
		for _, e := range zplog.Catalogue() {
			Expect(e.Number).To(BeNumerically(">", last))
			Expect(e.Text).NotTo(BeEmpty())
			Expect(e.Action).NotTo(BeEmpty())
			last = e.Number
		}
	})
})

var _ = Describe("Logger", func() {
	It("writes the number and the fields", func() {
		var out bytes.Buffer
		l, err := zplog.New(&out, "info", "json")
		Expect(err).NotTo(HaveOccurred())
		l.Emit(zplog.Started, zplog.Fields{"instance": "x"})
		l.Emit(zplog.PeerFailed, nil)
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("event", BeEquivalentTo(100)))
		Expect(line).To(HaveKeyWithValue("instance", "x"))
	})

	It("limits the lines per second of each event separately", func() {
		var out bytes.Buffer
		l, err := zplog.New(&out, "info", "json")
		Expect(err).NotTo(HaveOccurred())
		for range 10_000 {
			l.Emit(zplog.RequestPlaced, nil)
		}
		// The loop may run across a second boundary and so get two limits of 200.
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(BeNumerically("<=", 400))
		l.Emit(zplog.Started, nil)
		Expect(out.String()).To(ContainSubstring(`"event":100`))
	})

	It("rejects an unknown level", func() {
		_, err := zplog.New(&bytes.Buffer{}, "loud", "json")
		Expect(err).To(HaveOccurred())
	})
})

// BenchmarkEmit measures one line with as many fields as the line of a placed
// request has.
func BenchmarkEmit(b *testing.B) {
	l, err := zplog.New(io.Discard, "info", "json")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		fields := zplog.Fields{}
		for i := range 22 {
			fields[fmt.Sprintf("field_%d", i)] = i
		}
		// A different event each time, so that no line is suppressed.
		l.Emit(zplog.Event{Number: n, Level: logrus.InfoLevel, Text: "request sent to an endpoint"}, fields)
	}
}
