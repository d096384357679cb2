package zpfront

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
)

var _ = Describe("readBody", func() {
	It("lets a request run for longer than its body may take to arrive", func() {
		const bodyTimeout = 50 * time.Millisecond
		f := &Server{Settings: zpsettings.Callers{BodyTimeout: bodyTimeout, MaxBodyBytes: 100}, Clock: time.Now}
		app := iris.New()
		app.Post("/", func(c iris.Context) {
			_, err := f.readBody(c, 0)
			Expect(err).NotTo(HaveOccurred())
			select {
			case <-c.Request().Context().Done():
				c.StatusCode(http.StatusGatewayTimeout)
			case <-time.After(6 * bodyTimeout):
			}
		})
		Expect(app.Build()).To(Succeed())
		server := httptest.NewServer(app)
		DeferCleanup(server.Close)
		res, err := http.Post(server.URL+"/", "text/plain", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(res.Body.Close)
		Expect(res.StatusCode).To(Equal(http.StatusOK))
	})
})
