package zpprefix_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

var prompt = strings.Repeat("0123456789abcdef", 100)

func newSalt(workspace, model, version string) zpprefix.Salt {
	return zpprefix.NewSalt("secret-of-"+workspace, workspace, model, version)
}

// expectDisjoint checks that no block has the same name under two salts.
func expectDisjoint(a, b zpprefix.Salt) {
	GinkgoHelper()
	names := map[zpprefix.BlockName]bool{}
	for _, n := range zpprefix.BlockNames(a, prompt) {
		names[n] = true
	}
	for _, n := range zpprefix.BlockNames(b, prompt) {
		Expect(names).NotTo(HaveKey(n))
	}
}

var _ = Describe("BlockNames", func() {
	It("returns equal names for a common prefix and none for an incomplete block", func() {
		s := newSalt("w", "m", "v1")
		short, long := zpprefix.BlockNames(s, prompt[:1000]), zpprefix.BlockNames(s, prompt)
		Expect(short).To(HaveLen(3))
		Expect(long[:3]).To(Equal(short))
	})

	It("returns other names for all blocks after a change at the start", func() {
		s := newSalt("w", "m", "v1")
		a, b := zpprefix.BlockNames(s, prompt), zpprefix.BlockNames(s, "x"+prompt[1:])
		for i := range a {
			Expect(a[i]).NotTo(Equal(b[i]))
		}
	})

	DescribeTable("returns no common name",
		func(a, b zpprefix.Salt) { expectDisjoint(a, b) },
		Entry("between workspaces", newSalt("w", "m", "v1"), newSalt("x", "m", "v1")),
		Entry("between workspaces with one secret", zpprefix.NewSalt("s", "w", "m", "v"), zpprefix.NewSalt("s", "x", "m", "v")),
		Entry("between models", newSalt("w", "m", "v1"), newSalt("w", "n", "v1")),
		Entry("between weight versions", newSalt("w", "m", "v1"), newSalt("w", "m", "v2")),
		Entry("when two parts concatenate to the same text", zpprefix.NewSalt("s", "ab", "c", "d"), zpprefix.NewSalt("s", "a", "bc", "d")),
	)

	It("parses the hex form of a salt and rejects other text", func() {
		s := newSalt("w", "m", "v1")
		parsed, ok := zpprefix.ParseSalt(s.String())
		Expect(ok).To(BeTrue())
		Expect(parsed).To(Equal(s))
		_, ok = zpprefix.ParseSalt("zz")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Fingerprint", func() {
	It("differs between workspaces", func() {
		a := zpprefix.Fingerprint(newSalt("w", "", ""), []byte(prompt))
		Expect(a).NotTo(Equal(zpprefix.Fingerprint(newSalt("x", "", ""), []byte(prompt))))
		Expect(a).To(Equal(zpprefix.Fingerprint(newSalt("w", "", ""), []byte(prompt))))
	})
})
