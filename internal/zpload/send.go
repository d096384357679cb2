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

const userRole = "user"

// send sends one request and reads the response.
func (l *Load) send(ctx context.Context, target string, r Request) result {
	ctx, cancel := context.WithTimeout(ctx, l.RequestTimeout)
	defer cancel()
	start := time.Now()
	res, err := l.post(ctx, target, r)
	if isDialError(err) {
		// Like the load balancer, tries another daemon if the connection can't be
		// established.
		res, err = l.post(ctx, l.ready.otherThan(target), r)
	}
	if err != nil {
		return result{outcome: outcomeBroken, code: "connection"}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return readError(res)
	}
	if r.Share.Service != "" {
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return result{outcome: outcomeBroken, code: "connection"}
		}
		return result{outcome: outcomeCompleted, firstToken: time.Since(start)}
	}
	return l.readStream(res.Body, r, start)
}

func (l *Load) post(ctx context.Context, target string, r Request) (*http.Response, error) {
	path, body := "/v1/services/"+r.Share.Service+"/"+r.Share.Name, []byte(r.Text)
	if r.Share.Service == "" {
		path = "/v1/chat/completions"
		text, err := json.Marshal(wireRequest{
			Model: l.Mix.Model, Stream: true, MaxTokens: r.Share.AnswerTokens, ServiceTier: r.Share.Tier,
			Messages: []wireMessage{{Role: userRole, Content: r.Text}},
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

// readStream reads an event stream to its end and compares the text with the
// answer that the stand-in engine must give.
func (l *Load) readStream(body io.Reader, r Request, start time.Time) result {
	var text strings.Builder
	firstToken := time.Duration(0)
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return result{outcome: outcomeBroken, code: "connection"}
		}
		if event.Data == "[DONE]" {
			return l.compare(text.String(), r, firstToken)
		}
		var e wireEvent
		if err := json.Unmarshal([]byte(event.Data), &e); err != nil {
			return result{outcome: outcomeWrong, code: "not_json"}
		}
		if e.Error != nil {
			return errorResult(*e.Error)
		}
		for _, c := range e.Choices {
			if firstToken == 0 {
				firstToken = time.Since(start)
			}
			text.WriteString(c.Delta.Content)
		}
	}
	return result{outcome: outcomeBroken, code: "torn"}
}

func (l *Load) compare(text string, r Request, firstToken time.Duration) result {
	expected := zpstandin.Answer(userRole+"\n"+r.Text+"\n", l.WeightVersion, r.Share.AnswerTokens)
	if text != expected {
		return result{outcome: outcomeWrong, code: "other_bytes"}
	}
	return result{outcome: outcomeCompleted, firstToken: firstToken}
}

func readError(res *http.Response) result {
	var body wireErrorBody
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		return result{outcome: outcomeFailed, code: "not_json"}
	}
	return errorResult(body.Error)
}

func errorResult(e wireError) result {
	r := result{outcome: outcomeFailed, code: e.Code, id: e.RequestID}
	switch e.RunState {
	case "not_run":
		r.outcome = outcomeNotRun
	case "unknown":
		r.outcome = outcomeUnknown
	}
	return r
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
