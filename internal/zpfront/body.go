package zpfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

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
	tierPriority     = "priority"
	tierFlex         = "flex"
)

var errBodyTooLarge = zperror.New(zperror.KindInvalid, "body_too_large",
	"the request body is larger than this site allows",
	"shorten the request, or have the operators raise callers.max_body_bytes")

// readBody reads a request body within the size and time limits.
func (f *Server) readBody(c iris.Context) ([]byte, error) {
	w := c.ResponseWriter().Naive()
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(f.Clock().Add(f.Settings.BodyTimeout)); err != nil {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, c.Request().Body, f.Settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errBodyTooLarge
	}
	if err != nil {
		return nil, invalidRequest("the request body cannot be read", "send the whole body in time").WithCause(err)
	}
	return body, nil
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
