// Command zpstandin runs the stand-ins for the systems round zinniapaddle, the
// load driver and the demo.
package main

import (
	"os"

	"github.com/zinniapaddle/zinniapaddle/internal/zpbench"
)

func main() {
	os.Exit(zpbench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
