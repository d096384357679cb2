package e2e_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// binDir is the output directory of `make build`; ZP_BIN overrides it.
var binDir = "../bin"

func TestSuite(t *testing.T) {
	if dir := os.Getenv("ZP_BIN"); dir != "" {
		binDir = dir
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}
