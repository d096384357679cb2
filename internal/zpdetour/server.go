package zpdetour

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// Server opens connections to endpoints for other daemons. Set the exported fields before use.
type Server struct {
	Dial    func(ctx context.Context, network, address string) (net.Conn, error) // without a detour
	Tracker *Tracker
	// IsEndpoint reports whether an address belongs to an endpoint or a KV cache store.
	IsEndpoint func(address string) bool
	MaxOpen    int // connections at the same time
	Log        *zplog.Logger
	Clock      func() time.Time

	open     atomic.Int64
	isClosed atomic.Bool
	trials   sync.Map // blocked addresses to which a connect is on its way
}

var (
	errNoEndpoint = errors.New("no endpoint has the address")
	errBeingTried = errors.New("the address is blocked, and a connect is on its way")
)

// Open connects to an endpoint within a time. Its errors are those of an OpenFunc.
func (s *Server) Open(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := s.connect(ctx, address, timeout)
	if err != nil {
		s.Log.Emit(zplog.DetourRefused, zplog.Fields{"address": address, "open": s.open.Load(), "error": err.Error()})
	}
	return conn, err
}

func (s *Server) connect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	switch {
	case s.isClosed.Load(), s.Tracker.IsCut(s.Clock()):
		return nil, ErrPeerCut
	case !s.IsEndpoint(address):
		return nil, errors.Join(ErrUndecided, errNoEndpoint) // it may be known elsewhere
	}
	if s.open.Add(1) > int64(s.MaxOpen) {
		s.open.Add(-1)
		return nil, ErrBusy
	}
	if s.isClosed.Load() { // Shutdown may not have seen that it is open
		s.open.Add(-1)
		return nil, ErrPeerCut
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dial := s.Dial
	isBlocked := s.Tracker.IsBlocked(address, s.Clock())
	if isBlocked {
		dial = s.tryBlocked
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		s.open.Add(-1)
		switch {
		case isBlocked, s.Tracker.MayBeCut(s.Clock()):
			return nil, errors.Join(ErrUndecided, err)
		case errors.Is(err, syscall.ECONNREFUSED):
			return nil, err
		default:
			return nil, errors.Join(ErrNoPath, err)
		}
	}
	return &detourConn{Conn: conn, release: sync.OnceFunc(func() { s.open.Add(-1) })}, nil
}

// tryBlocked connects to an address that was blocked: this daemon may reach it again, and need not
// wait for its own probe. The connect may take all the time, so that there is one at a time.
func (s *Server) tryBlocked(ctx context.Context, network, address string) (net.Conn, error) {
	if _, isTried := s.trials.LoadOrStore(address, true); isTried {
		return nil, errBeingTried
	}
	defer s.trials.Delete(address)
	return s.Dial(ctx, network, address)
}

// OpenConnections returns the number of connections that are open for other daemons.
func (s *Server) OpenConnections() int { return int(s.open.Load()) }

// Shutdown waits until no connection is open, or ctx ends. It takes further connections for as long
// as others are open, as the daemons that ask may have no other way, but none shortly before ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < lastConnectMargin || s.open.Load() == 0 {
			s.isClosed.Store(true)
		}
		// A connection that was asked for just before is waited for.
		if s.isClosed.Load() && s.open.Load() == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

const (
	// waitInterval is the interval at which Shutdown looks at the open connections.
	waitInterval = 20 * time.Millisecond
	// lastConnectMargin is the time before the end of a shutdown from which no connection is taken:
	// the request on it may not end in time.
	lastConnectMargin = 2 * time.Second
)
