package zpgateway

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// stage is the progress of a request.
type stage int32

const (
	stageAdmit    stage = iota
	stagePlace          // an endpoint is being chosen, or the request is queued
	stageSend           // sent, no byte of the response received
	stageResponse       // the response is being forwarded
)

func (s stage) String() string { return [...]string{"admit", "place", "send", "answer"}[s] }

func (j *job) setStage(s stage) { j.stage.Store(int32(s)) }

// ignoringDisconnects is the Reply of a mutant that never sees a caller
// disconnect.
type ignoringDisconnects struct{ Reply }

func (ignoringDisconnects) HasCallerLeft() bool { return false }

func (s ignoringDisconnects) Write(p []byte) error {
	_ = s.Reply.Write(p) // the mutant ignores failed writes
	return nil
}

// hasLeft reports whether the context or the connection shows that the caller has
// disconnected.
func hasLeft(ctx context.Context, j *job) bool { return ctx.Err() != nil || j.caller.HasCallerLeft() }

// detachAfterSend returns a context that is cancelled with ctx only until the
// first byte has passed the gate. After that the request runs to its end even if
// the caller disconnects, so that a booking is not interrupted halfway.
func detachAfterSend(ctx context.Context, gate *zpengine.Gate) (detached context.Context, end func()) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if gate.Close() {
			cancel(context.Cause(ctx))
		}
	})
	return detached, func() {
		stop()
		cancel(nil)
	}
}

// watchDisconnect records when the caller's disconnect is detected and the stage
// of the request at that time. The returned function ends the watch.
func (g *Gateway) watchDisconnect(ctx context.Context, j *job) (end func()) {
	id, received, unread := j.request.ID, j.request.ReceivedAt, j.request.ReadDelay
	stop := context.AfterFunc(ctx, func() {
		now := g.Clock()
		j.disconnectedAt.Store(&now)
		reached := stage(j.stage.Load()).String()
		g.Metrics.AbandonedRequests.WithLabelValues(reached).Inc()
		g.Log.Emit(zplog.RequestAbandoned, zplog.Fields{
			"request": id, "stage": reached,
			"age_ms": now.Sub(received).Milliseconds(), "unread_ms": unread.Milliseconds(),
		})
	})
	return func() { stop() }
}
