package zpdetour_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDetour(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zpdetour")
}
