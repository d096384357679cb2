package zpgateway

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// stage is how far a request has come.
type stage int32

const (
	stageAdmit  stage = iota
	stagePlace        // an endpoint is looked for, or the request is in line
	stageSend         // sent, no byte of the answer yet
	stageAnswer       // the answer is on its way
)

func (s stage) String() string { return [...]string{"admit", "place", "send", "answer"}[s] }

func (j *job) enter(s stage) { j.stage.Store(int32(s)) }

// staying is the way back to a caller of which a mutant believes that it stays.
type staying struct{ Reply }

func (staying) HasCallerLeft() bool { return false }

func (s staying) Write(p []byte) error {
	_ = s.Reply.Write(p) // the mutant does not notice
	return nil
}

// hasLeft reports whether the caller of a request has left, as far as anything
// here knows.
func hasLeft(ctx context.Context, j *job) bool { return ctx.Err() != nil || j.caller.HasCallerLeft() }

// detachOnceSent returns a context that ends with ctx until the first byte has
// passed the gate. From then on the work goes on without the caller, so that a
// booking is not cut midway.
func detachOnceSent(ctx context.Context, gate *zpengine.Gate) (detached context.Context, end func()) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if gate.Shut() {
			cancel(context.Cause(ctx))
		}
	})
	return detached, func() {
		stop()
		cancel(nil)
	}
}

// watchCaller notes when the caller's close is seen, and what was done for it
// then. The result ends the watch.
func (g *Gateway) watchCaller(ctx context.Context, j *job) (end func()) {
	id, received, unread := j.request.ID, j.request.ReceivedAt, j.request.Unread
	stop := context.AfterFunc(ctx, func() {
		now := g.Clock()
		j.leftAt.Store(&now)
		reached := stage(j.stage.Load()).String()
		g.Metrics.Abandoned.WithLabelValues(reached).Inc()
		g.Log.Emit(zplog.RequestAbandoned, zplog.Fields{
			"request": id, "stage": reached,
			"age_ms": now.Sub(received).Milliseconds(), "unread_ms": unread.Milliseconds(),
		})
	})
	return func() { stop() }
}
