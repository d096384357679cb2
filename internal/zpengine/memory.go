package zpengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
)

type (
	// Memory limits the bytes of responses buffered by all requests together. It is
	// safe for concurrent use.
	Memory struct {
		// Relieve is called when the memory is exhausted. It may end callers that do not read
		// their responses, and reports whether it has ended any. It may be nil.
		Relieve func() bool

		limit     int64 // bytes of one response
		available *semaphore.Weighted
		spare     sync.Pool // of *chunk
	}

	// chunk is a part of a response.
	chunk struct {
		buffer [chunkBytes]byte
		length int
	}
)

const (
	// uncountedBytes is the buffer size up to which a response does not count
	// against the limit, so that a few large responses cannot block small ones. The memory
	// for requests includes it.
	uncountedBytes = zpmemory.RequestBytes
	// maxWait is how long a response waits for the memory of callers that have been ended. The
	// endpoint keeps it meanwhile.
	maxWait = time.Second
	// maxShareDivisor limits one response to 1/maxShareDivisor of the memory.
	maxShareDivisor = 4
	// firstBufferBytes is the size of the first buffer of a response.
	firstBufferBytes = 4 << 10
	// chunkBytes is the size of the buffers beyond uncountedBytes.
	chunkBytes = 16 << 10
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
	head, hasEnded, err := readUncounted(body)
	if err != nil || hasEnded {
		return head, 0, err
	}
	var chunks []*chunk
	defer func() {
		for _, c := range chunks {
			m.spare.Put(c)
		}
	}()
	size := int64(len(head))
	for !hasEnded {
		if size+chunkBytes > m.limit {
			return nil, reserved, fmt.Errorf("%w: more than %d bytes", errResponseTooLarge, m.limit)
		}
		// Chunks stay reserved: they take up memory until they are used again.
		if !m.acquire(chunkBytes) {
			return nil, reserved, errBuffersExhausted
		}
		reserved += chunkBytes
		c := m.chunk()
		chunks = append(chunks, c)
		c.length, hasEnded, err = fill(c.buffer[:], body)
		if err != nil {
			return nil, reserved, err
		}
		size += int64(c.length)
	}
	if !m.acquire(size) {
		return nil, reserved, errBuffersExhausted
	}
	reserved += size
	data = append(make([]byte, 0, size), head...)
	for _, c := range chunks {
		data = append(data, c.buffer[:c.length]...)
	}
	return data, reserved, nil
}

// readUncounted reads up to uncountedBytes of a body, and reports whether it has ended.
func readUncounted(body io.Reader) (data []byte, hasEnded bool, err error) {
	for size := firstBufferBytes; size <= uncountedBytes && !hasEnded; size *= 2 {
		data = append(make([]byte, 0, size), data...)
		n := 0
		n, hasEnded, err = fill(data[len(data):size], body)
		if err != nil {
			return nil, false, err
		}
		data = data[:len(data)+n]
	}
	return data, hasEnded, nil
}

// fill reads until the buffer is full or the body has ended.
func fill(buffer []byte, body io.Reader) (length int, hasEnded bool, err error) {
	for length < len(buffer) {
		n, err := body.Read(buffer[length:])
		length += n
		switch {
		case errors.Is(err, io.EOF):
			return length, true, nil
		case err != nil:
			return length, false, err
		}
	}
	return length, false, nil
}

func (m *Memory) chunk() *chunk {
	if c, ok := m.spare.Get().(*chunk); ok {
		return c
	}
	return &chunk{}
}

func (m *Memory) acquire(bytes int64) bool {
	if m.available.TryAcquire(bytes) {
		return true
	}
	if m.Relieve == nil || !m.Relieve() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	return m.available.Acquire(ctx, bytes) == nil
}

// Release returns reserved bytes.
func (m *Memory) Release(reserved int64) { m.available.Release(reserved) }
