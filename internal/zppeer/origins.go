package zppeer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
)

// RecordOrigins implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) RecordOrigins(_ context.Context, in *zppeerpb.RecordOriginsRequest) (*zppeerpb.RecordOriginsReply, error) {
	origins := make([]zporigin.Origin, 0, len(in.Origins))
	for _, x := range in.Origins {
		origins = append(origins, decodeOrigin(x))
	}
	h.KeepOrigins(origins)
	return &zppeerpb.RecordOriginsReply{}, nil
}

// FindOrigin implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) FindOrigin(_ context.Context, in *zppeerpb.FindOriginRequest) (*zppeerpb.FindOriginReply, error) {
	r := h.OriginOf(in.Request, in.Pool)
	out := &zppeerpb.FindOriginReply{KeptForMs: r.KeptFor.Milliseconds(), MixedForMs: r.MixedFor.Milliseconds(), SeenForMs: proto.Int64(r.SeenFor.Milliseconds()), SeenAgeMs: r.SeenAge.Milliseconds()}
	for name, age := range r.Versions {
		out.SoftwareVersions = append(out.SoftwareVersions, &zppeerpb.SoftwareVersion{Name: name, AgeMs: age.Milliseconds()})
	}
	if r.IsKnown {
		out.Origin = encodeOrigin(r.Origin)
	}
	return out, nil
}

// RecordOrigins tells the daemon at address where streams began.
func RecordOrigins(ctx context.Context, d *Dialer, address string, origins []zporigin.Origin) error {
	in := &zppeerpb.RecordOriginsRequest{}
	for _, o := range origins {
		in.Origins = append(in.Origins, encodeOrigin(o))
	}
	_, err := doWithConn(ctx, d, address, "record_origins", 0, func(ctx context.Context, conn Conn) (*zppeerpb.RecordOriginsReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).RecordOrigins(ctx, in)
	})
	return err
}

// FindOrigin asks the daemon at address where the stream of a request began, and for what it
// knows of the pool in which the stream is taken up.
func FindOrigin(ctx context.Context, d *Dialer, address, request, pool string) (zporigin.Reply, error) {
	out, err := doWithConn(ctx, d, address, "find_origin", 0, func(ctx context.Context, conn Conn) (*zppeerpb.FindOriginReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).FindOrigin(ctx, &zppeerpb.FindOriginRequest{Request: request, Pool: pool})
	})
	if err != nil {
		return zporigin.Reply{}, err
	}
	r := zporigin.Reply{
		KeptFor: time.Duration(out.KeptForMs) * time.Millisecond, MixedFor: time.Duration(out.MixedForMs) * time.Millisecond, SeenFor: zporigin.UnknownTime, Versions: map[string]time.Duration{},
	}
	if out.SeenForMs != nil {
		r.SeenFor, r.SeenAge = time.Duration(*out.SeenForMs)*time.Millisecond, time.Duration(out.SeenAgeMs)*time.Millisecond
	}
	for _, x := range out.SoftwareVersions {
		r.Versions[x.GetName()] = time.Duration(x.GetAgeMs()) * time.Millisecond
	}
	if out.Origin != nil {
		r.Origin, r.IsKnown = decodeOrigin(out.Origin), true
	}
	return r, nil
}

func encodeOrigin(o zporigin.Origin) *zppeerpb.StreamOrigin {
	return &zppeerpb.StreamOrigin{Request: o.Request, Pool: o.Pool, SoftwareVersion: o.Version}
}

func decodeOrigin(x *zppeerpb.StreamOrigin) zporigin.Origin {
	return zporigin.Origin{Request: x.GetRequest(), Pool: x.GetPool(), Version: x.GetSoftwareVersion()}
}
