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
	// Page is one object of a shard. Only the newest page of a shard takes new
	// claims; it is sealed before the next one is made.
	Page struct {
		Index    int
		Revision int64 // 0: not stored yet
		Sealed   bool
		Batch    string // id of the write that made this content
		Claims   map[string]Claim
		bytes    int
	}

	// Table is all pages of one shard as one reader knows them.
	Table struct {
		Shard int
		Pages map[int]*Page
	}

	wirePage struct {
		Sealed bool                 `json:"sealed,omitempty"`
		Batch  string               `json:"batch"`
		Claims map[string]wireClaim `json:"claims"`
	}
	wireClaim struct {
		Token       string `json:"t"`
		Holder      string `json:"h"`
		BodyHash    string `json:"b"`
		State       string `json:"s"`
		Status      int    `json:"c,omitempty"`
		ContentType string `json:"y,omitempty"`
		Answer      []byte `json:"a,omitempty"`
		At          int64  `json:"at"` // Unix milliseconds
	}
)

const (
	// PageBytes is the size at which a page is sealed.
	PageBytes = 64 << 10
	// MaxPages bounds a shard; beyond it new claims are refused.
	MaxPages = 512

	claimOverhead = 200
)

// ShardPrefix returns the prefix of a shard's pages.
func ShardPrefix(shard int) string { return fmt.Sprintf("claims/%04d/", shard) }

// PageObject returns the name of a page.
func PageObject(shard, index int) string { return fmt.Sprintf("%s%08d", ShardPrefix(shard), index) }

// NewTable builds a table from a listing of the shard's pages.
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

// Newest returns the page that takes new claims. It is made, not stored, when
// there is none or the last one is sealed.
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

// Find returns the claim of a key and its page.
func (t *Table) Find(key string) (Claim, *Page, bool) {
	for _, p := range t.Pages {
		if c, ok := p.Claims[key]; ok {
			return c, p, true
		}
	}
	return Claim{}, nil, false
}

// Ask decides an ask and, if granted, adds the open claim to the newest page.
func (t *Table) Ask(a Ask, now time.Time) (Verdict, *Page) {
	if c, _, ok := t.Find(a.Key); ok {
		return existing(a, c), nil
	}
	if len(t.Pages) >= MaxPages {
		return Verdict{Result: ResultFull}, nil
	}
	p := t.Newest()
	p.put(a.Key, Claim{Token: a.Token, Holder: a.Holder, BodyHash: a.BodyHash, State: StateOpen, At: now})
	return Verdict{Result: ResultGranted}, p
}

// Settle records the end of an attempt. It returns nil if nothing changes:
// the claim is gone, belongs to another token, or is settled already.
func (t *Table) Settle(s Settlement) *Page {
	c, p, ok := t.Find(s.Key)
	if !ok || c.Token != s.Token || c.State == StateFinished {
		return nil
	}
	if s.State == StateReleased {
		p.drop(s.Key)
		return p
	}
	c.State, c.Status, c.ContentType, c.Answer = s.State, s.Status, s.ContentType, s.Answer
	p.put(s.Key, c)
	return p
}

// Full reports whether the page should be sealed.
func (p *Page) Full() bool { return p.bytes >= PageBytes }

// Expired reports whether no claim of a sealed page is younger than retention.
func (p *Page) Expired(retention time.Duration, now time.Time) bool {
	if !p.Sealed {
		return false
	}
	for _, c := range p.Claims {
		if now.Sub(c.At) < retention {
			return false
		}
	}
	return true
}

// Encode writes the page.
func (p *Page) Encode() ([]byte, error) {
	w := wirePage{Sealed: p.Sealed, Batch: p.Batch, Claims: map[string]wireClaim{}}
	for key, c := range p.Claims {
		w.Claims[key] = wireClaim{
			Token: c.Token, Holder: c.Holder, BodyHash: c.BodyHash, State: string(c.State),
			Status: c.Status, ContentType: c.ContentType, Answer: c.Answer, At: c.At.UnixMilli(),
		}
	}
	return json.Marshal(w)
}

func (p *Page) put(key string, c Claim) {
	p.drop(key)
	p.Claims[key] = c
	p.bytes += c.size()
}

func (p *Page) drop(key string) {
	if c, ok := p.Claims[key]; ok {
		p.bytes -= c.size()
		delete(p.Claims, key)
	}
}

func (c Claim) size() int {
	return claimOverhead + len(c.Token) + len(c.Holder) + len(c.ContentType) + len(c.Answer)*4/3
}

func existing(a Ask, c Claim) Verdict {
	switch {
	case c.Token == a.Token && c.State == StateOpen:
		return Verdict{Result: ResultGranted}
	case c.BodyHash != a.BodyHash:
		return Verdict{Result: ResultMismatch, Claim: c}
	default:
		return Verdict{Result: ResultExists, Claim: c}
	}
}

func decodePage(o zpobject.Object) (*Page, error) {
	parts := strings.Split(o.Name, "/")
	index, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		return nil, fmt.Errorf("decode claim page %s: %w", o.Name, err)
	}
	var w wirePage
	if err := json.Unmarshal(o.Body, &w); err != nil {
		return nil, fmt.Errorf("decode claim page %s: %w", o.Name, err)
	}
	p := &Page{Index: index, Revision: o.Revision, Sealed: w.Sealed, Batch: w.Batch, Claims: map[string]Claim{}}
	for _, key := range sortedKeys(w.Claims) {
		c := w.Claims[key]
		p.put(key, Claim{
			Token: c.Token, Holder: c.Holder, BodyHash: c.BodyHash, State: State(c.State),
			Status: c.Status, ContentType: c.ContentType, Answer: c.Answer, At: time.UnixMilli(c.At),
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
