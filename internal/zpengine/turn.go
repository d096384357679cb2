package zpengine

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http/httptrace"
)

type (
	// turn is the time in which a connection belongs to one request. net/http hands a
	// connection on before the response is checked if the response has no body, so a request
	// waits for the verdict on the response before it.
	turn struct {
		conn    *gatedConn
		gate    *Gate    // nil if the request may always be sent
		before  *verdict // on the turn before; nil on a new connection
		verdict *verdict
	}

	// verdict is whether a response was accepted. A connection whose response was rejected
	// may bring further bytes that belong to no request, so it is used no more.
	verdict struct {
		isKnown    chan struct{} // closed once the verdict is known
		isAccepted bool
	}

	// exchange is one request and its response. turn is that on the latest connection, which
	// net/http replaces if no byte could be sent on it.
	exchange struct {
		gate *Gate
		turn *turn
	}
)

var errConnectionRejected = errors.New("the connection brought a response that was rejected")

// wait returns an error if the response was not accepted.
func (v *verdict) wait() error {
	<-v.isKnown
	if !v.isAccepted {
		return errConnectionRejected
	}
	return nil
}

// begin allows bytes of the request to be sent.
func (t *turn) begin() error {
	if t.before != nil {
		if err := t.before.wait(); err != nil {
			return err
		}
	}
	if t.gate == nil {
		return nil
	}
	return t.gate.Open()
}

// end gives the verdict on the response, and closes the connection of a rejected one.
func (t *turn) end(isAccepted bool) {
	t.verdict.isAccepted = isAccepted
	close(t.verdict.isKnown)
	if !isAccepted {
		_ = t.conn.Close() // fails if it is closed already
	}
}

// attach gives the connections on which the request is sent to this exchange. Once any byte
// has been sent, a further connection, on which the transport would repeat the request, gets
// a closed gate.
func (x *exchange) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn
			if tlsConn, ok := conn.(*tls.Conn); ok {
				conn = tlsConn.NetConn()
			}
			if gated, ok := conn.(*gatedConn); ok {
				x.take(gated, info.Reused)
			}
		},
	})
}

func (x *exchange) take(conn *gatedConn, isReused bool) {
	x.end(false)
	gate := x.gate
	if gate != nil {
		gate.isReused.Store(isReused)
		through := ""
		if c, ok := conn.Conn.(interface{ Through() string }); ok {
			through = c.Through()
		}
		gate.through.Store(&through)
		if gate.Sent() {
			gate = closedGate
		}
	}
	t := &turn{conn: conn, gate: gate, verdict: &verdict{isKnown: make(chan struct{})}}
	if last := conn.turn.Load(); last != nil {
		t.before = last.verdict
	}
	conn.turn.Store(t)
	x.turn = t
}

// end ends the turn on the latest connection, if there is one.
func (x *exchange) end(isAccepted bool) {
	if x.turn != nil {
		x.turn.end(isAccepted)
		x.turn = nil
	}
}

// wasBarred reports whether the latest connection had brought a response that was rejected,
// so that no byte of this request was sent on it.
func (x *exchange) wasBarred() bool {
	return x.turn != nil && x.turn.before != nil && x.turn.before.wait() != nil
}
