package zpgateway

import (
	"net/url"
	"strconv"
	"strings"
)

// cacheSalt names the parts of prompts that may be used for each other. Its text is
// VERSION.MODEL, followed by the parts below that are set.
type cacheSalt struct {
	model    string
	weights  int64
	isolated string // .NAME: the isolated workspace that alone uses the parts
	scope    string // ~SCOPE: the workspaces that share the parts, see zpcatalog.Catalog.CacheScope
	regions  string // @REGIONS: the only regions that may hold the parts
}

// saltEscaper escapes the separators of a salt in names.
var saltEscaper = strings.NewReplacer("%", "%25", ".", "%2E", "~", "%7E", "@", "%40")

func (s cacheSalt) String() string {
	text := "v" + strconv.FormatInt(s.weights, 10) + "." + saltEscaper.Replace(s.model)
	if s.isolated != "" {
		text += "." + saltEscaper.Replace(s.isolated)
	}
	if s.scope != "" {
		text += "~" + s.scope
	}
	if s.regions != "" {
		text += "@" + s.regions
	}
	return text
}

// parseSalt reads the text of a salt, except for its regions. ok is false for texts that
// cacheSalt.String did not return.
func parseSalt(text string) (s cacheSalt, ok bool) {
	version, rest, found := strings.Cut(text, ".")
	if !found || !strings.HasPrefix(version, "v") {
		return cacheSalt{}, false
	}
	rest, _, _ = strings.Cut(rest, "@")
	rest, s.scope, _ = strings.Cut(rest, "~")
	model, isolated, _ := strings.Cut(rest, ".")
	var err error
	if s.weights, err = strconv.ParseInt(version[1:], 10, 64); err != nil {
		return cacheSalt{}, false
	}
	if s.model, err = url.PathUnescape(model); err != nil {
		return cacheSalt{}, false
	}
	if s.isolated, err = url.PathUnescape(isolated); err != nil {
		return cacheSalt{}, false
	}
	return s, true
}
