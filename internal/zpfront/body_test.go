package zpfront

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zppipeline"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var _ = Describe("readPrompt", func() {
	It("renders messages with string content and with text parts", func() {
		p, err := readPrompt([]byte(`{"model":"m","messages":[{"role":"system","content":"a"},
			{"role":"user","content":[{"type":"text","text":"b"},{"type":"text","text":"c"}]}]}`), pathChat)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.request.Text).To(Equal("system\na\nuser\nbc\n"))
		Expect(p.request.MaxTokens).To(Equal(defaultMaxTokens))
		Expect(p.stream).To(BeFalse())
	})

	It("requests a stream with usage from the engine and keeps other members", func() {
		p, err := readPrompt([]byte(`{"model":"m","prompt":"x","temperature":0.5,"service_tier":"flex"}`), pathCompletion)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.request.Urgency).To(Equal(zppipeline.UrgencyOther))
		var members map[string]any
		Expect(json.Unmarshal(p.request.Body, &members)).To(Succeed())
		Expect(members).To(HaveKeyWithValue("stream", true))
		Expect(members).To(HaveKeyWithValue("temperature", 0.5))
		Expect(members).NotTo(HaveKey("service_tier"))
	})

	DescribeTable("rejects invalid input with a remedy and run state not run",
		func(body, path string) {
			_, err := readPrompt([]byte(body), path)
			Expect(err).To(HaveOccurred())
			e := zperror.Of(err)
			Expect(e.Kind).To(Equal(zperror.KindInvalid))
			Expect(e.Remedy).NotTo(BeEmpty())
			Expect(e.RunState).To(Equal(zperror.RunStateNotRun))
		},
		Entry("not JSON", `{`, pathChat),
		Entry("a list", `[]`, pathChat),
		Entry("no model", `{"messages":[{"role":"user","content":"x"}]}`, pathChat),
		Entry("no messages", `{"model":"m"}`, pathChat),
		Entry("no role", `{"model":"m","messages":[{"content":"x"}]}`, pathChat),
		Entry("an image part", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, pathChat),
		Entry("content of another type", `{"model":"m","messages":[{"role":"user","content":5}]}`, pathChat),
		Entry("no prompt", `{"model":"m"}`, pathCompletion),
		Entry("a list of prompts", `{"model":"m","prompt":["a"]}`, pathCompletion),
		Entry("negative tokens", `{"model":"m","prompt":"a","max_tokens":-1}`, pathCompletion),
		Entry("unknown tier", `{"model":"m","prompt":"a","service_tier":"gold"}`, pathCompletion),
	)
})

var _ = Describe("errorBody", func() {
	It("has the OpenAI error format, a remedy and the run state", func() {
		text, err := json.Marshal(errorBody(errBodyTooLarge, "id"))
		Expect(err).NotTo(HaveOccurred())
		var body struct{ Error map[string]any }
		Expect(json.Unmarshal(text, &body)).To(Succeed())
		Expect(body.Error).To(And(HaveKeyWithValue("code", "body_too_large"), HaveKeyWithValue("run_state", "not_run"),
			HaveKeyWithValue("type", "invalid_request_error"), HaveKey("remedy"), HaveKey("message"), HaveKey("param")))
	})
})

func FuzzReadPrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","prompt":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{pathChat, pathCompletion} {
			p, err := readPrompt(body, path)
			if err == nil && !json.Valid(p.request.Body) {
				t.Fatalf("body for the engine is not JSON: %q", p.request.Body)
			}
		}
	})
}
