package zpgateway

import (
	"strconv"
	"strings"
)

// formatSalt returns the cache salt of one model and weight version. isolated is
// the name of an isolated workspace, which has its own salt, or empty.
func formatSalt(model string, weights int64, isolated string) string {
	salt := "v" + strconv.FormatInt(weights, 10) + "." + model
	if isolated != "" {
		salt += "." + isolated
	}
	return salt
}

// parseSalt returns the model and the weight version of a salt. ok is false for
// salts that formatSalt did not return.
func parseSalt(salt string) (model string, weights int64, ok bool) {
	version, rest, found := strings.Cut(salt, ".")
	if !found || !strings.HasPrefix(version, "v") {
		return "", 0, false
	}
	weights, err := strconv.ParseInt(version[1:], 10, 64)
	model, _, _ = strings.Cut(rest, ".")
	return model, weights, err == nil
}
