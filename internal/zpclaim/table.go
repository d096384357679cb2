package zpclaim

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Page is one stored object of a shard. New claims are added only to the
	// newest page, which is sealed before the next one is created.
	Page struct {
		Index          int
		Revision       int64 // zero if not stored yet
		Sealed         bool
		WriteID        string // unique id of the write that stored this content
		Claims         map[string]Claim
		estimatedBytes int
		openClaims     int // claims whose answer may still come
	}

	// Table is one reader's copy of all pages of a shard.
	Table struct {
		Shard          int
		Pages          map[int]*Page
		MaxAnswerBytes int64 // size of the largest answer that a claim may get
	}

	pageJSON struct {
		Sealed  bool                 `json:"sealed,omitempty"`
		WriteID string               `json:"batch"`
		Claims  map[string]claimJSON `json:"claims"`
	}
	claimJSON struct {
		Token       string `json:"t"`
		Holder      string `json:"h"`
		BodyHash    string `json:"b"`
		State       string `json:"s"`
		Status      int    `json:"c,omitempty"`
		ContentType string `json:"y,omitempty"`
		Answer      []byte `json:"a,omitempty"`
		CreatedAt   int64  `json:"at"` // Unix milliseconds
	}
)

const (
	// PageSealBytes is the estimated size from which a page is sealed.
	PageSealBytes = 64 << 10
	// PageReserveBytes is the estimated size, with the largest answers for all open
	// claims, from which a page is sealed. It leaves room below the size limit of an
	// object for one more claim and for errors of the estimate.
	PageReserveBytes = zpobject.MaxBodyBytes / 2
	// MaxShardPages is the number of pages of a shard from which new claims are
	// refused.
	MaxShardPages = 512

	// claimOverheadBytes estimates the encoded size of a claim without its token,
	// holder, content type and answer.
	claimOverheadBytes = 200
)

// ShardPrefix returns the common prefix of the object names of a shard's pages.
func ShardPrefix(shard int) string { return fmt.Sprintf("claims/%04d/", shard) }

// PageObjectName returns the object name of a page.
func PageObjectName(shard, index int) string { return fmt.Sprintf("%s%08d", ShardPrefix(shard), index) }

// NewTable decodes a table from the stored objects of a shard.
func NewTable(shard int, objects []zpobject.Object) (*Table, error) {
	t := &Table{Shard: shard, Pages: map[int]*Page{}}
	for _, o := range objects {
		p, err := decodePage(o)
		if err != nil {
			return nil, err
		}
		t.Pages[p.Index] = p
	}
	return t, nil
}

// Newest returns the page to which new claims are added. If there is no page or
// the last one is sealed, it adds an empty page in memory only.
func (t *Table) Newest() *Page {
	last := -1
	for i := range t.Pages {
		last = max(last, i)
	}
	if last >= 0 && !t.Pages[last].Sealed {
		return t.Pages[last]
	}
	p := &Page{Index: last + 1, Claims: map[string]Claim{}}
	t.Pages[p.Index] = p
	return p
}

// Find returns the claim of a key and the page that contains it.
func (t *Table) Find(key string) (Claim, *Page, bool) {
	for _, p := range t.Pages {
		if c, ok := p.Claims[key]; ok {
			return c, p, true
		}
	}
	return Claim{}, nil, false
}

// Acquire decides whether a key may be claimed. If so, it adds an open claim to the
// newest page and returns that page, which must then be stored. The page is sealed if it
// has no room for further claims and their answers.
func (t *Table) Acquire(a AcquireRequest, now time.Time) (Decision, *Page) {
	if c, _, ok := t.Find(a.Key); ok {
		return decideExisting(a, c), nil
	}
	if len(t.Pages) >= MaxShardPages {
		return Decision{Result: ResultFull}, nil
	}
	p := t.Newest()
	p.setClaim(a.Key, Claim{Token: a.Token, Holder: a.Holder, BodyHash: a.BodyHash, State: StateOpen, CreatedAt: now})
	p.Sealed = p.IsFull(t.MaxAnswerBytes)
	return Decision{Result: ResultGranted}, p
}

