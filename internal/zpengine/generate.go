package zpengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
)

type (
	wireChunk struct {
		Choices []wireChoice `json:"choices"`
		Usage   *wireUsage   `json:"usage"`
		Error   *wireError   `json:"error"`
	}
	wireChoice struct {
		Delta        wireDelta `json:"delta"`
		Text         string    `json:"text"`
		FinishReason *string   `json:"finish_reason"`
	}
	wireDelta struct {
		Content string `json:"content"`
	}
	wireUsage struct {
		PromptTokens     int         `json:"prompt_tokens"`
		CompletionTokens int         `json:"completion_tokens"`
		Details          wireDetails `json:"prompt_tokens_details"`
	}
	wireDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
	wireError struct {
		Message string `json:"message"`
	}

	// watchdog cancels a stream that stalls.
	watchdog struct {
		timer *time.Timer
		stall time.Duration
	}
)

const (
	streamEnd     = "[DONE]"
	maxEventBytes = 1 << 20
)

var (
	errStalled         = errors.New("the stream stalled")
	errNotResumed      = errors.New("the engine does not go on where the stream broke off")
	errStreamTruncated = errors.New("the stream ended without [DONE]")
)

// Generate runs a prompt and passes each piece to handle, in order. An error
// from handle cancels the run.
func (c *Client) Generate(ctx context.Context, gen GenerationRequest, g *Gate, handle func(Piece) error) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := c.Clock()
	wd := newWatchdog(gen.StallTimeout, func() { cancel(errStalled) })
	defer wd.timer.Stop()
	// The endpoint is not responsible for the time until the request is sent, which
	// the gate limits.
	g.onOpened = func() { wd.timer.Reset(gen.FirstTokenTimeout) }

	res, err := c.sendOnce(ctx, true, http.MethodPost, gen.Address+gen.Path, gen.Body, generationHeader(gen), g)
	if err != nil {
		return c.finishOutcome(ctx, classifyFailure(g, err), start)
	}
	defer func() { _ = res.Body.Close() }()
	o := Outcome{Sent: true, BootID: res.Header.Get(HeaderBoot), WeightVersion: res.Header.Get(HeaderWeightVersion)}
	if res.StatusCode != http.StatusOK {
		return c.finishOutcome(ctx, errorStatusOutcome(o, res), start)
	}
	if err := checkResumed(gen, res); err != nil {
		return c.finishOutcome(ctx, brokenOutcome(o, err), start)
	}
	return c.finishOutcome(ctx, c.readStream(res.Body, o, wd, start, handle), start)
}

// checkResumed returns an error if an engine does not confirm that it goes on after what the
// caller already has. The pieces of a stream have no numbers by which that could be seen.
func checkResumed(gen GenerationRequest, res *http.Response) error {
	if gen.ResumeFrom > 0 && res.Header.Get(HeaderResumeFrom) != strconv.Itoa(gen.ResumeFrom) {
		return fmt.Errorf("%w: at %q in place of %d", errNotResumed, res.Header.Get(HeaderResumeFrom), gen.ResumeFrom)
	}
	return nil
}

// readStream passes on the pieces of a stream until [DONE].
func (c *Client) readStream(body io.Reader, o Outcome, wd *watchdog, start time.Time, handle func(Piece) error) Outcome {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return brokenOutcome(o, err)
		}
		if event.Data == streamEnd {
			o.Done = true
			o.Kind = zpadmission.OutcomeOK
			return o
		}
		var chunk wireChunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return brokenOutcome(o, fmt.Errorf("decode stream: %w", err))
		}
		if chunk.Error != nil {
			return brokenOutcome(o, fmt.Errorf("endpoint: %s", chunk.Error.Message))
		}
		if chunk.Usage != nil {
			o.Usage = usageOf(*chunk.Usage)
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		if o.TokenCount == 0 {
			o.FirstToken = c.Clock().Sub(start)
		}
		wd.reset()
		o.TokenCount++
		if err := handle(pieceOf(chunk.Choices[0])); err != nil {
			o.Kind, o.Err = zpadmission.OutcomeCancelled, err
			return o
		}
	}
	return brokenOutcome(o, errStreamTruncated)
}

func (c *Client) finishOutcome(ctx context.Context, o Outcome, start time.Time) Outcome {
	o.Total = c.Clock().Sub(start)
	if o.Err != nil && !o.Done && errors.Is(context.Cause(ctx), errStalled) {
		o.Kind, o.Err = zpadmission.OutcomeOverdue, errStalled
	}
	return o
}

// newWatchdog returns a watchdog whose timer is not running yet.
func newWatchdog(stall time.Duration, expired func()) *watchdog {
	d := &watchdog{stall: stall, timer: time.AfterFunc(math.MaxInt64, expired)}
	d.timer.Stop()
	return d
}

func (d *watchdog) reset() { d.timer.Reset(d.stall) }

func brokenOutcome(o Outcome, err error) Outcome {
	o.Kind, o.Err = zpadmission.OutcomeBroken, err
	if errors.Is(err, context.Canceled) {
		o.Kind = zpadmission.OutcomeCancelled
	}
	return o
}

// errorStatusOutcome maps an error status to an outcome. The request counts
// as not started only if the endpoint says so.
func errorStatusOutcome(o Outcome, res *http.Response) Outcome {
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorTextBytes))
	o.Err = fmt.Errorf("endpoint answered %d: %s", res.StatusCode, strings.TrimSpace(string(text)))
	o.Kind = zpadmission.OutcomeFailed
	switch {
	case res.Header.Get(HeaderNotStarted) != "true":
	case res.StatusCode == http.StatusConflict:
		// The endpoint has another weight version loaded, which is not a failure.
		o.Kind = zpadmission.OutcomeNotStarted
	default:
		o.Kind = zpadmission.OutcomeRefused
	}
	return o
}

func generationHeader(gen GenerationRequest) http.Header {
	h := http.Header{}
	h.Set("Content-Type", contentTypeJSON)
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderRequestID, gen.RequestID)
	h.Set(HeaderSalt, gen.Salt)
	h.Set(HeaderWeightVersion, gen.WeightVersion)
	h.Set(HeaderPriority, priorityName(gen.Urgent))
	if gen.ResumeFrom > 0 {
		h.Set(HeaderResumeFrom, strconv.Itoa(gen.ResumeFrom))
	}
	if gen.ImportFrom != "" {
		h.Set(HeaderImportFrom, gen.ImportFrom)
		h.Set(HeaderImportBlocks, formatImportBlocks(gen.ImportBlocks))
	}
	setTraceHeaders(h, gen.Trace)
	return h
}

func formatImportBlocks(blocks []ImportBlock) string {
	parts := make([]string, 0, len(blocks))
	for _, b := range blocks {
		parts = append(parts, b.Name+":"+strconv.FormatInt(b.Generation, 10))
	}
	return strings.Join(parts, ",")
}

func priorityName(urgent bool) string {
	if urgent {
		return priorityUrgent
	}
	return priorityOther
}

func usageOf(u wireUsage) Usage {
	return Usage{PromptTokens: u.PromptTokens, CachedTokens: u.Details.CachedTokens, CompletionTokens: u.CompletionTokens}
}

func pieceOf(c wireChoice) Piece {
	p := Piece{Text: c.Delta.Content + c.Text}
	if c.FinishReason != nil {
		p.Finish = *c.FinishReason
	}
	return p
}
