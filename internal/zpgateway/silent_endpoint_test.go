package zpgateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
)

// soundPause is how long a sound endpoint may be silent.
const soundPause = 1200 * time.Millisecond

// pausingBody is a body that pauses before its rest.
type pausingBody struct {
	io.Reader
	rest io.Reader
}

func (b *pausingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.rest != nil {
		time.Sleep(soundPause)
		b.Reader, b.rest = b.rest, nil
		return b.Reader.Read(p)
	}
	return n, err
}

// pausesBefore is silent before the header of the response.
func pausesBefore(body string) step {
	answer := responds(http.StatusOK, body)
	return func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
		sendByte(gate)
		select {
		case <-time.After(soundPause):
			return answer(ctx, gate)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// pausesAfter is silent after the beginning of the body.
func pausesAfter(beginning, rest string, change ...func(*zpgateway.Response)) step {
	return responds(http.StatusOK, "", append(change, func(a *zpgateway.Response) {
		a.Body = io.NopCloser(&pausingBody{strings.NewReader(beginning), strings.NewReader(rest)})
	})...)
}

// newPatientGateway returns a gateway whose routes have time for a silent endpoint, and counts
// what it tells other daemons of endpoints.
func newPatientGateway(steps ...step) (s testGateway, told *int) {
	s, told = newTestGateway(steps...), new(int)
	catalog := newCatalog()
	for i := range catalog.Routes {
		catalog.Routes[i].Timeout = 5 * time.Second
	}
	s.Catalog = func() *zpcatalog.Catalog { return catalog }
	s.AnnounceUnreachable = func(string) { *told++ }
	s.AnnounceCrash = func(zpquarantine.Report) { *told++ }
	return s, told
}

var _ = Describe("An endpoint that is silent for a second", func() {
	half := len(events) / 2

	DescribeTable("is no failure",
		func(route, body string, silent step, maxRuns int) {
			s, told := newPatientGateway(silent, responds(http.StatusOK, body))
			q := request(route)
			q.Timeout = 5 * time.Second
			expectResponse(s.serve(q), http.StatusOK, body)
			Expect(len(s.runner.runs)).To(BeNumerically("<=", maxRuns))
			Expect(*told).To(BeZero())
			for _, e := range s.Registry.Serving("pool", s.Clock()) {
				Expect(s.Health.IsBackingOff(e.ID, s.Clock())).To(BeFalse())
			}
		},
		Entry("before a booking", "book", "done", pausesBefore("done"), 1),
		Entry("inside a booking", "book", "done", pausesAfter("do", "ne"), 1),
		Entry("inside a booking that ends with its connection", "book", "done", pausesAfter("do", "ne", endsWithConnection), 1),
		Entry("before a read", "read", "done", pausesBefore("done"), 2),
		Entry("inside a read", "read", "done", pausesAfter("do", "ne"), 2),
		Entry("before a stream", "draft", events, pausesBefore(events), 1),
		Entry("between the events of a stream", "draft", events, pausesAfter(events[:half], events[half:]), 1),
		Entry("inside an event of a stream", "draft", events, pausesAfter(events[:half+3], events[half+3:]), 1),
		Entry("before a resumable stream", "tag", events, pausesBefore(events), 2),
		Entry("between the events of a resumable stream", "tag", events, pausesAfter(events[:half], events[half:]), 1),
		Entry("inside an event of a resumable stream", "tag", events, pausesAfter(events[:half+3], events[half+3:]), 1),
		Entry("before the end of a resumable stream", "tag", events, pausesAfter(events, ""), 1),
	)
})
