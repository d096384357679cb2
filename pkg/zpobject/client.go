package zpobject

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

type (
	// Client implements API over the platform's HTTP protocol. The fields must
	// be set before use.
	Client struct {
		BaseURL string
		HTTP    *http.Client
		Timeout time.Duration                // limit of one call, in addition to the wait of a watch
		OnCall  func(call string, err error) // called after each call; may be nil
	}

	response struct {
		status int
		body   []byte
	}
)

const maxResponseBytes = 64 << 20

// Get returns one object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	r, err := c.call(ctx, "get", http.MethodGet, objectPath(name), nil, 0)
	if err != nil {
		return Object{}, err
	}
	return decodeObject(r.body)
}

// List returns all objects under a prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	r, err := c.call(ctx, "list", http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(prefix), nil, 0)
	if err != nil {
		return Listing{}, err
	}
	return decodeListing(r.body)
}

// Put creates or conditionally updates an object.
func (c *Client) Put(ctx context.Context, name string, body []byte, ifRevision int64) (Object, error) {
	if len(body) > MaxBodyBytes {
		return Object{}, ErrTooLarge
	}
	path := objectPath(name) + "?if_revision=" + strconv.FormatInt(ifRevision, 10)
	r, err := c.call(ctx, "put", http.MethodPut, path, body, 0)
	if err != nil {
		return Object{}, err
	}
	return decodeObject(r.body)
}

// Delete removes an object if it still has the given revision.
func (c *Client) Delete(ctx context.Context, name string, ifRevision int64) error {
	path := objectPath(name) + "?if_revision=" + strconv.FormatInt(ifRevision, 10)
	_, err := c.call(ctx, "delete", http.MethodDelete, path, nil, 0)
	return err
}

// Watch returns the changes under a prefix after revision from. The platform waits
// up to wait for the first change.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (Listing, error) {
	path := fmt.Sprintf("/v1/watch?prefix=%s&from=%d&wait_ms=%d", url.QueryEscape(prefix), from, wait.Milliseconds())
	r, err := c.call(ctx, "watch", http.MethodGet, path, nil, wait)
	if err != nil {
		return Listing{}, err
	}
	return decodeListing(r.body)
}

// VMs returns the platform's list of VMs, which lags behind the actual state.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	r, err := c.call(ctx, "vms", http.MethodGet, "/v1/vms", nil, 0)
	if err != nil {
		return nil, err
	}
	return DecodeVMs(r.body)
}

func (c *Client) call(ctx context.Context, name, method, path string, body []byte, wait time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+wait)
	defer cancel()
	r, err := c.send(ctx, method, path, body)
	if err == nil {
		err = statusError(r.status)
	}
	if c.OnCall != nil {
		c.OnCall(name, err)
	}
	return r, err
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, ErrUnavailable.WithCause(err)
	}
	// Without GetBody the transport cannot resend a write.
	req.GetBody = nil
	res, err := c.HTTP.Do(req)
	if err != nil {
		return response{}, transportError(method, sent.Load(), err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return response{}, transportError(method, true, err)
	}
	return response{status: res.StatusCode, body: text}, nil
}

// transportError classifies a request without a complete response. Its outcome is
// unknown if it is a write for which a connection was available.
func transportError(method string, sent bool, cause error) error {
	if method == http.MethodGet || !sent {
		return ErrUnavailable.WithCause(cause)
	}
	return ErrOutcomeUnknown.WithCause(cause)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound, http.StatusGone:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return ErrOutcomeUnknown.WithCause(fmt.Errorf("status %d", status))
	}
}

func objectPath(name string) string { return "/v1/objects/" + url.PathEscape(name) }
