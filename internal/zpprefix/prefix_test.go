package zpprefix_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

var text = strings.Repeat("0123456789abcdef", 100)

func salt(workspace, model, version string) zpprefix.Salt {
	return zpprefix.NewSalt("secret-of-"+workspace, workspace, model, version)
}

// expectDisjoint checks that no block has the same name under two salts.
func expectDisjoint(a, b zpprefix.Salt) {
	GinkgoHelper()
	names := map[zpprefix.Name]bool{}
	for _, n := range zpprefix.Blocks(a, text) {
		names[n] = true
	}
	for _, n := range zpprefix.Blocks(b, text) {
		Expect(names).NotTo(HaveKey(n))
	}
}

var _ = Describe("Blocks", func() {
	It("names the same prefix the same", func() {
		s := salt("w", "m", "v1")
		short, long := zpprefix.Blocks(s, text[:1000]), zpprefix.Blocks(s, text)
		Expect(short).To(HaveLen(3))
		Expect(long[:3]).To(Equal(short))
	})

	It("names a block by all that comes before it", func() {
		s := salt("w", "m", "v1")
		a, b := zpprefix.Blocks(s, text), zpprefix.Blocks(s, "x"+text[1:])
		for i := range a {
			Expect(a[i]).NotTo(Equal(b[i]))
		}
	})

	DescribeTable("shares no name",
		func(a, b zpprefix.Salt) { expectDisjoint(a, b) },
		Entry("between workspaces", salt("w", "m", "v1"), salt("x", "m", "v1")),
		Entry("between workspaces with one secret", zpprefix.NewSalt("s", "w", "m", "v"), zpprefix.NewSalt("s", "x", "m", "v")),
		Entry("between models", salt("w", "m", "v1"), salt("w", "n", "v1")),
		Entry("between weight versions", salt("w", "m", "v1"), salt("w", "m", "v2")),
		Entry("when parts run together", zpprefix.NewSalt("s", "ab", "c", "d"), zpprefix.NewSalt("s", "a", "bc", "d")),
	)

	It("reads a salt back", func() {
		s := salt("w", "m", "v1")
		back, ok := zpprefix.ParseSalt(s.String())
		Expect(ok).To(BeTrue())
		Expect(back).To(Equal(s))
		_, ok = zpprefix.ParseSalt("zz")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Fingerprint", func() {
	It("differs between workspaces", func() {
		a := zpprefix.Fingerprint(salt("w", "", ""), []byte(text))
		Expect(a).NotTo(Equal(zpprefix.Fingerprint(salt("x", "", ""), []byte(text))))
		Expect(a).To(Equal(zpprefix.Fingerprint(salt("w", "", ""), []byte(text))))
	})
})
