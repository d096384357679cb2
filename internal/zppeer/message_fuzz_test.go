package zppeer_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdigest"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
)

// FuzzMessage passes messages of other daemons to the handlers, which must not panic
// whatever the fields hold.
func FuzzMessage(f *testing.F) {
	inconsistent, err := proto.Marshal(&zppeerpb.ShareRequest{Instance: "a", WithoutUses: true, Uses: []*zppeerpb.SharedUse{{Endpoint: "e", Requests: -1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(inconsistent)
	h := &zppeer.SharingHandler{
		Instance: "b", Apply: func(zpshare.Message) {}, Targets: func() []zprollout.Target { return nil }, CatalogVersion: func() int64 { return 0 }, CatalogConfirmed: func() bool { return true },
		Digest: func(zpdigest.Report) zpdigest.Digest { return zpdigest.Digest{} }, MergeSum: func(s zpdigest.Sum) zpdigest.Sum { return s },
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var share zppeerpb.ShareRequest
		if proto.Unmarshal(text, &share) == nil {
			if _, err := h.Share(context.Background(), &share); err != nil {
				t.Fatal(err)
			}
		}
		var report zppeerpb.LoadReport
		if proto.Unmarshal(text, &report) == nil {
			if _, err := h.ReportLoad(context.Background(), &report); err != nil {
				t.Fatal(err)
			}
		}
	})
}
