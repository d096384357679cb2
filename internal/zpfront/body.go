package zpfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
	"github.com/zinniapaddle/zinniapaddle/internal/zppipeline"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	wirePrompt struct {
		Model               string             `json:"model"`
		Messages            []wireMessage      `json:"messages"`
		Prompt              json.RawMessage    `json:"prompt"`
		Stream              bool               `json:"stream"`
		StreamOptions       *wireStreamOptions `json:"stream_options"`
		MaxTokens           int                `json:"max_tokens"`
		MaxCompletionTokens int                `json:"max_completion_tokens"`
		ServiceTier         string             `json:"service_tier"`
	}
	wireMessage struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	wirePart struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	wireStreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}

	// prompt is a parsed and validated request.
	prompt struct {
		request      zppipeline.PromptRequest
		stream       bool
		includeUsage bool
	}
)

const (
	defaultMaxTokens = 512
	// promptCopies is how many copies of the body of a prompt are made: its members, its
	// text, and the body for the engine.
	promptCopies = 4
	tierPriority = "priority"
	tierFlex     = "flex"
)

var errBodyTooLarge = zperror.New(zperror.KindInvalid, "body_too_large",
	"the request body is larger than this site allows",
	"shorten the request, or have the operators raise callers.max_body_bytes")

// readBody reads a request body within the size, time and memory limits. After an error the
// response must be written at once, and closes the connection.
func (f *Server) readBody(c iris.Context, copies int) ([]byte, error) {
	w := c.ResponseWriter().Naive()
	control := http.NewResponseController(w)
	body, err := f.readWithin(c, control, copies)
	if err != nil {
		c.Header("Connection", "close")
		// The server reads on for a while, so that the caller can read the response. An
		// error means that the connection is closed.
		_ = control.SetReadDeadline(f.Clock().Add(zpnet.UnreadBodyGrace))
	}
	return body, err
}

// readWithin reserves what the request costs, for copies of its body as well, before it
// reads.
func (f *Server) readWithin(c iris.Context, control *http.ResponseController, copies int) ([]byte, error) {
	r := c.Request()
	holder := zpnet.HolderOf(r.Context())
	holder.Identify(f.ownerOf(apiKey(c)))
	if err := holder.ReserveRequest(r.Header, f.Clock()); err != nil {
		return nil, err
	}
	if err := control.SetReadDeadline(f.Clock().Add(f.Settings.BodyTimeout)); err != nil {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	body, err := holder.ReadBody(r.Body, r.ContentLength, f.Settings.MaxBodyBytes, f.Clock)
	r.Trailer = nil // is not forwarded
	if err == nil {
		err = holder.Reserve(int64(len(body)*copies), f.Clock())
	}
	switch {
	case err == nil:
	case errors.Is(err, zpmemory.ErrBodyTooLarge):
		return nil, errBodyTooLarge
	case zperror.Is(err, zpmemory.ErrExhausted.Code):
		return nil, err
	default:
		return nil, invalidRequest("the request body cannot be read", "send the whole body in time").WithCause(err)
	}
	return body, nil
}

// ownerOf returns the workspace whose share of the memory a request uses; "" if its key is
// unknown.
func (f *Server) ownerOf(key string) string {
	if f.Fleet == nil {
		return ""
	}
	m := f.Fleet.Cache.Manifest()
	if m == nil {
		return ""
	}
	w, _ := m.WorkspaceByKey(key)
	return w.Name
}

// readPrompt parses and validates a prompt and builds the body for the engine,
// which always requests a stream with usage.
func readPrompt(body []byte, path string) (prompt, error) {
	var w wirePrompt
	if err := json.Unmarshal(body, &w); err != nil {
		return prompt{}, invalidRequest("the body is not a JSON request", "send JSON in the OpenAI form").WithCause(err)
	}
	if w.Model == "" {
		return prompt{}, invalidRequest("`model` is missing", "name a model of GET /v1/models")
	}
	text, err := renderPrompt(w, path)
	if err != nil {
		return prompt{}, err
	}
	urgency, err := parseServiceTier(w.ServiceTier)
	if err != nil {
		return prompt{}, err
	}
	maxTokens := max(w.MaxTokens, w.MaxCompletionTokens)
	if w.MaxTokens < 0 || w.MaxCompletionTokens < 0 {
		return prompt{}, invalidRequest("`max_tokens` is negative", "send 1 or more, or leave it out")
	}
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	engineBody, err := engineBody(body)
	if err != nil {
		return prompt{}, err
	}
	return prompt{
		stream:       w.Stream,
		includeUsage: w.StreamOptions != nil && w.StreamOptions.IncludeUsage,
		request: zppipeline.PromptRequest{
			Path: path, Model: w.Model, Text: text, MaxTokens: maxTokens, Urgency: urgency, Body: engineBody,
		},
	}, nil
}

func renderPrompt(w wirePrompt, path string) (string, error) {
	if path == pathCompletion {
		var text string
		if err := json.Unmarshal(w.Prompt, &text); err != nil || text == "" {
			return "", invalidRequest("`prompt` is not a text", "send one prompt as a string")
		}
		return text, nil
	}
	if len(w.Messages) == 0 {
		return "", invalidRequest("`messages` is empty", "send at least one message")
	}
	var b strings.Builder
	for i, m := range w.Messages {
		content, err := contentText(m.Content)
		if err != nil || m.Role == "" {
			return "", invalidRequest(fmt.Sprintf("`messages[%d]` has no role or no text", i), "send role and content of each message")
		}
		b.WriteString(m.Role + "\n" + content + "\n")
	}
	return b.String(), nil
}

// contentText parses content that is a string or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []wirePart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("content part of type %q", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

func parseServiceTier(tier string) (zppipeline.Urgency, error) {
	switch tier {
	case "", "auto", "default":
		return zppipeline.UrgencyUnset, nil
	case tierPriority:
		return zppipeline.UrgencyUrgent, nil
	case tierFlex:
		return zppipeline.UrgencyOther, nil
	default:
		return 0, invalidRequest(fmt.Sprintf("`service_tier` %q is unknown", tier), "send priority, flex, or leave it out")
	}
}

// engineBody replaces only the members that the engine needs in another form,
// and leaves all others as the caller sent them.
func engineBody(body []byte) ([]byte, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, invalidRequest("the body is not a JSON object", "send JSON in the OpenAI form").WithCause(err)
	}
	members["stream"] = json.RawMessage("true")
	members["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	delete(members, "service_tier")
	return json.Marshal(members)
}

func invalidRequest(message, remedy string) *zperror.Error {
	return zperror.New(zperror.KindInvalid, "invalid_request", message, remedy)
}
