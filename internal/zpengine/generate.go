package zpengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

	// watchdog cancels a stream that makes no progress.
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
	errStalled = errors.New("the stream made no progress in time")
	errTorn    = errors.New("the stream ended before its end mark")
)

// Generate runs a prompt and hands each piece to take, in order. An error of
// take cancels the run.
func (c *Client) Generate(ctx context.Context, gen Generation, g *Gate, take func(Piece) error) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := c.Clock()
	dog := &watchdog{stall: gen.Stall}
	dog.timer = time.AfterFunc(gen.FirstOverdue, func() { cancel(errStalled) })
	defer dog.timer.Stop()

	res, err := c.post(ctx, true, http.MethodPost, gen.Address+gen.Path, gen.Body, generationHeader(gen), g)
	if err != nil {
		return c.finish(ctx, classify(g, err), start)
	}
	defer func() { _ = res.Body.Close() }()
	o := Outcome{Sent: true, Boot: res.Header.Get(HeaderBoot), WeightVersion: res.Header.Get(HeaderWeightVersion)}
	if res.StatusCode != http.StatusOK {
		return c.finish(ctx, refusal(o, res), start)
	}
	return c.finish(ctx, c.read(res.Body, o, dog, start, take), start)
}

// read takes the pieces of a stream until its end mark.
func (c *Client) read(body io.Reader, o Outcome, dog *watchdog, start time.Time, take func(Piece) error) Outcome {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return broken(o, err)
		}
		if event.Data == streamEnd {
			o.Done = true
			o.Kind = zpadmission.OutcomeOK
			return o
		}
		var chunk wireChunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return broken(o, fmt.Errorf("decode stream: %w", err))
		}
		if chunk.Error != nil {
			return broken(o, fmt.Errorf("endpoint: %s", chunk.Error.Message))
		}
		if chunk.Usage != nil {
			o.Usage = usageOf(*chunk.Usage)
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		if o.Pieces == 0 {
			o.FirstToken = c.Clock().Sub(start)
		}
		dog.progress()
		o.Pieces++
		if err := take(pieceOf(chunk.Choices[0])); err != nil {
			o.Kind, o.Err = zpadmission.OutcomeCancelled, err
			return o
		}
	}
	return broken(o, errTorn)
}

func (c *Client) finish(ctx context.Context, o Outcome, start time.Time) Outcome {
	o.Total = c.Clock().Sub(start)
	if o.Err != nil && !o.Done && errors.Is(context.Cause(ctx), errStalled) {
		o.Kind, o.Err = zpadmission.OutcomeOverdue, errStalled
	}
	return o
}

func (d *watchdog) progress() { d.timer.Reset(d.stall) }

func broken(o Outcome, err error) Outcome {
	o.Kind, o.Err = zpadmission.OutcomeBroken, err
	if errors.Is(err, context.Canceled) {
		o.Kind = zpadmission.OutcomeCancelled
	}
	return o
}

// refusal maps an error status. Only an endpoint that says so itself has not
// started the request.
func refusal(o Outcome, res *http.Response) Outcome {
	text, _ := io.ReadAll(io.LimitReader(res.Body, errorTextLimit))
	o.Err = fmt.Errorf("endpoint answered %d: %s", res.StatusCode, strings.TrimSpace(string(text)))
	o.Kind = zpadmission.OutcomeFailed
	switch {
	case res.Header.Get(HeaderNotStarted) != "true":
	case res.StatusCode == http.StatusConflict:
		// Another weight version is loaded; that is no sign of a fall.
		o.Kind = zpadmission.OutcomeNotStarted
	default:
		o.Kind = zpadmission.OutcomeRefused
	}
	return o
}

func generationHeader(gen Generation) http.Header {
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
		h.Set(HeaderImportBlocks, formatBlocks(gen.ImportBlocks))
	}
	setTrace(h, gen.Trace)
	return h
}

func formatBlocks(blocks []ImportBlock) string {
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
