package zpengine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var ctx = context.Background()

func newClient() *zpengine.Client {
	c := &zpengine.Client{ConnectTimeout: time.Second, Clock: time.Now}
	c.Open()
	DeferCleanup(c.Close)
	return c
}

func newGate() *zpengine.Gate {
	return &zpengine.Gate{Deadline: time.Now().Add(time.Minute), Clock: time.Now}
}

func serve(h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.URL
}

func stream(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(zpengine.HeaderBoot, "b1")
		for _, e := range events {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", e)
		}
	}
}

func token(text string) string { return fmt.Sprintf(`{"choices":[{"delta":{"content":%q}}]}`, text) }

// generate runs a prompt and returns the received text.
func generate(address string, g *zpengine.Gate, handle func(zpengine.Piece) error) (string, zpengine.Outcome) {
	var text strings.Builder
	gen := zpengine.GenerationRequest{Address: address, Body: []byte("{}"), FirstTokenTimeout: 300 * time.Millisecond, StallTimeout: 300 * time.Millisecond}
	o := newClient().Generate(ctx, gen, g, func(p zpengine.Piece) error {
		text.WriteString(p.Text)
		return handle(p)
	})
	return text.String(), o
}

func acceptPiece(zpengine.Piece) error { return nil }

func notStarted(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(zpengine.HeaderNotStarted, "true")
		w.WriteHeader(code)
	}
}

