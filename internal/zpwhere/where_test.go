package zpwhere_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpforecast"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpwhere"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

const secretKey = "secret-key"

var _ = Describe("Asking where a request would go", func() {
	var asked *zpgateway.Request
	var explanation zpgateway.Explanation
	var admin string

	BeforeEach(func() {
		catalog := (&zpcatalog.Catalog{
			Version:    7,
			Routes:     []zpcatalog.Route{{Name: "triage", Host: "shop", PathPrefix: "/t/"}},
			Workspaces: []zpcatalog.Workspace{{Name: "w", Keys: []string{secretKey}}, {Name: "keyless"}},
		}).BuildIndexes()
		explanation = zpgateway.Explanation{
			Route: "triage", Workspace: "w", Pool: "p", CatalogVersion: 7, IsCutOff: true, Fate: zpgateway.FateSent, Endpoint: "e1",
			Candidates: []zpgateway.CandidateExplanation{
				{Endpoint: "e1", Cost: 12 * time.Millisecond, Terms: []zpplace.Term{{Name: "running", Cost: 2 * time.Millisecond}}, Source: "e2", IsBlocked: true},
				{Endpoint: "e2", Excluded: "it has no room"},
			},
		}
		server := httptest.NewServer(&zpwhere.Handler{
			Where: func(_ context.Context, q *zpgateway.Request) zpgateway.Explanation {
				asked = q
				return explanation
			},
			Catalog: func() *zpcatalog.Catalog { return catalog }, Clock: time.Now,
		})
		DeferCleanup(server.Close)
		admin = server.URL
	})

	ask := func(q zpwhere.Query) (text, document string) {
		GinkgoHelper()
		answer, err := zpwhere.Ask(context.Background(), admin, q)
		Expect(err).NotTo(HaveOccurred())
		var a, b bytes.Buffer
		Expect(answer.WriteText(&a)).To(Succeed())
		Expect(answer.WriteJSON(&b)).To(Succeed())
		for _, out := range []string{a.String(), b.String()} {
			Expect(out).NotTo(ContainSubstring(secretKey))
		}
		return a.String(), b.String()
	}
	expectCode := func(err error, code string) {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		e := zperror.Of(err)
		Expect(e.Code).To(Equal(code))
		Expect(e.Remedy).NotTo(BeEmpty())
	}

	It("prints the endpoint, each term of the costs and why others are excluded", func() {
		text, document := ask(zpwhere.Query{Route: "triage", Workspace: "w", Model: "m", Tokens: 30, Parts: []zpgateway.Part{{ID: "a", Tokens: 20}}})
		Expect(text).To(SatisfyAll(ContainSubstring("sent to e1"), ContainSubstring("running 2.0"), ContainSubstring("parts from e2"), ContainSubstring("through another daemon"), ContainSubstring("only through other daemons"), ContainSubstring("excluded: it has no room")))
		Expect(document).To(SatisfyAll(ContainSubstring(`"endpoint":"e1"`), ContainSubstring(`"cost_ms":12`)))
		Expect(asked.APIKey).To(Equal(secretKey))
		Expect(asked.Host + asked.Path).To(Equal("shop/t/"))
		Expect(asked.Prompt.Parts).To(HaveLen(1))
	})

	It("prints the numbers by which a request waits or is refused", func() {
		explanation.Fate, explanation.Endpoint = zpgateway.FateRefused, ""
		explanation.Error = zperror.New(zperror.KindUnavailable, "overloaded", "no room", "come back").WithRetryAfter(700 * time.Millisecond)
		explanation.Wait = &zpgateway.WaitForecast{Wait: zpforecast.Wait{Ahead: 300}, Verdict: zpforecast.Verdict{Reason: zpforecast.ReasonQueue, PerSecond: 50}}
		text, _ := ask(zpwhere.Query{Host: "shop", Path: "/t/1", Key: secretKey})
		Expect(text).To(SatisfyAll(ContainSubstring("refused: overloaded"), ContainSubstring("Retry-After 700 ms"), ContainSubstring("ahead 300 at 50/s")))
	})

	DescribeTable("fails with a clear error",
		func(code string, q zpwhere.Query) {
			_, err := zpwhere.Ask(context.Background(), admin, q)
			expectCode(err, code)
		},
		Entry("unknown route", "unknown_route", zpwhere.Query{Route: "none"}),
		Entry("unknown workspace", "unknown_workspace", zpwhere.Query{Route: "triage", Workspace: "none"}),
		Entry("workspace without a key", "unknown_workspace", zpwhere.Query{Route: "triage", Workspace: "keyless"}),
		Entry("negative tokens", "bad_query", zpwhere.Query{Route: "triage", Model: "m", Tokens: -1}),
		Entry("a query that is too large", "bad_query", zpwhere.Query{Route: strings.Repeat("x", 65<<10)}),
	)

	It("fails with a clear error if the daemon is away or serves something else", func() {
		other := httptest.NewServer(http.NotFoundHandler())
		_, err := zpwhere.Ask(context.Background(), other.URL, zpwhere.Query{Route: "triage"})
		expectCode(err, "daemon_away")
		other.Close()
		_, err = zpwhere.Ask(context.Background(), other.URL, zpwhere.Query{Route: "triage"})
		expectCode(err, "daemon_away")
	})

	It("only accepts POST", func() {
		res, err := http.Get(admin + zpwhere.Path)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Expect(res.StatusCode).To(Equal(http.StatusBadRequest))
	})
})
