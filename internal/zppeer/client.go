// Package zppeer implements RPC between daemons: DRPC over TCP, with mutual TLS
// unless the settings disable it.
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
	// Dialer makes calls to other daemons over pooled connections. Open must be
	// called before the first call.
	Dialer struct {
		TLS     *tls.Config // nil: plain TCP
		Timeout time.Duration
		OnCall  func(call string, err error) // called after each call; may be nil
		Tracer  trace.Tracer                 // nil disables tracing

		pool *drpcpool.Pool[string, drpcpool.Conn]
	}

	// CallFunc makes one call with a client of the peer service.
	CallFunc[T any] func(ctx context.Context, client zppeerpb.DRPCPeerClient) (T, error)

	// Conn is a connection to another daemon.
	Conn = drpc.Conn
)

const (
	poolCapacity    = 2048
	poolKeyCapacity = 64
	poolExpiration  = 30 * time.Second
	silenceTimeout  = 2 * time.Second // detects a peer that lost power
)

// ErrPeer is returned when a call fails. The call may still have taken effect
// at the other daemon.
var ErrPeer = zperror.New(zperror.KindUnavailable, "peer_unavailable",
	"another daemon could not be reached", "try again; the fleet assigns its work anew")

// Open creates the connection pool.
func (d *Dialer) Open() {
	d.pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: poolExpiration, Capacity: poolCapacity, KeyCapacity: poolKeyCapacity,
	})
}

// Close closes the pool and its idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Do makes one call of the peer service to the daemon at address. extraTimeout
// is added to the dialer's timeout and covers the time for which the other
// daemon was asked to wait.
func Do[T any](ctx context.Context, d *Dialer, address, name string, extraTimeout time.Duration, call CallFunc[T]) (T, error) {
	return doWithConn(ctx, d, address, name, extraTimeout, func(ctx context.Context, conn Conn) (T, error) {
		return call(ctx, zppeerpb.NewDRPCPeerClient(conn))
	})
}

func doWithConn[T any](ctx context.Context, d *Dialer, address, name string, extraTimeout time.Duration, call func(ctx context.Context, conn Conn) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout+extraTimeout)
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

// startSpan starts a span if ctx carries the trace of a request. Background
// calls between daemons are not traced.
func (d *Dialer) startSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	parent := trace.SpanFromContext(ctx)
	if d.Tracer == nil || !parent.SpanContext().IsValid() {
		return ctx, noop.Span{}
	}
	return d.Tracer.Start(ctx, "peer call", trace.WithAttributes(attribute.String("call", name)))
}

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := zpnet.NewDialer(d.Timeout, silenceTimeout).DialContext(ctx, "tcp", address)
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
