package zpgateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// bufferedResponse is a complete response that has not been forwarded.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

const (
	maxEventBytes        = 256 << 10
	eventBufferBytes     = 16 << 10
	minServerErrorStatus = 500 // statuses from 500 on are failures of the endpoint
	minSuccessStatus     = 200
	minRedirectStatus    = 300
)

var (
	errUnsigned       = errors.New("the response is not signed by the endpoint")
	errCompressed     = errors.New("the response is compressed, although the request does not accept compression")
	errFalseNotRun    = errors.New("the status implies that the request has not run, but the endpoint does not confirm it")
	errTruncatedEvent = errors.New("the stream ended inside an event")
)

// deliver forwards a response to the caller. It calls started once the first event
// of a stream, or the complete body of another response, has arrived.
func (g *Gateway) deliver(ctx context.Context, j *job, e zpregistry.Endpoint, a *Response, reply Reply, started func()) sendResult {
	if err := checkResponse(a); err != nil {
		return sendResult{outcomeBroken, err}
	}
	if j.route.Kind == zpcatalog.KindStream && isSuccess(a.Status) {
		return g.deliverStream(ctx, j, e, a, reply, started)
	}
	body, counted, err := g.ResponseMemory.ReadAll(a.Body)
	j.bufferedBytes += counted
	if err != nil {
		return sendResult{outcomeBroken, err}
	}
	if g.isCutOff(ctx, e, a, bodyEndWatch) {
		return sendResult{outcomeBroken, errCutOff}
	}
	started()
	buffered := &bufferedResponse{status: a.Status, header: a.Header, body: body}
	if a.Status >= minServerErrorStatus && !j.headerSent {
		j.failure = buffered
		return sendResult{outcomeFailed, errEndpointFailed.WithCause(fmt.Errorf("status %d", a.Status))}
	}
	if j.headerSent {
		return sendResult{outcomeBroken, fmt.Errorf("status %d instead of the rest of the stream", a.Status)}
	}
	j.runState = zperror.RunStateRan
	j.firstByteAt = g.Clock()
	if err := buffered.deliver(j, reply); err != nil {
		return sendResult{outcomeStopped, err}
	}
	return sendResult{outcome: outcomeDone}
}

// checkResponse returns the reason why a response must not be forwarded, or nil.
func checkResponse(a *Response) error {
	switch {
	case a.Compressed:
		return errCompressed
	case isSuccess(a.Status) && !a.Sealed:
		return errUnsigned
	case impliesNotRun(a.Status):
		return errFalseNotRun
	default:
		return nil
	}
}

// deliver writes the response to the caller.
func (b *bufferedResponse) deliver(j *job, reply Reply) error {
	j.headerSent = true
	reply.WriteHeader(b.status, b.header, int64(len(b.body)))
	if err := reply.Write(b.body); err != nil {
		return errCallerGone.WithState(j.runState).WithCause(err)
	}
	return nil
}

// deliverStream forwards events as they arrive. It forwards only complete events,
// so that the stream can be resumed at another endpoint.
func (g *Gateway) deliverStream(ctx context.Context, j *job, e zpregistry.Endpoint, a *Response, reply Reply, started func()) sendResult {
	events := bufio.NewScanner(a.Body)
	events.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	events.Split(j.splitEvents)
	weights := a.WeightVersion
	for events.Scan() {
		event := events.Bytes()
		weights = a.weightsAt(event, weights)
		id, err := g.checkEvent(j, event, weights)
		if err != nil {
			return sendResult{outcomeBroken, err}
		}
		j.events++
		switch j.events {
		case 1:
			j.firstEvent = id
			started()
		case harmlessEvents:
			g.recordHarmless(j, j.partFingerprints())
		}
		if !j.headerSent {
			g.recordOrigin(ctx, j, e)
			j.headerSent = true
			j.firstByteAt = g.Clock()
			reply.WriteHeader(a.Status, a.Header, j.streamLength(a))
		}
		if err := reply.Write(event); err != nil {
			return sendResult{outcomeStopped, errCallerGone.WithState(j.runState).WithCause(err)}
		}
		j.lastEvent, j.isInsideEvent = id, false
		j.weights = max(j.weights, weights)
	}
	if err := events.Err(); err != nil {
		return sendResult{outcomeBroken, err}
	}
	if ctx.Err() != nil {
		return sendResult{outcomeBroken, ctx.Err()}
	}
	if err := checkStreamEnd(j, a); err != nil {
		return sendResult{outcomeBroken, err}
	}
	if g.isCutOff(ctx, e, a, streamEndWatch) {
		return sendResult{outcomeBroken, errCutOff}
	}
	if j.events > 1 && !j.position.hasGap {
		g.numberings.recordConsecutive(j.pool.Name)
	}
	j.runState = zperror.RunStateRan
	if !j.headerSent {
		j.headerSent = true
		reply.WriteHeader(a.Status, a.Header, a.Length)
	}
	return sendResult{outcome: outcomeDone}
}

// checkEvent returns the id of an event that follows what the caller has, and moves the
// caller's position to it.
func (g *Gateway) checkEvent(j *job, event []byte, weights int64) (string, error) {
	id, err := eventID(event)
	if err != nil {
		return "", err
	}
	if err := j.checkWeights(weights); err != nil {
		return "", err
	}
	return id, j.position.advance(id, j.events == 0, j.pool.Name, &g.numberings)
}

// splitEvents splits a stream after each blank line. Bytes after the last blank
// line are a truncated event.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	for i := 0; i < len(data); {
		n := bytes.IndexByte(data[i:], '\n')
		if n < 0 {
			break
		}
		line := bytes.TrimSuffix(data[i:i+n], []byte("\r"))
		i += n + 1
		if len(line) == 0 {
			return i, data[:i], nil
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncatedEvent
	}
	return 0, nil, nil
}

func isSuccess(status int) bool { return status >= minSuccessStatus && status < minRedirectStatus }

// impliesNotRun reports whether callers take a status as a sign that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
