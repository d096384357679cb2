package zpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zporder"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type wireOrder struct {
	Epoch   int64  `json:"epoch"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
}

const (
	orderTimeout   = 2 * time.Second
	kindSetVersion = "set_version"
)

// Order sends an order to load a weight version to an engine.
func (c *Client) Order(ctx context.Context, e zpmanifest.Endpoint, o zporder.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(wireOrder{Epoch: o.Epoch, Kind: kindSetVersion, Version: o.Version})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", contentTypeJSON)
	res, err := c.sender.Do(req)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("order %d rejected with status %d", o.Epoch, res.StatusCode)
	}
	return nil
}
