package zpfront

import (
	"github.com/kataras/iris/v12"

	"github.com/zinniapaddle/zinniapaddle/internal/zppipeline"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"
	maxKeyLength         = 255
)

// service passes a call on to a plain service.
func (f *Front) service(c iris.Context) {
	ctx, span := f.startSpan(c)
	defer span.End()
	body, err := f.readBody(c)
	if err != nil {
		writeError(c, err, "")
		return
	}
	key := c.GetHeader(headerIdempotencyKey)
	if len(key) > maxKeyLength {
		writeError(c, invalid("the Idempotency-Key is longer than 255 bytes", "send a shorter key"), "")
		return
	}
	path := "/" + c.Params().Get("rest")
	if query := c.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	job, answer, err := f.Pipeline.Service(ctx, zppipeline.ServiceRequest{
		Key: apiKey(c), Service: c.Params().Get("service"), Method: c.Method(), Path: path,
		ContentType: c.GetHeader("Content-Type"), Body: body, IdempotencyKey: key,
	})
	if err != nil {
		writeError(c, err, job.ID)
		return
	}
	c.Header(headerRequestID, job.ID)
	if answer.Replayed {
		c.Header(headerReplayed, "true")
	}
	if answer.ContentType != "" {
		c.ContentType(answer.ContentType)
	}
	c.StatusCode(answer.Status)
	// A caller that is gone can repeat the request with its key.
	_, _ = c.Write(answer.Body)
}
