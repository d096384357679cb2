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
	chat       = "/v1/chat/completions"
	completion = "/v1/completions"
	services   = "/v1/services/bookings/book"
)

var _ = Describe("Callers", Ordered, func() {
	var site *zpsite.Site
	var key string
	var traces string

	BeforeAll(func() {
		dir, err := os.MkdirTemp("", "zinniapaddle-trace-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		traces = filepath.Join(dir, "spans.json")
		site = startSite(zpsite.Config{
			Number: 60, Daemons: 1, Runners: 2, Services: 1, RequireKey: true,
			Settings: map[string]string{
				"callers.max_body_bytes": "20000", "log.level": "debug", "trace.file": traces, "config.cut_off_policy": "serve_last",
			},
		})
		key = zpsite.Key(workspace)
	})

	DescribeTable("get a clear error with a remedy for bad input",
		func(method, path, body, with string, status int, code string) {
			if with == "good key" {
				with = key
			}
			got, header, text := call(site, method, path, with, body, nil)
			Expect(got).To(Equal(status), text)
			e := errorOf(text)
			Expect(e).To(And(HaveKeyWithValue("code", code), HaveKeyWithValue("run_state", "not_run"), HaveKey("remedy")))
			Expect(e["remedy"]).NotTo(BeEmpty())
			Expect(header.Get("Content-Type")).To(HavePrefix("application/json"))
		},
		Entry("bad JSON", "POST", chat, "{", "good key", 400, "invalid_request"),
		Entry("no key", "POST", chat, `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`, "", 401, "unknown_api_key"),
		Entry("unknown key", "POST", chat, `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`, "nobody", 401, "unknown_api_key"),
		Entry("unknown model", "POST", chat, `{"model":"oracle","messages":[{"role":"user","content":"x"}]}`, "good key", 404, "unknown_model"),
		Entry("oversize body", "POST", chat, strings.Repeat("x", 20001), "good key", 400, "body_too_large"),
		Entry("unknown service", "POST", "/v1/services/laundry/x", "{}", "good key", 404, "unknown_service"),
		Entry("service without a key", "POST", services, "{}", "good key", 400, "idempotency_key_required"),
		Entry("unknown path", "GET", "/v2/nothing", "", "good key", 404, "unknown_path"),
		Entry("wrong method", "GET", chat, "", "good key", 404, "unknown_path"),
		Entry("models without a key", "GET", "/v1/models", "", "", 401, "unknown_api_key"),
	)

	It("get a whole answer", func() {
		status, _, text := call(site, "POST", chat, key, `{"model":"assistant","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}`, nil)
		Expect(status).To(Equal(200), text)
		Expect(text).To(ContainSubstring(zpstandin.Answer("user\nhi\n", "v1", 5)))
		Expect(text).To(ContainSubstring(`"object":"chat.completion"`))
	})

	It("get a stream with usage and an end mark", func() {
		status, header, text := call(site, "POST", completion, key,
			`{"model":"assistant","max_tokens":3,"prompt":"hi","stream":true,"stream_options":{"include_usage":true}}`, nil)
		Expect(status).To(Equal(200), text)
		Expect(header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(strings.Count(text, `"text":"w`)).To(Equal(3))
		Expect(text).To(ContainSubstring(`"prompt_tokens"`))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("get the answer of a booking again under its key, and another body is refused", func() {
		h := map[string]string{"Idempotency-Key": "k1"}
		status, first, text := call(site, "POST", services, key, "{}", h)
		Expect(status).To(Equal(200), text)
		Expect(first.Get("Idempotent-Replayed")).To(BeEmpty())
		Eventually(func() string {
			_, again, replay := call(site, "POST", services, key, "{}", h)
			Expect(replay).To(Or(Equal(text), ContainSubstring("in_progress")))
			return again.Get("Idempotent-Replayed")
		}).Should(Equal("true"))
		status, _, text = call(site, "POST", services, key, `{"other":1}`, h)
		Expect(status).To(Equal(400))
		Expect(errorOf(text)).To(HaveKeyWithValue("code", "idempotency_key_reused"))
	})

	It("of one workspace do not meet the keys of another", func() {
		h := map[string]string{"Idempotency-Key": "shared"}
		for _, w := range []string{workspace, "shop-b"} {
			status, header, text := call(site, "POST", services, zpsite.Key(w), `{"of":"`+w+`"}`, h)
			Expect(status).To(Equal(200), text)
			Expect(header.Get("Idempotent-Replayed")).To(BeEmpty())
		}
	})

	It("read from a service without a key", func() {
		status, _, text := call(site, "GET", services+"?day=1", key, "", nil)
		Expect(status).To(Equal(200), text)
	})

	It("find health and readiness", func() {
		status, _, _ := call(site, "GET", "/healthz", "", "", nil)
		Expect(status).To(Equal(200))
		status, _, text := call(site, "GET", "/readyz", "", "", nil)
		Expect(status).To(Equal(200))
		Expect(text).To(Equal("ready\n"))
	})

	It("leave a span for each hop, under the caller's trace", func() {
		id := "0af7651916cd43dd8448eb211c80319c"
		call(site, "POST", chat, key, `{"model":"assistant","messages":[{"role":"user","content":"traced"}]}`,
			map[string]string{"traceparent": "00-" + id + "-b7ad6b7169203331-01"})
		call(site, "POST", services, key, "{}", map[string]string{"Idempotency-Key": "traced", "traceparent": "00-" + id + "-b7ad6b7169203331-01"})
		Eventually(func() string {
			text, err := os.ReadFile(traces)
			Expect(err).NotTo(HaveOccurred())
			return string(text)
		}, "10s").Should(And(ContainSubstring(id), ContainSubstring(`"reserve"`), ContainSubstring(`"dispatch"`),
			ContainSubstring(`"first token"`), ContainSubstring(`"claim"`), ContainSubstring(`"accept"`)))
	})

	It("find neither keys nor prompts in the log", func() {
		secret := "the-secret-of-a-customer"
		call(site, "POST", chat, key, `{"model":"oracle","messages":[{"role":"user","content":"`+secret+`"}]}`, nil)
		log := site.Daemons[0].Log()
		Expect(log).To(ContainSubstring(`"event":400`))
		Expect(log).NotTo(ContainSubstring(secret))
		Expect(log).NotTo(ContainSubstring(key))
	})

	It("are counted in the metrics", func() {
		res, err := http.Get(site.AdminURL(0) + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		Expect(res.StatusCode).To(Equal(200))
	})
})