// neverRespond reads the request and never responds.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("Generate", func() {
	// Guards against pieces that come twice because an engine starts a resumed stream again.
	DescribeTable("goes on with a stream only if the engine confirms where",
		func(confirmed string, isDone bool) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if confirmed != "" {
					w.Header().Set(zpengine.HeaderResumeFrom, confirmed)
				}
				stream(token("c"), "[DONE]")(w, r)
			}))
			DeferCleanup(server.Close)
			gen := zpengine.GenerationRequest{
				Address: server.URL, Body: []byte("{}"), ResumeFrom: 2, FirstTokenTimeout: 300 * time.Millisecond, StallTimeout: 300 * time.Millisecond,
			}
			pieces := 0
			o := newClient().Generate(ctx, gen, newGate(), func(zpengine.Piece) error {
				pieces++
				return nil
			})
			Expect(o.Done).To(Equal(isDone))
			Expect(pieces > 0).To(Equal(isDone))
		},
		Entry("it does", "2", true),
		Entry("it says nothing", "", false),
		Entry("it goes on elsewhere", "1", false),
	)

	It("receives all pieces up to [DONE]", func() {
		usage := `{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":3}}}`
		text, o := generate(serve(stream(token("a"), token("b"), usage, "[DONE]")), newGate(), acceptPiece)
		Expect(text).To(Equal("ab"))
		Expect(o.Done).To(BeTrue())
		Expect(o.BootID).To(Equal("b1"))
		Expect(o.Usage).To(Equal(zpengine.Usage{PromptTokens: 7, CachedTokens: 3, CompletionTokens: 2}))
		Expect(o.RunState()).To(Equal(zperror.RunStateRan))
	})

	DescribeTable("reports how a run ended and whether it may have run",
		func(h http.HandlerFunc, kind zpadmission.Outcome, state zperror.RunState) {
			_, o := generate(serve(h), newGate(), acceptPiece)
			Expect(o.Done).To(BeFalse())
			Expect(o.Kind).To(Equal(kind))
			Expect(o.RunState()).To(Equal(state))
		},
		Entry("truncated stream", stream(token("a")), zpadmission.OutcomeBroken, zperror.RunStateUnknown),
		Entry("broken connection", abortConnection, zpadmission.OutcomeBroken, zperror.RunStateUnknown),
		Entry("not JSON", stream("{"), zpadmission.OutcomeBroken, zperror.RunStateUnknown),
		Entry("error event", stream(`{"error":{"message":"x"}}`), zpadmission.OutcomeBroken, zperror.RunStateUnknown),
		Entry("error status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, zpadmission.OutcomeFailed, zperror.RunStateUnknown),
		Entry("rejected before work", notStarted(503), zpadmission.OutcomeRefused, zperror.RunStateNotRun),
		Entry("another weight version", notStarted(409), zpadmission.OutcomeNotStarted, zperror.RunStateNotRun),
		Entry("no first token", neverRespond, zpadmission.OutcomeOverdue, zperror.RunStateUnknown),
	)

	It("reports not run when the connection is refused", func() {
		_, o := generate("http://127.0.0.1:1", newGate(), acceptPiece)
		Expect(o.Kind).To(Equal(zpadmission.OutcomeRefused))
		Expect(o.RunState()).To(Equal(zperror.RunStateNotRun))
	})

	It("sends nothing after the deadline", func() {
		var calls atomic.Int64
		address := serve(func(http.ResponseWriter, *http.Request) { calls.Add(1) })
		g := &zpengine.Gate{Deadline: time.Now().Add(-time.Second), Clock: time.Now}
		_, o := generate(address, g, acceptPiece)
		Expect(o.Kind).To(Equal(zpadmission.OutcomeNotStarted))
		Expect(o.RunState()).To(Equal(zperror.RunStateNotRun))
		Expect(calls.Load()).To(BeZero())
	})

	It("returns ErrDeadline even if the transport reports a closed connection first", func() {
		address := serve(func(http.ResponseWriter, *http.Request) {})
		for range 1500 {
			g := &zpengine.Gate{Deadline: time.Now().Add(-time.Second), Clock: time.Now}
			_, o := generate(address, g, acceptPiece)
			Expect(o.Kind).To(Equal(zpadmission.OutcomeNotStarted))
			Expect(o.Err).To(MatchError(zpengine.ErrDeadline))
		}
	})

	It("returns ErrDeadline although the first token is overdue meanwhile", func() {
		address := serve(func(http.ResponseWriter, *http.Request) {})
		gen := zpengine.GenerationRequest{Address: address, Body: []byte("{}"), FirstTokenTimeout: time.Millisecond, StallTimeout: time.Second}
		// The check of the deadline outlasts the timeout of the first token.
		slowClock := func() time.Time {
			timeoutPassed := make(chan struct{})
			time.AfterFunc(20*gen.FirstTokenTimeout, func() { close(timeoutPassed) })
			<-timeoutPassed
			return time.Now()
		}
		g := &zpengine.Gate{Deadline: time.Now().Add(-time.Second), Clock: slowClock}
		o := newClient().Generate(ctx, gen, g, acceptPiece)
		Expect(o.Err).To(MatchError(zpengine.ErrDeadline))
		Expect(o.Kind).To(Equal(zpadmission.OutcomeNotStarted))
		Expect(o.RunState()).To(Equal(zperror.RunStateNotRun))
	})

	It("calls OnSend before it checks the deadline", func() {
		order := []string{}
		g := &zpengine.Gate{Deadline: time.Now().Add(time.Minute), OnSend: func() { order = append(order, "start") }}
		g.Clock = func() time.Time {
			order = append(order, "clock")
			return time.Now()
		}
		generate(serve(stream("[DONE]")), g, acceptPiece)
		Expect(order[:2]).To(Equal([]string{"start", "clock"}))
	})

	It("cancels the run when the handler returns an error", func() {
		errDisconnected := errors.New("gone")
		_, o := generate(serve(stream(token("a"), token("b"), "[DONE]")), newGate(), func(zpengine.Piece) error { return errDisconnected })
		Expect(o.Kind).To(Equal(zpadmission.OutcomeCancelled))
		Expect(o.Err).To(MatchError(errDisconnected))
	})
})

// textLog records texts. It is safe for concurrent use.
type textLog struct {
	mu    sync.Mutex
	texts []string
}

