package zpmemory

import (
	"errors"
	"io"
	"time"
)

// firstBodyBytes is the first buffer of a body without a length.
const firstBodyBytes = 4 << 10

// ErrBodyTooLarge is returned for a body that is larger than its limit.
var ErrBodyTooLarge = errors.New("the body is larger than its limit")

// ReadBody reads a body to its end and reserves its bytes before it reads them. A negative
// length is unknown. After an error the reserved bytes stay with the holder.
func (h *Holder) ReadBody(body io.Reader, length, limit int64, clock func() time.Time) ([]byte, error) {
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	h.Enter(PhaseBody, clock())
	defer func() { h.Enter(PhaseRunning, clock()) }()
	if length >= 0 {
		return h.readKnown(body, length, clock)
	}
	return h.readUnknown(body, limit, clock)
}

func (h *Holder) readKnown(body io.Reader, length int64, clock func() time.Time) ([]byte, error) {
	if err := h.Reserve(length, clock()); err != nil {
		return nil, err
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, h.readError(err)
	}
	return data, nil
}

func (h *Holder) readUnknown(body io.Reader, limit int64, clock func() time.Time) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstBodyBytes), limit+1)
			if int64(len(data)) > limit {
				return nil, ErrBodyTooLarge
			}
			// Both buffers exist during the copy.
			if err := h.Reserve(size, clock()); err != nil {
				return nil, err
			}
			old := int64(cap(data))
			data = append(make([]byte, 0, size), data...)
			h.Release(old)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(data)) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, h.readError(err)
		}
	}
}

// readError tells an evicted holder's broken read from others.
func (h *Holder) readError(err error) error {
	if h.IsEvicted() {
		return ErrExhausted.WithCause(err)
	}
	return err
}
