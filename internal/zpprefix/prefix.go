// Package zpprefix computes the names of the blocks of a prompt's prefix. A name is a
// chained hash keyed by workspace, model and weight version. One workspace can
// therefore not name the blocks of another, and no block has the same name under two
// weight versions.
package zpprefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// Salt is the key of the block names of one workspace, model and weight version.
	Salt [32]byte

	// BlockName is the name of one block. It depends on the whole text up to the end of
	// the block.
	BlockName [16]byte
)

const (
	// BlockBytes is the length of one block of text.
	BlockBytes = 256
	// BytesPerToken is the typical length of one token of text.
	BytesPerToken = 4
	// BlockTokens is the typical number of tokens in one block.
	BlockTokens = BlockBytes / BytesPerToken
)

// NewSalt derives a salt from cacheKey, the secret of the workspace. The parts are
// hashed one by one, so that their boundaries count.
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

// ParseSalt parses the hex form of a salt.
func ParseSalt(text string) (Salt, bool) {
	var s Salt
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(s) {
		return s, false
	}
	copy(s[:], decoded)
	return s, true
}

// String returns the hex form of the salt.
func (s Salt) String() string { return hex.EncodeToString(s[:]) }

// String returns the hex form of the name.
func (n BlockName) String() string { return hex.EncodeToString(n[:]) }

// BlockNames returns the names of the complete blocks of a text in order. A rest shorter
// than a block has no name.
func BlockNames(s Salt, text string) []BlockName {
	names := make([]BlockName, 0, len(text)/BlockBytes)
	previous := s[:]
	for start := 0; start+BlockBytes <= len(text); start += BlockBytes {
		mac := hmac.New(sha256.New, s[:])
		mac.Write(previous)
		mac.Write([]byte(text[start : start+BlockBytes]))
		var n BlockName
		copy(n[:], mac.Sum(nil))
		names = append(names, n)
		previous = n[:]
	}
	return names
}

// Fingerprint returns a hash of a request's content. It is keyed with the salt, so that
// equal content has different fingerprints in different workspaces.
func Fingerprint(s Salt, content []byte) string {
	mac := hmac.New(sha256.New, s[:])
	mac.Write([]byte("fingerprint"))
	mac.Write(content)
	return hex.EncodeToString(mac.Sum(nil)[:16])
}
