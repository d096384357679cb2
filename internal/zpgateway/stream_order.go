package zpgateway

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// streamPosition is how far the caller has a stream. The zero value is its beginning, or
	// unknown.
	streamPosition struct {
		lastID uint64 // of the last event that the caller has
		hasID  bool   // the caller has an event, by a number
		hasGap bool   // an endpoint has left out ids within its own response
	}

	// numberings knows in which pools the ids of events are consecutive. The zero value takes
	// them for consecutive. It is safe for concurrent use.
	numberings struct {
		mu   sync.Mutex
		gaps map[string]int // by pool: recent evidence of streams that leave out ids
	}
)

const (
	// gapEvidence is what one stream that leaves out ids counts for, against one that does not.
	gapEvidence = 16
	// maxGapEvidence bounds the evidence, and so the number of consecutive streams after which
	// gaps count as damage again.
	maxGapEvidence = 4 * gapEvidence
	// sparseGapEvidence is the evidence at which ids may be left out. A damaged stream or two
	// are below it.
	sparseGapEvidence = 2*gapEvidence + 1
)

var (
	errNoEventID       = errors.New("the stream has an event without an id")
	errManyEventIDs    = errors.New("the stream has an event with several ids")
	errInvalidEventID  = errors.New("the stream has an event whose id is no number")
	errEventOutOfOrder = errors.New("the stream has an event that does not follow the one before")
)

// positionAfter returns the position of a caller that has the event with the given id; an
// empty one stands for none.
func positionAfter(id string) streamPosition {
	if id == "" {
		return streamPosition{}
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return streamPosition{lastID: n, hasID: err == nil}
}

// advance moves the position to an event with the given id, the first of a run or another. It
// returns an error, and stays, if the event does not follow. The first event of a stream may
// have any number.
func (p *streamPosition) advance(id string, isFirstOfRun bool, pool string, n *numberings) error {
	next := positionAfter(id)
	if zpmutant.Active(zpmutant.EventOrder) || zpmutant.Active(zpmutant.Resume) {
		return nil
	}
	if !next.hasID {
		return fmt.Errorf("%w: %q", errInvalidEventID, id)
	}
	if p.hasID && next.lastID <= p.lastID {
		return fmt.Errorf("%w: %d after %d", errEventOutOfOrder, next.lastID, p.lastID)
	}
	isConsecutive := !p.hasID || next.lastID == p.lastID+1
	if !isConsecutive && !isFirstOfRun && !p.hasGap {
		p.hasGap = true
		n.recordGap(pool)
	}
	if !isConsecutive && !n.isSparse(pool) {
		return fmt.Errorf("%w: %d after %d", errEventOutOfOrder, next.lastID, p.lastID)
	}
	p.lastID, p.hasID = next.lastID, true
	return nil
}

// recordGap records a stream that left out ids within the response of one endpoint.
func (n *numberings) recordGap(pool string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gaps == nil {
		n.gaps = map[string]int{}
	}
	n.gaps[pool] = min(n.gaps[pool]+gapEvidence, maxGapEvidence)
}

// recordConsecutive records a stream that left out no id.
func (n *numberings) recordConsecutive(pool string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gaps[pool] > 0 {
		n.gaps[pool]--
	}
}

// isSparse reports whether the endpoints of a pool leave out ids.
func (n *numberings) isSparse(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gaps[pool] >= sparseGapEvidence
}

// eventID returns the id of an event.
func eventID(event []byte) (string, error) {
	id := ""
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if id != "" {
			return "", errManyEventIDs
		}
		id = string(bytes.TrimSpace(value))
	}
	if id == "" {
		return "", errNoEventID
	}
	return id, nil
}
