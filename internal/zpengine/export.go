package zpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

type (
	// Stored says what an export order achieved.
	Stored struct {
		Blocks     int   // the first so many blocks are sealed in the store
		Generation int64 // of those blocks
	}

	wireExport struct {
		Salt   string   `json:"salt"`
		Blocks []string `json:"blocks"`
		Store  string   `json:"store"`
	}
	wireStored struct {
		Blocks     int   `json:"blocks"`
		Generation int64 `json:"generation"`
	}
)

// Export orders an engine to write blocks to a store.
func (c *Client) Export(ctx context.Context, address, salt string, blocks []string, store string) (Stored, error) {
	body, err := json.Marshal(wireExport{Salt: salt, Blocks: blocks, Store: store})
	if err != nil {
		return Stored{}, fmt.Errorf("encode export order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/cache/export", bytes.NewReader(body))
	if err != nil {
		return Stored{}, fmt.Errorf("export order: %w", err)
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	res, err := c.sender.Do(req)
	if err != nil {
		return Stored{}, fmt.Errorf("export order: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Stored{}, fmt.Errorf("export order: status %d", res.StatusCode)
	}
	var w wireStored
	if err := json.NewDecoder(io.LimitReader(res.Body, reportLimit)).Decode(&w); err != nil {
		return Stored{}, fmt.Errorf("decode export answer: %w", err)
	}
	return Stored(w), nil
}
