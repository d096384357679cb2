package zpdetour_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// testNetwork answers connects by address, and questions by the daemon asked. What it has no
// error for succeeds.
type testNetwork struct {
	mu     sync.Mutex
	direct map[string]error
	open   map[string]error
	asked  []string // daemons
	dialed []string // addresses, directly
}

var errHang = errors.New("connect timed out")

func (n *testNetwork) dialDirect(_ context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialed = append(n.dialed, address)
	return newConn(n.direct[address])
}

func (n *testNetwork) dialThrough(_ context.Context, peer, _ string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked = append(n.asked, peer)
	return newConn(n.open[peer])
}

func newConn(err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	conn, other := net.Pipe()
	_ = other.Close()
	return conn, nil
}

func newDialer(n *testNetwork, peers ...zpdetour.Peer) *zpdetour.Dialer {
	return &zpdetour.Dialer{
		Tracker: &zpdetour.Tracker{}, Direct: n.dialDirect, Open: n.dialThrough, Domain: "a", Region: "n", Log: zplog.Discard(), Clock: time.Now,
		Peers: func() []zpdetour.Peer { return peers },
	}
}

func expectConnect(ctx context.Context, d *zpdetour.Dialer, address string) {
	GinkgoHelper()
	conn, err := d.DialContext(ctx, "tcp", address)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.Close()).To(Succeed())
}