func (l *textLog) add(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.texts = append(l.texts, text)
}

func (l *textLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.texts)
}

var _ = Describe("Call", func() {
	call := func(address string, idempotent bool) zpengine.ServiceCall {
		return zpengine.ServiceCall{
			Address: address, Method: http.MethodPost, Path: "/x", Body: []byte("b"), IdempotencyKey: "k",
			Timeout: time.Second, Idempotent: idempotent,
		}
	}

	It("returns the response whatever its status", func() {
		a, o := newClient().Call(ctx, call(serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(418) }), false), newGate())
		Expect(a.Status).To(Equal(418))
		Expect(o.RunState()).To(Equal(zperror.RunStateRan))
	})

	// Guards against a late copy of the refusal of another request.
	It("takes a refusal that names another request for a lost response", func() {
		address := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(zpengine.HeaderRequestID, "earlier")
			w.Header().Set(zpengine.HeaderNotStarted, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		c := call(address, true)
		c.RequestID = "r"
		_, o := newClient().Call(ctx, c, newGate())
		Expect(o.RunState()).To(Equal(zperror.RunStateUnknown))
	})

	// Guards against an endpoint in trouble whose numbers are passed on as an answer.
	DescribeTable("returns no response with a status that is none",
		func(status string) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(lis.Close)
			go func() {
				conn, err := lis.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096)) // an error shows as a missing response
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 0\r\n\r\n", status)
				_ = conn.Close()
			}()
			a, o := newClient().Call(ctx, call("http://"+lis.Addr().String(), false), newGate())
			Expect(a.Status).To(BeZero())
			Expect(o.Done).To(BeFalse())
			Expect(o.RunState()).To(Equal(zperror.RunStateUnknown))
		},
		Entry("zero", "000"),
		Entry("two digits", "099"),
		Entry("a switch of protocols", "101"),
		Entry("above all classes", "600"),
		Entry("the highest of three digits", "999"),
	)

	DescribeTable("sends a request at most once, although it carries an Idempotency-Key",
		func(body string) {
			// The server closes the connection after it has read the request, which
			// makes an http.Transport send a replayable request again.
			received := &textLog{}
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(lis.Close)
			go func() {
				for {
					conn, err := lis.Accept()
					if err != nil {
						return
					}
					buffer := make([]byte, 4096)
					if n, _ := conn.Read(buffer); n > 0 {
						received.add(string(buffer[:n]))
					}
					_ = conn.Close()
				}
			}()
			c := call("http://"+lis.Addr().String(), false)
			c.Body = []byte(body)
			_, o := newClient().Call(ctx, c, newGate())
			Expect(o.RunState()).To(Equal(zperror.RunStateUnknown))
			Consistently(received.all, "50ms").Should(HaveLen(1))
		},
		Entry("with a body", "b"),
		Entry("without a body", ""),
	)

	It("does not follow redirects", func() {
		var calls atomic.Int64
		address := serve(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		})
		a, _ := newClient().Call(ctx, call(address, false), newGate())
		Expect(a.Status).To(Equal(http.StatusTemporaryRedirect))
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})
})

func FuzzStream(f *testing.F) {
	f.Add([]byte("data: " + token("a") + "\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"choices\":[{}]}\n\n"))
	f.Add([]byte(": comment\nid: 3\ndata\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) }))
		defer s.Close()
		c := &zpengine.Client{ConnectTimeout: time.Second, Clock: time.Now}
		c.Open()
		defer c.Close()
		gen := zpengine.GenerationRequest{Address: s.URL, Body: []byte("{}"), FirstTokenTimeout: time.Second, StallTimeout: time.Second}
		o := c.Generate(context.Background(), gen, newGate(), acceptPiece)
		if o.Done && !strings.Contains(string(text), "[DONE]") {
			t.Fatalf("done without [DONE]: %q", text)
		}
	})
}
