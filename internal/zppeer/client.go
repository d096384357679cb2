// Package zppeer carries the calls between daemons: drpc over TCP, with mutual
// TLS unless the settings say otherwise.
package zppeer

import (
	"context"
	"crypto/tls"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Dialer opens calls to other daemons through a pool of connections.
	Dialer struct {
		TLS     *tls.Config // nil: plain TCP
		Timeout time.Duration
		OnCall  func(call string, err error)
		Tracer  trace.Tracer // nil: no spans

		pool *drpcpool.Pool[string, drpcpool.Conn]
	}

	// Caller is a function that makes one call with a client.
	Caller[T any] func(ctx context.Context, client zppeerpb.DRPCPeerClient) (T, error)

	// Conn is a connection to another daemon.
	Conn = drpc.Conn
)

const (
	poolCapacity    = 2048
	poolKeyCapacity = 64
	poolExpiration  = 30 * time.Second
	silence         = 2 * time.Second // of a peer that has lost power
)

// ErrPeer is the error of a call that did not succeed. What it asked for may
// have taken effect at the other daemon.
var ErrPeer = zperror.New(zperror.KindUnavailable, "peer_unavailable",
	"another daemon could not be reached", "try again; the fleet assigns its work anew")

// Open prepares the pool.
func (d *Dialer) Open() {
	d.pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: poolExpiration, Capacity: poolCapacity, KeyCapacity: poolKeyCapacity,
	})
}

// Close drops all idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Do makes one call of the peer service to the daemon at address. Beside the
// dialer's timeout, the call may take extra time that the other side was asked
// to wait.
func Do[T any](ctx context.Context, d *Dialer, address, name string, extra time.Duration, call Caller[T]) (T, error) {
	return do(ctx, d, address, name, extra, func(ctx context.Context, conn Conn) (T, error) {
		return call(ctx, zppeerpb.NewDRPCPeerClient(conn))
	})
}

func do[T any](ctx context.Context, d *Dialer, address, name string, extra time.Duration, call func(ctx context.Context, conn Conn) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout+extra)
	defer cancel()
	ctx, span := d.startSpan(ctx, name)
	defer span.End()
	conn := d.pool.Get(ctx, address, d.dial)
	defer func() { _ = conn.Close() }()
	out, err := call(ctx, conn)
	if d.OnCall != nil {
		d.OnCall(name, err)
	}
	if err != nil {
		return out, ErrPeer.WithCause(err)
	}
	return out, nil
}

// startSpan starts a span for a call that belongs to a request; the fleet's own
// calls leave none.
func (d *Dialer) startSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	parent := trace.SpanFromContext(ctx)
	if d.Tracer == nil || !parent.SpanContext().IsValid() {
		return ctx, noop.Span{}
	}
	return d.Tracer.Start(ctx, "peer call", trace.WithAttributes(attribute.String("call", name)))
}

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := zpnet.NewDialer(d.Timeout, silence).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if d.TLS == nil {
		return drpcconn.New(conn), nil
	}
	secure := tls.Client(conn, d.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return drpcconn.New(secure), nil
}