// Settle records the outcome of an attempt and returns the changed page. It
// returns nil if nothing changes because the claim does not exist, belongs to
// another token or is already finished.
func (t *Table) Settle(s Settlement) *Page {
	c, p, ok := t.Find(s.Key)
	if !ok || c.Token != s.Token || c.State == StateFinished {
		return nil
	}
	if s.State == StateReleased {
		p.deleteClaim(s.Key)
		return p
	}
	c.State, c.Status, c.ContentType, c.Answer = s.State, s.Status, s.ContentType, s.Answer
	p.setClaim(s.Key, c)
	p.Sealed = p.Sealed || p.IsFull(t.MaxAnswerBytes)
	return p
}

// IsFull reports whether the page must be sealed by its next write.
func (p *Page) IsFull(maxAnswerBytes int64) bool {
	reserved := p.estimatedBytes + p.openClaims*encodedAnswerBytes(maxAnswerBytes)
	return p.estimatedBytes >= PageSealBytes || reserved >= PageReserveBytes
}

// Expired reports whether the page is sealed and all its claims have reached the
// retention time.
func (p *Page) Expired(retention time.Duration, now time.Time) bool {
	if !p.Sealed {
		return false
	}
	for _, c := range p.Claims {
		if now.Sub(c.CreatedAt) < retention {
			return false
		}
	}
	return true
}

// Encode returns the page as JSON.
func (p *Page) Encode() ([]byte, error) {
	w := pageJSON{Sealed: p.Sealed, WriteID: p.WriteID, Claims: map[string]claimJSON{}}
	for key, c := range p.Claims {
		w.Claims[key] = claimJSON{
			Token: c.Token, Holder: c.Holder, BodyHash: c.BodyHash, State: string(c.State),
			Status: c.Status, ContentType: c.ContentType, Answer: c.Answer, CreatedAt: c.CreatedAt.UnixMilli(),
		}
	}
	return json.Marshal(w)
}

// setClaim adds or replaces a claim and keeps the size estimate up to date.
func (p *Page) setClaim(key string, c Claim) {
	p.deleteClaim(key)
	p.Claims[key] = c
	p.estimatedBytes += c.estimatedBytes()
	if c.State == StateOpen {
		p.openClaims++
	}
}

func (p *Page) deleteClaim(key string) {
	if c, ok := p.Claims[key]; ok {
		p.estimatedBytes -= c.estimatedBytes()
		if c.State == StateOpen {
			p.openClaims--
		}
		delete(p.Claims, key)
	}
}

// estimatedBytes estimates the size of the encoded claim.
func (c Claim) estimatedBytes() int {
	return claimOverheadBytes + len(c.Token) + len(c.Holder) + len(c.ContentType) + encodedAnswerBytes(int64(len(c.Answer)))
}

// encodedAnswerBytes returns the size of an answer in base64, which adds a third.
func encodedAnswerBytes(n int64) int { return int(n * 4 / 3) }

// decideExisting decides an ask for a key that is already claimed. The same token
// is granted again while the claim is open, because the reply to its first ask
// may have been lost.
func decideExisting(a AcquireRequest, c Claim) Decision {
	switch {
	case c.Token == a.Token && c.State == StateOpen:
		return Decision{Result: ResultGranted}
	case c.BodyHash != a.BodyHash:
		return Decision{Result: ResultMismatch, Claim: c}
	default:
		return Decision{Result: ResultExists, Claim: c}
	}
}

func decodePage(o zpobject.Object) (*Page, error) {
	parts := strings.Split(o.Name, "/")
	index, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		return nil, fmt.Errorf("decode claim page %s: %w", o.Name, err)
	}
	var w pageJSON
	if err := json.Unmarshal(o.Body, &w); err != nil {
		return nil, fmt.Errorf("decode claim page %s: %w", o.Name, err)
	}
	p := &Page{Index: index, Revision: o.Revision, Sealed: w.Sealed, WriteID: w.WriteID, Claims: map[string]Claim{}}
	for _, key := range sortedKeys(w.Claims) {
		c := w.Claims[key]
		p.setClaim(key, Claim{
			Token: c.Token, Holder: c.Holder, BodyHash: c.BodyHash, State: State(c.State),
			Status: c.Status, ContentType: c.ContentType, Answer: c.Answer, CreatedAt: time.UnixMilli(c.CreatedAt),
		})
	}
	return p, nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
