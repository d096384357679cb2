// Command zpstandin runs stand-ins for the external systems that zinniapaddle
// depends on, the load driver and the demo.
package main

import (
	"os"

	"github.com/zinniapaddle/zinniapaddle/internal/zpbench"
)

func main() {
	os.Exit(zpbench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
