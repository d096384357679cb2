package zpsettings

import (
	"fmt"
	"strings"
)

// Page returns the settings page as Markdown, generated from the defaults.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("This page is generated from the defaults by `make docs`; CI compares it with the code.\n")
	b.WriteString("A dot in a key stands for a level of YAML. Unknown keys are refused.\n\n")
	b.WriteString("| key | default | meaning |\n|---|---|---|\n")
	for _, f := range Fields(Defaults()) {
		fmt.Fprintf(&b, "| `%s` | `%s` | %s |\n", f.Key, f.text(), f.Doc)
	}
	return b.String()
}
