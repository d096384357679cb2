package zpengine

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sync/semaphore"
)

// Memory bounds the bytes of answers that are kept until they are whole, for all
// requests together. It is safe for concurrent use.
type Memory struct {
	limit int64 // of one answer, bytes
	free  *semaphore.Weighted
}

const (
	// freeAnswerBytes is the size up to which an answer is kept without being
	// counted, so that a few large ones cannot take the place of usual ones.
	freeAnswerBytes = 64 << 10
	// largestShare is the part of the memory that one answer may take.
	largestShare = 4
	// largestAnswer bounds an answer however much memory there is.
	largestAnswer = 16 << 20
	// DefaultMemory is for daemons that do not know the memory of their VM.
	DefaultMemory = 64 << 20
)

var (
	errAnswerTooLarge = errors.New("the answer is too large")
	errMemoryTaken    = errors.New("the memory for answers is taken")
)

// NewMemory returns a memory of a number of bytes.
func NewMemory(bytes int64) *Memory {
	return &Memory{limit: min(max(bytes/largestShare, freeAnswerBytes), largestAnswer), free: semaphore.NewWeighted(bytes)}
}

// ReadWhole reads an answer to its end. The bytes that it has counted must be
// released, also after an error.
func (m *Memory) ReadWhole(body io.Reader) (answer []byte, counted int64, err error) {
	answer = make([]byte, 0, 4<<10)
	for {
		if len(answer) == cap(answer) {
			size := int64(2 * cap(answer))
			if size > m.limit {
				return nil, counted, fmt.Errorf("%w: more than %d bytes", errAnswerTooLarge, m.limit)
			}
			if size > freeAnswerBytes {
				// While it is copied, the old bytes are kept, too.
				if !m.free.TryAcquire(size) {
					return nil, counted, errMemoryTaken
				}
				counted += size
			}
			answer = append(make([]byte, 0, size), answer...)
		}
		n, err := body.Read(answer[len(answer):cap(answer)])
		answer = answer[:len(answer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return answer, counted, nil
		case err != nil:
			return nil, counted, err
		}
	}
}

// Release gives counted bytes back.
func (m *Memory) Release(counted int64) { m.free.Release(counted) }
