package zpstandin

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

// HTTP headers of a block in a store.
const (
	headerGeneration = "X-Generation"
	headerChecksum   = "X-Checksum"
	headerSealed     = "X-Sealed"
	headerName       = "X-Block-Name"
	headerRegion     = "X-Region"
)

// blockData returns the contents of a block. They depend only on its name and size.
func blockData(name string, size int) []byte {
	return bytes.Repeat([]byte(name), size/len(name)+1)[:size]
}

func checksum(data []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(data)), 10)
}

// export writes blocks to a store, in the order named, up to the first that isn't
// cached or can't be written.
func (r *Runner) export(w http.ResponseWriter, q *http.Request) {
	var order struct {
		Blocks []string `json:"blocks"`
		Store  string   `json:"store"`
	}
	if err := json.NewDecoder(q.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	stored, generation := 0, int64(0)
	for _, name := range order.Blocks {
		if !r.hasBlock(name) {
			break
		}
		g, err := putBlock(q.Context(), order.Store, name, blockData(name, r.Config.BlockBytes))
		if err != nil {
			break
		}
		stored, generation = stored+1, g
	}
	text, err := json.Marshal(map[string]int64{"blocks": int64(stored), "generation": generation})
	writeBytes(w, text, err)
}

func (r *Runner) hasBlock(name string) bool {
	var n zpprefix.BlockName
	if raw, err := hex.DecodeString(name); err != nil || copy(n[:], raw) != len(n) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cache.Contains(n)
}

// importBlocks reads the blocks after the first cached ones from a store, up to the
// first unusable one, and returns the number of usable blocks. A block is usable if
// it is sealed and its name, generation, length and checksum are right.
func (r *Runner) importBlocks(ctx context.Context, from, list string, cached int) int {
	entries := strings.Split(list, ",")
	used := 0
	for i := cached; i < len(entries); i++ {
		name, generation, _ := strings.Cut(entries[i], ":")
		if err := r.getBlock(ctx, from, name, generation); err != nil {
			r.mu.Lock()
			r.stats.BadImports++
			r.mu.Unlock()
			break
		}
		used++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Imported += int64(used)
	return used
}

func (r *Runner) getBlock(ctx context.Context, from, name, generation string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, from+"/v1/blocks/"+name, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	h := res.Header
	switch {
	case res.StatusCode != http.StatusOK:
		return fmt.Errorf("store returned status %d", res.StatusCode)
	case h.Get(headerSealed) != "true" || h.Get(headerName) != name || h.Get(headerGeneration) != generation:
		return fmt.Errorf("block is not sealed, or its name or generation differs from the request")
	case len(data) != r.Config.BlockBytes || checksum(data) != h.Get(headerChecksum):
		return fmt.Errorf("block has a wrong length or checksum")
	}
	if region := h.Get(headerRegion); region != r.Config.Region && r.Config.LinkAddress != "" {
		return r.transferOverLink(ctx, len(data))
	}
	return nil
}

// transferOverLink waits until the link has transferred n bytes.
func (r *Runner) transferOverLink(ctx context.Context, n int) error {
	address := r.Config.LinkAddress + "/transfer?" + url.Values{"bytes": {strconv.Itoa(n)}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		err = fmt.Errorf("link returned status %d", res.StatusCode)
	}
	return errors.Join(err, res.Body.Close())
}

func putBlock(ctx context.Context, store, name string, data []byte) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, store+"/v1/blocks/"+name, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set(headerChecksum, checksum(data))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK {
		err = fmt.Errorf("store returned status %d", res.StatusCode)
	}
	generation, _ := strconv.ParseInt(res.Header.Get(headerGeneration), 10, 64)
	return generation, errors.Join(err, res.Body.Close())
}
