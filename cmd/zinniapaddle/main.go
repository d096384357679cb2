// Command zinniapaddle is the daemon and the operators' command line.
package main

import (
	"os"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcommand"
)

func main() {
	os.Exit(zpcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
