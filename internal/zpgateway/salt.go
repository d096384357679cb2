package zpgateway

import (
	"strconv"
	"strings"
)

// saltOf names the parts of one model and weight version. Those of an isolated
// workspace have a salt of their own.
func saltOf(model string, weights int64, isolated string) string {
	salt := "v" + strconv.FormatInt(weights, 10) + "." + model
	if isolated != "" {
		salt += "." + isolated
	}
	return salt
}

// weightsOf returns model and weight version of a salt; ok is false for salts
// that saltOf has not made.
func weightsOf(salt string) (model string, weights int64, ok bool) {
	version, rest, found := strings.Cut(salt, ".")
	if !found || !strings.HasPrefix(version, "v") {
		return "", 0, false
	}
	weights, err := strconv.ParseInt(version[1:], 10, 64)
	model, _, _ = strings.Cut(rest, ".")
	return model, weights, err == nil
}