var _ = Describe("Dialer", func() {
	peer := func(name, domain, region string) zpdetour.Peer {
		return zpdetour.Peer{Name: name, Address: name, Domain: domain, Region: region, Cores: 1}
	}
	near, near2, far := peer("near", "b", "n"), peer("near2", "b", "n"), peer("far", "z", "s")
	same, same2, same3 := peer("same", "a", "n"), peer("same2", "a", "n"), peer("same3", "a", "n")
	ctx := context.Background()

	It("asks nobody while it can connect", func() {
		n := &testNetwork{}
		expectConnect(ctx, newDialer(n, near), "a")
		Expect(n.asked).To(BeEmpty())
	})

	It("connects through another daemon once it cannot, and later without a connect of its own", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}}
		d := newDialer(n, near)
		expectConnect(ctx, d, "a")
		expectConnect(ctx, d, "a")
		Expect(n.dialed).To(Equal([]string{"a"}))
		Expect(n.asked).To(Equal([]string{"near", "near"}))
	})

	It("asks daemons of the own region first", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}, open: map[string]error{"near": zpdetour.ErrPeerCut}}
		expectConnect(ctx, newDialer(n, far, near), "a")
		Expect(n.asked).To(Equal([]string{"near", "far"}))
	})

	// Guards against the body of a request with home regions at a daemon of another region.
	It("asks no daemon of a region that the request is not allowed in", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}}
		only := zpdetour.WithRegions(ctx, func(region string) bool { return region == "s" })
		expectConnect(only, newDialer(n, near, far), "a")
		Expect(n.asked).To(Equal([]string{"far"}))
	})

	DescribeTable("does not ask a daemon again at once that",
		func(err error) {
			n := &testNetwork{direct: map[string]error{"a": errHang, "b": errHang}, open: map[string]error{"near": err}}
			d := newDialer(n, near, far)
			expectConnect(ctx, d, "a")
			expectConnect(ctx, d, "b")
			Expect(n.asked).To(Equal([]string{"near", "far", "far"}))
		},
		Entry("is cut off itself", zpdetour.ErrPeerCut),
		Entry("cannot be reached", zpdetour.ErrPeerFailed),
		Entry("does not know the call", zpdetour.ErrUnsupported),
		Entry("has no room", zpdetour.ErrBusy),
	)

	// Guards against the loss of the only way because of endpoints that daemon does not connect to either.
	It("goes on asking a daemon that could not tell about an endpoint", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang, "b": errHang}, open: map[string]error{"near": zpdetour.ErrUndecided}}
		d := newDialer(n, near)
		_, err := d.DialContext(ctx, "tcp", "a")
		Expect(err).To(HaveOccurred())
		n.open = nil
		expectConnect(ctx, d, "b")
		Expect(n.asked).To(Equal([]string{"near", "near"}))
	})

	// Guards against loading other daemons for endpoints that are down.
	DescribeTable("reports its own error for an endpoint that others cannot connect to either, and asks no more",
		func(err error) {
			n := &testNetwork{direct: map[string]error{"a": errHang}, open: map[string]error{"near": err, "near2": err}}
			d := newDialer(n, near, near2)
			for range 3 {
				_, dialErr := d.DialContext(ctx, "tcp", "a")
				Expect(dialErr).To(MatchError(errHang))
			}
			Expect(n.asked).To(ConsistOf("near", "near2"))
			Expect(d.Tracker.Reach(time.Now())).To(Equal(zpdetour.Reach{}))
		},
		Entry("it refuses connections", syscall.ECONNREFUSED),
		Entry("it does not answer", zpdetour.ErrNoPath),
	)

	// Guards against daemons of one failure domain that are cut off together and take all endpoints for down.
	DescribeTable("does not believe daemons of its own failure domain that an endpoint is down",
		func(err error) {
			n := &testNetwork{direct: map[string]error{"a": errHang}, open: map[string]error{"same": err, "same2": err, "same3": err}}
			expectConnect(ctx, newDialer(n, same, same2, same3, far), "a")
			Expect(n.asked).To(HaveLen(3))
			Expect(n.asked[2]).To(Equal("far"))
		},
		Entry("it refuses connections", syscall.ECONNREFUSED),
		Entry("it does not answer", zpdetour.ErrNoPath),
	)

	It("takes no detour where the endpoint must see this daemon", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}}
		_, err := newDialer(n, near).DialContext(zpdetour.DirectOnly(ctx), "tcp", "a")
		Expect(err).To(MatchError(errHang))
		Expect(n.asked).To(BeEmpty())
	})

	It("connects by itself if it is alone", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}}
		d := newDialer(n)
		d.Tracker.RecordDetour("a", time.Now())
		_, err := d.DialContext(ctx, "tcp", "a")
		Expect(err).To(MatchError(errHang))
	})

	// Guards against blaming endpoints for the lack of daemons that reach them.
	It("says that nobody can connect while all other daemons are cut off, too", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}, open: map[string]error{"near": zpdetour.ErrPeerCut}}
		d := newDialer(n, near)
		d.Tracker.RecordDetour("a", time.Now())
		for range 3 {
			_, err := d.DialContext(ctx, "tcp", "a")
			Expect(err).To(MatchError(zpdetour.ErrNoPeer))
		}
		Expect(n.asked).To(HaveLen(1))
	})

	// Guards against asking daemons that are cut off in place of the one that is not.
	It("asks the daemon that has connected before those that have failed", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}, open: map[string]error{}}
		peers := []zpdetour.Peer{near}
		for _, name := range []string{"c1", "c2", "c3", "c4", "c5"} {
			peers = append(peers, peer(name, "b", "n"))
			n.open[name] = zpdetour.ErrPeerCut
		}
		d := newDialer(n, peers...)
		now := time.Now()
		d.Clock = func() time.Time { return now }
		for range 6 { // finds out about each of them
			_, _ = d.DialContext(ctx, "tcp", "a")
		}
		for range 4 {
			now = now.Add(2100 * time.Millisecond) // those that have failed may be asked again
			for range 3 {
				expectConnect(ctx, d, "a")
			}
		}
	})

	// Guards against the loss of the only way while daemons are stopped one after the other.
	It("still asks a daemon that stops, for as long as it opens connections", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}, open: map[string]error{"far": zpdetour.ErrPeerCut}}
		d := newDialer(n)
		peers := []zpdetour.Peer{near, far}
		d.Peers = func() []zpdetour.Peer { return peers }
		expectConnect(ctx, d, "a")
		peers = peers[1:]
		expectConnect(ctx, d, "a")
		n.open["near"] = zpdetour.ErrPeerCut
		_, err := d.DialContext(ctx, "tcp", "a")
		Expect(err).To(MatchError(zpdetour.ErrNoPeer))
	})

	// Guards against a daemon that stops late because others use it who have another way.
	It("asks a daemon that stops after all others", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}}
		d := newDialer(n)
		peers := []zpdetour.Peer{near}
		d.Peers = func() []zpdetour.Peer { return peers }
		expectConnect(ctx, d, "a")
		peers = []zpdetour.Peer{far}
		expectConnect(ctx, d, "a")
		Expect(n.asked).To(Equal([]string{"near", "far"}))
	})

	It("spreads open connections over daemons", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}}
		d := newDialer(n, near, near2)
		for range 8 {
			_, err := d.DialContext(ctx, "tcp", "a")
			Expect(err).NotTo(HaveOccurred())
		}
		count := map[string]int{}
		for _, p := range n.asked {
			count[p]++
		}
		Expect(count).To(HaveKeyWithValue("near", BeNumerically(">=", 3)))
		Expect(count).To(HaveKeyWithValue("near2", BeNumerically(">=", 3)))
	})

	It("finds the way back by probes", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang, "b": errHang}}
		d := newDialer(n, near)
		expectConnect(ctx, d, "a")
		expectConnect(ctx, d, "b")
		Expect(d.Tracker.IsCut(time.Now())).To(BeTrue())
		n.mu.Lock()
		n.direct = nil
		n.mu.Unlock()
		probing, stop := context.WithCancel(ctx)
		defer stop()
		go d.RunProbes(probing)
		Eventually(func() zpdetour.Reach { return d.Tracker.Reach(time.Now()) }, time.Second).Should(Equal(zpdetour.Reach{}))
	})

	// Guards against a storm of connects when a part of the endpoints is reached again.
	It("probes each blocked address once when one of them is reached again", func() {
		n := &testNetwork{}
		d := newDialer(n, near)
		blocked := 20
		d.Tracker.RecordConnect("z", time.Now())
		for i := range blocked {
			d.Tracker.RecordDetour(fmt.Sprint(i), time.Now())
			d.Tracker.RecordConnect("z", time.Now())
		}
		expectConnect(zpdetour.DirectOnly(ctx), d, "0")
		Eventually(func() []string { return d.Tracker.Reach(time.Now()).Blocked }, time.Second).Should(BeEmpty())
		Consistently(func() int {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.dialed)
		}, 50*time.Millisecond).Should(Equal(blocked))
	})

	// Guards against a cut that callers who leave make up.
	It("does not count connects that were given up because the caller left", func() {
		gone, leave := context.WithCancel(ctx)
		leave()
		n := &testNetwork{direct: map[string]error{"a": context.Canceled, "b": context.Canceled}}
		d := newDialer(n, near)
		for _, address := range []string{"a", "b"} {
			_, err := d.DialContext(gone, "tcp", address)
			Expect(err).To(HaveOccurred())
		}
		Expect(d.Tracker.MayBeCut(time.Now())).To(BeFalse())
	})

	DescribeTable("tells whether an endpoint refuses connections of others",
		func(err error, refusing bool) {
			n := &testNetwork{open: map[string]error{"near": err, "near2": err}}
			Expect(newDialer(n, near, near2).IsRefusing(ctx, "a", 0)).To(Equal(refusing))
		},
		Entry("it does", syscall.ECONNREFUSED, true),
		Entry("it does not", nil, false),
		Entry("it does not answer", zpdetour.ErrNoPath, false),
		Entry("nobody could tell", zpdetour.ErrPeerFailed, false),
	)

	// Guards against crashes that go unseen because other daemons saw two endpoints crash and may be cut off.
	DescribeTable("believes its own refusal if nobody could tell, while it connects to another endpoint",
		func(err error, refusing bool) {
			n := &testNetwork{open: map[string]error{"near": zpdetour.ErrPeerCut}}
			d := newDialer(n, near)
			expectConnect(ctx, d, "b")
			n.direct = map[string]error{"a": syscall.ECONNREFUSED, "b": err}
			Expect(d.IsRefusing(ctx, "a", 0)).To(Equal(refusing))
		},
		Entry("it does", nil, true),
		Entry("it no longer does", errHang, false),
	)

	It("tries endpoints that it has not connected to yet for that", func() {
		n := &testNetwork{open: map[string]error{"near": zpdetour.ErrPeerCut}}
		d := newDialer(n, near)
		Expect(d.IsRefusing(ctx, "a", 0)).To(BeFalse())
		d.Endpoints = func() []string { return []string{"a", "b"} }
		Expect(d.IsRefusing(ctx, "a", 0)).To(BeTrue())
		Expect(n.dialed).To(Equal([]string{"b"}))
	})

	// Guards against crashes of sound endpoints that a daemon of the same cut reports.
	It("does not take the word of one daemon where others exist", func() {
		n := &testNetwork{open: map[string]error{"near": zpdetour.ErrPeerCut, "same": syscall.ECONNREFUSED}}
		Expect(newDialer(n, near, same).IsRefusing(ctx, "a", 0)).To(BeFalse())
	})

	It("does not take the word of its own failure domain while no other daemon can be asked", func() {
		n := &testNetwork{direct: map[string]error{"a": errHang}, open: map[string]error{"near": zpdetour.ErrPeerCut, "same": syscall.ECONNREFUSED, "same2": syscall.ECONNREFUSED}}
		d := newDialer(n, near, same, same2)
		for range 2 {
			Expect(d.IsRefusing(ctx, "a", 0)).To(BeFalse())
		}
		Expect(d.Tracker.MayDetour("a", time.Now())).To(BeTrue())
	})

	It("believes its own connect where no other daemon exists", func() {
		Expect(newDialer(&testNetwork{}).IsRefusing(ctx, "a", 0)).To(BeTrue())
	})

	// Guards against crashes of sound endpoints that a daemon concludes from the silence of the others.
	DescribeTable("believes its own connect only while it connects to another endpoint, if it does not hear the daemons that exist",
		func(err error, refusing bool) {
			n := &testNetwork{}
			d := newDialer(n)
			d.Registered = func() []zpdetour.Peer { return []zpdetour.Peer{near, same} }
			expectConnect(ctx, d, "b")
			n.direct = map[string]error{"a": syscall.ECONNREFUSED, "b": err}
			Expect(d.IsRefusing(ctx, "a", 0)).To(Equal(refusing))
		},
		Entry("it does", nil, true),
		Entry("it does not", errHang, false),
	)

	It("believes no refusal if it has just started and hears nobody", func() {
		d := newDialer(&testNetwork{})
		d.Registered = func() []zpdetour.Peer { return []zpdetour.Peer{near} }
		Expect(d.IsRefusing(ctx, "a", 0)).To(BeFalse())
	})

	// Guards against daemons that are cut off together and take each other's word for that of the fleet.
	DescribeTable("does not take an endpoint for down by the word of those that are cut off with it",
		func(heard, silent zpdetour.Peer) {
			n := &testNetwork{direct: map[string]error{"a": errHang}, open: map[string]error{heard.Name: syscall.ECONNREFUSED}}
			d := newDialer(n, heard)
			d.Registered = func() []zpdetour.Peer { return []zpdetour.Peer{heard, silent} }
			Expect(d.IsRefusing(ctx, "a", 0)).To(BeFalse())
			Expect(d.Tracker.MayDetour("a", time.Now())).To(BeTrue())
		},
		Entry("one of its own failure domain", same, near),
		Entry("one of another", near, far),
	)
})
