package zpapp

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zpapp")
}

var _ = Describe("The members of the fleet", func() {
	list := func(names ...string) (out []zpassign.Member) {
		for _, name := range names {
			out = append(out, zpassign.Member{Name: name})
		}
		return out
	}

	// Guards against a daemon that takes the limits of the fleet for its own while the others write their records again.
	It("are kept for a while if a store that came back from a copy lacks them", func() {
		start := time.Unix(1000, 0)
		m := newMembers("a")
		m.replace(list("a", "b", "c"), start)
		until := m.storeRestored(start)
		m.replace(list("d"), start)
		Expect(m.Names()).To(Equal([]string{"a", "b", "c", "d"}))
		m.remove("c", start)
		Expect(m.Names()).To(Equal([]string{"a", "b", "d"}))
		m.replace(list("d"), until)
		Expect(m.Names()).To(Equal([]string{"a", "d"}))
	})

	It("are remembered for a while after they have left", func() {
		start := time.Unix(1000, 0)
		m := newMembers("a")
		m.replace(list("a", "b", "c"), start)
		Expect(m.haveLeft(start)).To(BeFalse())
		m.remove("c", start)
		Expect(m.haveLeft(start.Add(59 * time.Second))).To(BeTrue())
		Expect(m.haveLeft(start.Add(time.Minute))).To(BeFalse())
		m.replace(list("a"), start.Add(time.Minute))
		Expect(m.haveLeft(start.Add(time.Minute))).To(BeTrue())
		m.put(list("b")[0])
		Expect(m.haveLeft(start.Add(time.Minute))).To(BeFalse())
	})
})
