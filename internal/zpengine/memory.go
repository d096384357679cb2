package zpengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
)

// Memory limits the bytes of responses buffered by all requests together. It is
// safe for concurrent use.
type Memory struct {
	// Relieve is called when the memory is exhausted. It may end callers that do not read
	// their responses. It may be nil.
	Relieve func()

	limit     int64 // bytes of one response
	available *semaphore.Weighted
}

const (
	// uncountedBytes is the buffer size up to which a response does not count
	// against the limit, so that a few large responses cannot block small ones. The memory
	// for requests includes it.
	uncountedBytes = zpmemory.RequestBytes
	// maxWait is how long a response waits for memory. The endpoint keeps it meanwhile.
	maxWait = time.Second
	// maxShareDivisor limits one response to 1/maxShareDivisor of the memory.
	maxShareDivisor = 4
	// maxResponseBytes limits one response regardless of the size of the memory.
	maxResponseBytes = 16 << 20
	// DefaultMemoryBytes is the limit in bytes for daemons that do not know the memory
	// of their VM.
	DefaultMemoryBytes = 64 << 20
)

var (
	errResponseTooLarge = errors.New("the response is too large")
	errBuffersExhausted = errors.New("the memory for response buffers is exhausted")
)

// NewMemory returns a Memory that allows the given number of bytes.
func NewMemory(bytes int64) *Memory {
	return &Memory{limit: min(max(bytes/maxShareDivisor, uncountedBytes), maxResponseBytes), available: semaphore.NewWeighted(bytes)}
}

// ReadAll reads a response body to its end. The caller must pass reserved to
// Release, also after an error.
func (m *Memory) ReadAll(body io.Reader) (data []byte, reserved int64, err error) {
	data = make([]byte, 0, 4<<10)
	for {
		if len(data) == cap(data) {
			size := int64(2 * cap(data))
			if size > m.limit {
				return nil, reserved, fmt.Errorf("%w: more than %d bytes", errResponseTooLarge, m.limit)
			}
			if size > uncountedBytes {
				// The old buffer stays reserved: it is garbage until the runtime collects it.
				if !m.acquire(size) {
					return nil, reserved, errBuffersExhausted
				}
				reserved += size
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
}

func (m *Memory) acquire(bytes int64) bool {
	if m.available.TryAcquire(bytes) {
		return true
	}
	if m.Relieve != nil {
		m.Relieve()
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	return m.available.Acquire(ctx, bytes) == nil
}

// Release returns reserved bytes.
func (m *Memory) Release(reserved int64) { m.available.Release(reserved) }
