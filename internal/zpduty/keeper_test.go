package zpduty_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpduty"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

const dutyName = "duties/weights"

// dutyStore holds the duty's object, and an outdated copy of it for peeks.
type dutyStore struct {
	zpobject.API
	current, outdated   zpobject.Object // revision 0: does not exist
	peekError           error
	reads, peeks, wrote int
}

func (s *dutyStore) Get(context.Context, string) (zpobject.Object, error) {
	s.reads++
	return existing(s.current)
}

func (s *dutyStore) peek(context.Context, string) (zpobject.Object, error) {
	s.peeks++
	if s.peekError != nil {
		return zpobject.Object{}, s.peekError
	}
	return existing(s.outdated)
}

func (s *dutyStore) Put(_ context.Context, name string, body []byte, ifRevision int64) (zpobject.Object, error) {
	s.wrote++
	if ifRevision != s.current.Revision {
		return zpobject.Object{}, zpobject.ErrConflict
	}
	s.current = zpobject.Object{Name: name, Revision: ifRevision + 1, Body: body}
	return s.current, nil
}

func existing(o zpobject.Object) (zpobject.Object, error) {
	if o.Revision == 0 {
		return zpobject.Object{}, zpobject.ErrNotFound
	}
	return o, nil
}

func dutyObject(revision int64, r zpduty.Record) zpobject.Object {
	GinkgoHelper()
	body, err := zpduty.EncodeRecord(r)
	Expect(err).NotTo(HaveOccurred())
	return zpobject.Object{Name: dutyName, Revision: revision, Body: body}
}

var _ = Describe("Keeper that peeks", func() {
	var store *dutyStore
	var now time.Time
	var keeper *zpduty.Keeper

	BeforeEach(func() {
		store, now = &dutyStore{}, start
		keeper = zpduty.NewKeeper(dutyName, "b", timing, store, zplog.Discard(), func() time.Time { return now })
		keeper.Peek = store.peek
	})

	step := func(ms int) {
		now = at(ms)
		keeper.Step(context.Background(), true)
	}
	expectHolds := func(holds bool) {
		GinkgoHelper()
		_, _, ok := keeper.Holds()
		Expect(ok).To(Equal(holds))
	}
	heldByOther := func(revision int64) zpobject.Object {
		GinkgoHelper()
		return dutyObject(revision, zpduty.Record{Holder: "a", Renewal: revision})
	}

	It("acquires a duty that nobody has held", func() {
		step(0)
		expectHolds(true)
	})

	It("does not read the object while another daemon renews its lease", func() {
		for ms := 0; ms < 20000; ms += 200 {
			store.current = heldByOther(int64(1 + ms/200))
			store.outdated = store.current
			step(ms)
		}
		Expect(store.peeks).To(Equal(100))
		Expect(store.reads).To(BeZero())
		Expect(store.wrote).To(BeZero())
	})

	It("does not take the duty of a holder whose renewals it sees late", func() {
		store.outdated = heldByOther(1)
		for ms := 0; ms < 20000; ms += 200 {
			store.current = heldByOther(int64(1 + ms/200))
			step(ms)
		}
		Expect(store.wrote).To(BeZero())
		expectHolds(false)
	})

	It("takes the duty of a holder that has stopped, as late as without peeks", func() {
		store.current, store.outdated = heldByOther(1), heldByOther(1)
		step(0)
		step(4099)
		expectHolds(false)
		step(4100)
		expectHolds(true)
	})

	It("does not let an older copy restart the waiting time", func() {
		store.current, store.outdated = heldByOther(9), heldByOther(9)
		step(0)
		store.outdated = heldByOther(8)
		step(2000)
		step(4100)
		expectHolds(true)
	})

	It("does nothing while peeks fail", func() {
		store.peekError = errors.New("down")
		step(0)
		Expect(store.reads).To(BeZero())
		expectHolds(false)
	})
})
