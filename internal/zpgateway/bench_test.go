package zpgateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

// BenchmarkPrompt measures serving one prompt in a large pool of engines, some of
// which hold its first part.
func BenchmarkPrompt(b *testing.B) {
	const engines = 140
	s := newTestGateway(func(_ context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
		if err := gate.Open(); err != nil {
			return nil, err
		}
		return &zpgateway.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(events)), Length: -1, Sealed: true}, nil
	})
	var list []zpregistry.Endpoint
	for i := range engines {
		list = append(list, zpregistry.Endpoint{
			ID: fmt.Sprintf("e%d", i), Pool: "pool", Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: string(rune('a' + i%6)), Region: "n", Slots: 24,
			Weights: map[string]int64{"m": 1},
		})
	}
	s.Registry.Replace(list, time.Now())
	for i := range 4 {
		s.Parts.Apply(zpparts.Change{Key: zpparts.Key{Salt: sharedSalt, Part: "p1"}, Holder: fmt.Sprintf("e%d", i), Tokens: 500})
	}
	b.ReportAllocs()
	for b.Loop() {
		q := request("draft")
		q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 900, OutputTokens: 50, Parts: []zpgateway.Part{{ID: "p1", Tokens: 500}, {ID: "p2", Tokens: 400}}}
		s.Serve(context.Background(), q, &fakeReply{})
	}
}
