package zpfront

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zppipeline"
)

type (
	// response collects the response to one prompt or, if streaming, sends each
	// piece to the caller.
	response struct {
		id      string
		model   string
		path    string
		stream  bool
		created int64
		writer  http.ResponseWriter
		control *http.ResponseController
		timeout time.Duration
		clock   func() time.Time

		started      bool
		text         strings.Builder
		finishReason string
	}

	wireCompletion struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []wireChoice `json:"choices"`
		Usage   *wireUsage   `json:"usage,omitempty"`
	}
	wireChoice struct {
		Index        int          `json:"index"`
		Delta        *wireContent `json:"delta,omitempty"`
		Message      *wireContent `json:"message,omitempty"`
		Text         *string      `json:"text,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}
	wireContent struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	wireUsage struct {
		PromptTokens     int              `json:"prompt_tokens"`
		CompletionTokens int              `json:"completion_tokens"`
		TotalTokens      int              `json:"total_tokens"`
		Details          wireUsageDetails `json:"prompt_tokens_details"`
	}
	wireUsageDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)

const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
	streamEnd      = "data: [DONE]\n\n"
	bearerPrefix   = "Bearer "
)

func (f *Server) chat(c iris.Context) { f.prompt(c, pathChat) }

func (f *Server) completion(c iris.Context) { f.prompt(c, pathCompletion) }

func (f *Server) prompt(c iris.Context, path string) {
	ctx, span := f.startSpan(c)
	defer span.End()
	body, err := f.readBody(c, promptCopies)
	if err != nil {
		writeError(c, err, "")
		return
	}
	p, err := readPrompt(body, path)
	if err != nil {
		writeError(c, err, "")
		return
	}
	p.request.Key = apiKey(c)
	a := f.newResponse(c, p, path)
	job, err := f.Pipeline.Prompt(ctx, p.request, a)
	f.finishResponse(c, a, p, job, err)
}

// finishResponse ends the stream, or writes the whole response or the error.
func (f *Server) finishResponse(c iris.Context, a *response, p prompt, job *zppipeline.Job, err error) {
	switch {
	case err != nil && a.started:
		// A write error means that the caller has disconnected.
		_ = a.writeEvent(errorBody(err, job.ID))
	case err != nil:
		writeError(c, err, job.ID)
	case p.stream:
		_ = a.endStream(p.includeUsage, job.Usage)
	default:
		c.Header(headerRequestID, job.ID)
		c.ContentType("application/json")
		text, marshalErr := json.Marshal(a.completion(job.Usage))
		if marshalErr == nil {
			_, _ = c.Write(text)
		}
	}
}

func (f *Server) newResponse(c iris.Context, p prompt, path string) *response {
	w := c.ResponseWriter().Naive()
	return &response{
		id: "cmpl-" + f.Pipeline.NewID(), model: p.request.Model, path: path, stream: p.stream,
		created: f.Clock().Unix(), writer: w, control: http.NewResponseController(w),
		timeout: f.Settings.WriteTimeout, clock: f.Clock,
	}
}

// Piece adds one piece to the response.
func (a *response) Piece(p zpengine.Piece) error {
	if p.Finish != "" {
		a.finishReason = p.Finish
	}
	if !a.stream {
		a.text.WriteString(p.Text)
		return nil
	}
	return a.writeEvent(a.newChunk(p))
}

func (a *response) newChunk(p zpengine.Piece) wireCompletion {
	choice := wireChoice{}
	if p.Finish != "" {
		choice.FinishReason = &p.Finish
	}
	if a.path == pathCompletion {
		choice.Text = &p.Text
	} else {
		choice.Delta = &wireContent{Content: p.Text}
		if !a.started {
			choice.Delta.Role = "assistant"
		}
	}
	return wireCompletion{ID: a.id, Object: a.objectType(true), Created: a.created, Model: a.model, Choices: []wireChoice{choice}}
}

func (a *response) completion(u zpengine.Usage) wireCompletion {
	text := a.text.String()
	choice := wireChoice{FinishReason: &a.finishReason}
	if a.path == pathCompletion {
		choice.Text = &text
	} else {
		choice.Message = &wireContent{Role: "assistant", Content: text}
	}
	return wireCompletion{
		ID: a.id, Object: a.objectType(false), Created: a.created, Model: a.model,
		Choices: []wireChoice{choice}, Usage: usageOf(u),
	}
}

func (a *response) objectType(chunk bool) string {
	switch {
	case a.path == pathCompletion:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

func (a *response) endStream(withUsage bool, u zpengine.Usage) error {
	if withUsage {
		usageChunk := wireCompletion{ID: a.id, Object: a.objectType(true), Created: a.created, Model: a.model, Choices: []wireChoice{}, Usage: usageOf(u)}
		if err := a.writeEvent(usageChunk); err != nil {
			return err
		}
	}
	return a.write([]byte(streamEnd))
}

func (a *response) writeEvent(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return a.write(append(append([]byte("data: "), text...), '\n', '\n'))
}

// write sends bytes to the caller and flushes them. It fails if the caller takes
// too long to read them.
func (a *response) write(text []byte) error {
	if !a.started {
		a.started = true
		h := a.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set(headerRequestID, a.id)
		a.writer.WriteHeader(http.StatusOK)
	}
	if err := a.control.SetWriteDeadline(a.clock().Add(a.timeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := a.writer.Write(text); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return a.control.Flush()
}

func (f *Server) startSpan(c iris.Context) (context.Context, trace.Span) {
	ctx := propagation.TraceContext{}.Extract(c.Request().Context(), propagation.HeaderCarrier(c.Request().Header))
	return f.Tracer.Start(ctx, c.GetCurrentRoute().Path(), trace.WithSpanKind(trace.SpanKindServer))
}

func usageOf(u zpengine.Usage) *wireUsage {
	return &wireUsage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens: u.PromptTokens + u.CompletionTokens, Details: wireUsageDetails{CachedTokens: u.CachedTokens},
	}
}

func apiKey(c iris.Context) string {
	header := c.GetHeader("Authorization")
	if len(header) > len(bearerPrefix) && strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(header[len(bearerPrefix):])
	}
	return ""
}
