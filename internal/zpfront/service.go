package zpfront

import (
	"github.com/kataras/iris/v12"

	"github.com/zinniapaddle/zinniapaddle/internal/zppipeline"
)

const (
	headerIdempotencyKey   = "Idempotency-Key"
	headerReplayed         = "Idempotent-Replayed"
	maxIdempotencyKeyBytes = 255
)

// service forwards a request to a plain service.
func (f *Server) service(c iris.Context) {
	ctx, span := f.startSpan(c)
	defer span.End()
	body, err := f.readBody(c, 0)
	if err != nil {
		writeError(c, err, "")
		return
	}
	key := c.GetHeader(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		writeError(c, invalidRequest("the Idempotency-Key is longer than 255 bytes", "send a shorter key"), "")
		return
	}
	path := "/" + c.Params().Get("rest")
	if query := c.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	job, response, err := f.Pipeline.Service(ctx, zppipeline.ServiceRequest{
		Key: apiKey(c), Service: c.Params().Get("service"), Method: c.Method(), Path: path,
		ContentType: c.GetHeader("Content-Type"), Body: body, IdempotencyKey: key,
	})
	if err != nil {
		writeError(c, err, job.ID)
		return
	}
	c.Header(headerRequestID, job.ID)
	if response.Replayed {
		c.Header(headerReplayed, "true")
	}
	if response.ContentType != "" {
		c.ContentType(response.ContentType)
	}
	c.StatusCode(response.Status)
	// After a write error, the caller can repeat the request with its key.
	_, _ = c.Write(response.Body)
}
