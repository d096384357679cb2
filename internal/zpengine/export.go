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
	// ExportResult is the result of an export.
	ExportResult struct {
		Blocks     int   // number of leading blocks sealed in the store
		Generation int64 // of those blocks
	}

	wireExport struct {
		Salt   string   `json:"salt"`
		Blocks []string `json:"blocks"`
		Store  string   `json:"store"`
	}
	wireExportResult struct {
		Blocks     int   `json:"blocks"`
		Generation int64 `json:"generation"`
	}
)

// Export makes an engine write cached blocks to a store.
func (c *Client) Export(ctx context.Context, address, salt string, blocks []string, store string) (ExportResult, error) {
	body, err := json.Marshal(wireExport{Salt: salt, Blocks: blocks, Store: store})
	if err != nil {
		return ExportResult{}, fmt.Errorf("encode export order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/cache/export", bytes.NewReader(body))
	if err != nil {
		return ExportResult{}, fmt.Errorf("export order: %w", err)
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	res, err := c.sender.Do(req)
	if err != nil {
		return ExportResult{}, fmt.Errorf("export order: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return ExportResult{}, fmt.Errorf("export order: status %d", res.StatusCode)
	}
	var w wireExportResult
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&w); err != nil {
		return ExportResult{}, fmt.Errorf("decode export response: %w", err)
	}
	return ExportResult(w), nil
}
