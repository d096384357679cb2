package zppeer

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

// SharingHandler takes the news of other daemons.
type SharingHandler struct {
	Instance string
	Apply    func(m zpshare.Message)
}

// Share implements the drpc service.
func (h *SharingHandler) Share(_ context.Context, in *zppeerpb.ShareRequest) (*zppeerpb.ShareReply, error) {
	h.Apply(decodeMessage(in))
	return &zppeerpb.ShareReply{Instance: h.Instance}, nil
}

// ServeSharing answers calls on lis until ctx ends.
func ServeSharing(ctx context.Context, lis net.Listener, h *SharingHandler) error {
	mux := drpcmux.New()
	if err := zppeerpb.DRPCRegisterSharing(mux, h); err != nil {
		return fmt.Errorf("register sharing service: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, lis)
}

// Share sends news to the daemon at address and returns its instance.
func Share(ctx context.Context, d *Dialer, address string, m zpshare.Message) (string, error) {
	out, err := do(ctx, d, address, "share", 0, func(ctx context.Context, conn Conn) (*zppeerpb.ShareReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).Share(ctx, encodeMessage(m))
	})
	if err != nil {
		return "", err
	}
	return out.Instance, nil
}

func encodeMessage(m zpshare.Message) *zppeerpb.ShareRequest {
	out := &zppeerpb.ShareRequest{Instance: m.Instance, ResetHolders: m.Reset}
	for id, u := range m.Uses {
		out.Uses = append(out.Uses, &zppeerpb.SharedUse{
			Endpoint: id, Requests: int64(u.Requests), PrefillTokens: int64(u.PrefillTokens), MemoryTokens: int64(u.MemoryTokens),
		})
	}
	out.Parts, out.Expected, out.Saving = encodeParts(m.Parts), encodeParts(m.Expected), encodeParts(m.Saving)
	for _, c := range m.Changing {
		out.Changing = append(out.Changing, &zppeerpb.SharedChange{Endpoint: c.Endpoint, LeftMs: c.Left.Milliseconds()})
	}
	for _, c := range m.Crashes {
		out.Crashes = append(out.Crashes, &zppeerpb.SharedCrash{Fingerprint: c.Fingerprint, Crash: c.Crash})
	}
	for _, x := range m.Stores {
		out.Stores = append(out.Stores, &zppeerpb.SharedStore{Name: x.Name, Epoch: x.Epoch, Readable: x.Readable, FreeTokens: int64(x.Free)})
	}
	return out
}

func decodeMessage(in *zppeerpb.ShareRequest) zpshare.Message {
	m := zpshare.Message{Instance: in.Instance, Uses: map[string]zpusage.Use{}, Reset: in.ResetHolders}
	for _, u := range in.Uses {
		m.Uses[u.Endpoint] = zpusage.Use{
			Requests: int(u.Requests), PrefillTokens: int(u.PrefillTokens), MemoryTokens: int(u.MemoryTokens),
		}
	}
	m.Parts, m.Expected, m.Saving = decodeParts(in.Parts), decodeParts(in.Expected), decodeParts(in.Saving)
	for _, c := range in.Changing {
		m.Changing = append(m.Changing, zpshare.Changing{Endpoint: c.Endpoint, Left: time.Duration(c.LeftMs) * time.Millisecond})
	}
	for _, c := range in.Crashes {
		m.Crashes = append(m.Crashes, zpshare.Crash{Fingerprint: c.Fingerprint, Crash: c.Crash})
	}
	for _, x := range in.Stores {
		m.Stores = append(m.Stores, zpparts.Store{Name: x.Name, Epoch: x.Epoch, Readable: x.Readable, Free: int(x.FreeTokens)})
	}
	return m
}

func encodeParts(changes []zpparts.Change) []*zppeerpb.SharedPart {
	var out []*zppeerpb.SharedPart
	for _, c := range changes {
		out = append(out, &zppeerpb.SharedPart{Holder: c.Holder, Salt: c.Key.Salt, Part: c.Key.Part, Tokens: int64(c.Tokens)})
	}
	return out
}

func decodeParts(list []*zppeerpb.SharedPart) []zpparts.Change {
	var out []zpparts.Change
	for _, c := range list {
		out = append(out, zpparts.Change{Holder: c.Holder, Key: zpparts.Key{Salt: c.Salt, Part: c.Part}, Tokens: int(c.Tokens)})
	}
	return out
}
