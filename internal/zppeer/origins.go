package zppeer

import (
	"context"

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
	o, ok := h.OriginOf(in.Request)
	if !ok {
		return &zppeerpb.FindOriginReply{}, nil
	}
	return &zppeerpb.FindOriginReply{Origin: encodeOrigin(o)}, nil
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

// FindOrigin asks the daemon at address where the stream of a request began.
func FindOrigin(ctx context.Context, d *Dialer, address, request string) (o zporigin.Origin, ok bool, err error) {
	out, err := doWithConn(ctx, d, address, "find_origin", 0, func(ctx context.Context, conn Conn) (*zppeerpb.FindOriginReply, error) {
		return zppeerpb.NewDRPCSharingClient(conn).FindOrigin(ctx, &zppeerpb.FindOriginRequest{Request: request})
	})
	if err != nil || out.Origin == nil {
		return zporigin.Origin{}, false, err
	}
	return decodeOrigin(out.Origin), true, nil
}

func encodeOrigin(o zporigin.Origin) *zppeerpb.StreamOrigin {
	return &zppeerpb.StreamOrigin{Request: o.Request, Pool: o.Pool, SoftwareVersion: o.Version}
}

func decodeOrigin(x *zppeerpb.StreamOrigin) zporigin.Origin {
	return zporigin.Origin{Request: x.GetRequest(), Pool: x.GetPool(), Version: x.GetSoftwareVersion()}
}
