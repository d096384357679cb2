package zpgateway

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
)

// findParts counts the tokens of the prompt that the candidate holds.
func (g *Gateway) findParts(j *job, c *choice, _ time.Time) {
	for _, part := range j.request.Prompt.SharedParts() {
		held := min(g.Parts.Tokens(c.endpoint.ID, zpparts.Key{Salt: c.salt, Part: part.ID}), part.Tokens)
		c.candidate.CachedTokens += held
		if held < part.Tokens {
			return
		}
	}
}

// chooseSaves names the stores that are to keep parts of the prompt.
func (g *Gateway) chooseSaves(*job, *choice) {}

// noteRead remembers that the endpoint has read the prompt.
func (g *Gateway) noteRead(j *job, c choice) {
	if j.request.Prompt == nil || c.weights == 0 {
		return
	}
	for _, part := range j.request.Prompt.SharedParts() {
		g.Parts.Apply(zpparts.Change{
			Holder: c.endpoint.ID, Key: zpparts.Key{Salt: c.salt, Part: part.ID}, Tokens: part.Tokens,
		})
	}
}
