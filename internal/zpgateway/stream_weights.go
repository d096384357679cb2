package zpgateway

import (
	"errors"
	"fmt"
)

var errOlderWeights = errors.New("the stream goes on with older weights than those of the events before")

// weightsAt returns the weights that made an event of the response, given those of the one
// before. Zero means unknown.
func (a *Response) weightsAt(event []byte, before int64) int64 {
	if a.WeightsOf == nil {
		return before
	}
	if named := a.WeightsOf(event); named > 0 {
		return named
	}
	return before
}

// checkWeights returns an error if the caller has events from newer weights in its response,
// which keeps the header that names them.
func (j *job) checkWeights(weights int64) error {
	if weights > 0 && weights < j.weights {
		return fmt.Errorf("%w: %d after %d", errOlderWeights, weights, j.weights)
	}
	return nil
}
