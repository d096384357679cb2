// Package zpprefix names the blocks of a prompt's prefix. A name is a chain
// hash keyed by workspace, model and weight version: one workspace cannot name
// another's blocks, and a new weight version names none of the old.
package zpprefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// Salt keys the block names of one workspace, model and weight version.
	Salt [32]byte

	// Name is the name of one block. It stands for all text up to the block's
	// end.
	Name [16]byte
)

const (
	// BlockBytes is the length of the text of one block.
	BlockBytes = 256
	// BytesPerToken is the usual length of one token of text.
	BytesPerToken = 4
	// BlockTokens is the usual number of tokens in one block.
	BlockTokens = BlockBytes / BytesPerToken
)

// NewSalt derives a salt from the workspace's secret.
func NewSalt(cacheKey, workspace, model, weightVersion string) Salt {
	mac := hmac.New(sha256.New, []byte(cacheKey))
	if zpmutant.Active(zpmutant.SaltWorkspace) {
		mac, workspace = hmac.New(sha256.New, nil), ""
	}
	if zpmutant.Active(zpmutant.SaltVersion) {
		weightVersion = ""
	}
	for _, part := range []string{workspace, model, weightVersion} {
		sum := sha256.Sum256([]byte(part))
		mac.Write(sum[:])
	}
	var s Salt
	copy(s[:], mac.Sum(nil))
	return s
}

// ParseSalt reads the hex form of a salt.
func ParseSalt(text string) (Salt, bool) {
	var s Salt
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(s) {
		return s, false
	}
	copy(s[:], raw)
	return s, true
}

// String returns the hex form of the salt.
func (s Salt) String() string { return hex.EncodeToString(s[:]) }

// String returns the hex form of the name.
func (n Name) String() string { return hex.EncodeToString(n[:]) }

// Blocks names the whole blocks of a text, first to last. The rest that does
// not fill a block has no name.
func Blocks(s Salt, text string) []Name {
	names := make([]Name, 0, len(text)/BlockBytes)
	previous := s[:]
	for start := 0; start+BlockBytes <= len(text); start += BlockBytes {
		mac := hmac.New(sha256.New, s[:])
		mac.Write(previous)
		mac.Write([]byte(text[start : start+BlockBytes]))
		var n Name
		copy(n[:], mac.Sum(nil))
		names = append(names, n)
		previous = n[:]
	}
	return names
}

// Fingerprint returns a hash of a request's content, keyed so that equal
// content of two workspaces differs.
func Fingerprint(s Salt, content []byte) string {
	mac := hmac.New(sha256.New, s[:])
	mac.Write([]byte("fingerprint"))
	mac.Write(content)
	return hex.EncodeToString(mac.Sum(nil)[:16])
}
