package e2e_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpproof"
)

const (
	firstSiteNumber = 20
	seed            = 1
)

var _ = Describe("Promise", func() {
	for i, p := range zpproof.All() {
		It(fmt.Sprintf("%s: %s", p.Name, p.Promise), func(ctx context.Context) {
			e := &zpproof.Env{BinDir: binDir, Number: firstSiteNumber + i, Seed: seed}
			Expect(zpproof.Execute(ctx, p, e)).To(Succeed())
		})
		for _, m := range p.Mutants {
			It(fmt.Sprintf("%s: the proof fails with %s off", p.Name, m), func(ctx context.Context) {
				e := &zpproof.Env{BinDir: binDir, Number: firstSiteNumber + i, Seed: seed, Mutant: m}
				Expect(zpproof.Execute(ctx, p, e)).NotTo(Succeed())
			})
		}
	}
})
