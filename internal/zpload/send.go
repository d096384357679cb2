package zpload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
)

type (
	wireRequest struct {
		Model       string        `json:"model"`
		Messages    []wireMessage `json:"messages"`
		Stream      bool          `json:"stream"`
		MaxTokens   int           `json:"max_tokens"`
		ServiceTier string        `json:"service_tier,omitempty"`
	}
	wireMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	wireEvent struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *wireError `json:"error"`
	}
	wireErrorBody struct {
		Error wireError `json:"error"`
	}
	wireError struct {
		Code      string `json:"code"`
		RunState  string `json:"run_state"`
		RequestID string `json:"request_id"`
	}
)

const role = "user"

// send sends one request and reads its answer.
func (l *Load) send(ctx context.Context, target string, r Request) result {
	ctx, cancel := context.WithTimeout(ctx, l.Patience)
	defer cancel()
	start := time.Now()
	res, err := l.post(ctx, target, r)
	if isDial(err) {
		// The balancer goes to the next daemon when a connection is refused.
		res, err = l.post(ctx, l.ready.another(target), r)
	}
	if err != nil {
		return result{end: endBroken, code: "connection"}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return readError(res)
	}
	if r.Share.Service != "" {
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return result{end: endBroken, code: "connection"}
		}
		return result{end: endCompleted, first: time.Since(start)}
	}
	return l.readStream(res.Body, r, start)
}

func (l *Load) post(ctx context.Context, target string, r Request) (*http.Response, error) {
	path, body := "/v1/services/"+r.Share.Service+"/"+r.Share.Name, []byte(r.Text)
	if r.Share.Service == "" {
		path = "/v1/chat/completions"
		text, err := json.Marshal(wireRequest{
			Model: l.Mix.Model, Stream: true, MaxTokens: r.Share.AnswerTokens, ServiceTier: r.Share.Tier,
			Messages: []wireMessage{{Role: role, Content: r.Text}},
		})
		if err != nil {
			return nil, err
		}
		body = text
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+l.Keys[r.Workspace])
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return l.client.Do(req)
}

// readStream reads a stream to its end and compares it with the answer that
// the engine must give.
func (l *Load) readStream(body io.Reader, r Request, start time.Time) result {
	var text strings.Builder
	first := time.Duration(0)
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return result{end: endBroken, code: "connection"}
		}
		if event.Data == "[DONE]" {
			return l.compare(text.String(), r, first)
		}
		var e wireEvent
		if err := json.Unmarshal([]byte(event.Data), &e); err != nil {
			return result{end: endWrong, code: "not_json"}
		}
		if e.Error != nil {
			return ended(*e.Error)
		}
		for _, c := range e.Choices {
			if first == 0 {
				first = time.Since(start)
			}
			text.WriteString(c.Delta.Content)
		}
	}
	return result{end: endBroken, code: "torn"}
}

func (l *Load) compare(text string, r Request, first time.Duration) result {
	expected := zpstandin.Answer(role+"\n"+r.Text+"\n", l.WeightVersion, r.Share.AnswerTokens)
	if text != expected {
		return result{end: endWrong, code: "other_bytes"}
	}
	return result{end: endCompleted, first: first}
}

func readError(res *http.Response) result {
	var body wireErrorBody
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		return result{end: endFailed, code: "not_json"}
	}
	return ended(body.Error)
}

func ended(e wireError) result {
	r := result{end: endFailed, code: e.Code, id: e.RequestID}
	switch e.RunState {
	case "not_run":
		r.end = endNotRun
	case "unknown":
		r.end = endUnknown
	}
	return r
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
