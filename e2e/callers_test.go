package e2e_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
)

const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	bookPath       = "/v1/services/bookings/book"
)

var _ = Describe("Callers", Ordered, func() {
	var site *zpsite.Site
	var key string
	var traceFile string

	BeforeAll(func() {
		dir, err := os.MkdirTemp("", "zinniapaddle-trace-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		traceFile = filepath.Join(dir, "spans.json")
		site = startSite(zpsite.Config{
			Number: 60, Daemons: 1, Runners: 2, Services: 1, RequireKey: true,
			Settings: map[string]string{
				"callers.max_body_bytes": "20000", "log.level": "debug", "trace.file": traceFile, "config.cut_off_policy": "serve_last",
			},
		})
		key = zpsite.Key(workspace)
	})

	DescribeTable("get a clear error with a remedy for bad input",
		func(method, path, body, apiKey string, status int, code string) {
			if apiKey == "good key" {
				apiKey = key
			}
			got, header, text := sendRequest(site, method, path, apiKey, body, nil)
			Expect(got).To(Equal(status), text)
			apiError := decodeError(text)
			Expect(apiError).To(And(HaveKeyWithValue("code", code), HaveKeyWithValue("run_state", "not_run"), HaveKey("remedy")))
			Expect(apiError["remedy"]).NotTo(BeEmpty())
			Expect(header.Get("Content-Type")).To(HavePrefix("application/json"))
		},
		Entry("bad JSON", "POST", chatPath, "{", "good key", 400, "invalid_request"),
		Entry("no key", "POST", chatPath, `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`, "", 401, "unknown_api_key"),
		Entry("unknown key", "POST", chatPath, `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`, "nobody", 401, "unknown_api_key"),
		Entry("unknown model", "POST", chatPath, `{"model":"oracle","messages":[{"role":"user","content":"x"}]}`, "good key", 404, "unknown_model"),
		Entry("oversize body", "POST", chatPath, strings.Repeat("x", 20001), "good key", 400, "body_too_large"),
		Entry("unknown service", "POST", "/v1/services/laundry/x", "{}", "good key", 404, "unknown_service"),
		Entry("service without a key", "POST", bookPath, "{}", "good key", 400, "idempotency_key_required"),
		Entry("unknown path", "GET", "/v2/nothing", "", "good key", 404, "unknown_path"),
		Entry("wrong method", "GET", chatPath, "", "good key", 404, "unknown_path"),
		Entry("models without a key", "GET", "/v1/models", "", "", 401, "unknown_api_key"),
	)

	It("get a complete answer", func() {
		status, _, text := sendRequest(site, "POST", chatPath, key, `{"model":"assistant","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}`, nil)
		Expect(status).To(Equal(200), text)
		Expect(text).To(ContainSubstring(zpstandin.Answer("user\nhi\n", "v1", 5)))
		Expect(text).To(ContainSubstring(`"object":"chat.completion"`))
	})

	It("get a stream that ends with usage and [DONE]", func() {
		status, header, text := sendRequest(site, "POST", completionPath, key,
			`{"model":"assistant","max_tokens":3,"prompt":"hi","stream":true,"stream_options":{"include_usage":true}}`, nil)
		Expect(status).To(Equal(200), text)
		Expect(header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(strings.Count(text, `"text":"w`)).To(Equal(3))
		Expect(text).To(ContainSubstring(`"prompt_tokens"`))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("get a stored answer when they repeat a booking, and an error when the key comes with another body", func() {
		h := map[string]string{"Idempotency-Key": "k1"}
		status, first, text := sendRequest(site, "POST", bookPath, key, "{}", h)
		Expect(status).To(Equal(200), text)
		Expect(first.Get("Idempotent-Replayed")).To(BeEmpty())
		Eventually(func() string {
			_, again, replay := sendRequest(site, "POST", bookPath, key, "{}", h)
			Expect(replay).To(Or(Equal(text), ContainSubstring("in_progress")))
			return again.Get("Idempotent-Replayed")
		}).Should(Equal("true"))
		status, _, text = sendRequest(site, "POST", bookPath, key, `{"other":1}`, h)
		Expect(status).To(Equal(400))
		Expect(decodeError(text)).To(HaveKeyWithValue("code", "idempotency_key_reused"))
	})

	It("can use an idempotency key that another workspace has used", func() {
		h := map[string]string{"Idempotency-Key": "shared"}
		for _, w := range []string{workspace, "shop-b"} {
			status, header, text := sendRequest(site, "POST", bookPath, zpsite.Key(w), `{"of":"`+w+`"}`, h)
			Expect(status).To(Equal(200), text)
			Expect(header.Get("Idempotent-Replayed")).To(BeEmpty())
		}
	})

	It("can read from a service without an idempotency key", func() {
		status, _, text := sendRequest(site, "GET", bookPath+"?day=1", key, "", nil)
		Expect(status).To(Equal(200), text)
	})

	It("can query health and readiness", func() {
		status, _, _ := sendRequest(site, "GET", "/healthz", "", "", nil)
		Expect(status).To(Equal(200))
		status, _, text := sendRequest(site, "GET", "/readyz", "", "", nil)
		Expect(status).To(Equal(200))
		Expect(text).To(Equal("ready\n"))
	})

	It("have a span exported for each step under their own trace ID", func() {
		id := "0af7651916cd43dd8448eb211c80319c"
		sendRequest(site, "POST", chatPath, key, `{"model":"assistant","messages":[{"role":"user","content":"traced"}]}`,
			map[string]string{"traceparent": "00-" + id + "-b7ad6b7169203331-01"})
		sendRequest(site, "POST", bookPath, key, "{}", map[string]string{"Idempotency-Key": "traced", "traceparent": "00-" + id + "-b7ad6b7169203331-01"})
		Eventually(func() string {
			text, err := os.ReadFile(traceFile)
			Expect(err).NotTo(HaveOccurred())
			return string(text)
		}, "10s").Should(And(ContainSubstring(id), ContainSubstring(`"reserve"`), ContainSubstring(`"dispatch"`),
			ContainSubstring(`"first token"`), ContainSubstring(`"claim"`), ContainSubstring(`"accept"`)))
	})

	It("have neither keys nor prompts written to the log", func() {
		secret := "the-secret-of-a-customer"
		sendRequest(site, "POST", chatPath, key, `{"model":"oracle","messages":[{"role":"user","content":"`+secret+`"}]}`, nil)
		log := site.Daemons[0].Log()
		Expect(log).To(ContainSubstring(`"event":400`))
		Expect(log).NotTo(ContainSubstring(secret))
		Expect(log).NotTo(ContainSubstring(key))
	})

	It("can read the metrics endpoint", func() {
		res, err := http.Get(site.AdminURL(0) + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		Expect(res.StatusCode).To(Equal(200))
	})
})
