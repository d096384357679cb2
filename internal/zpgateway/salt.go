package zpgateway

import (
	"strconv"
	"strings"
)

// formatSalt returns the cache salt of one model and weight version. isolated is the name
// of an isolated workspace, and regions names the only regions that may hold the parts;
// each of these has its own salt. Both may be empty.
func formatSalt(model string, weights int64, isolated, regions string) string {
	salt := "v" + strconv.FormatInt(weights, 10) + "." + model
	if isolated != "" {
		salt += "." + isolated
	}
	if regions != "" {
		salt += "@" + regions
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
	rest, _, _ = strings.Cut(rest, "@")
	model, _, _ = strings.Cut(rest, ".")
	return model, weights, err == nil
}
