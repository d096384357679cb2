package zpbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
	"github.com/zinniapaddle/zinniapaddle/internal/zproute"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	slopesCommand struct {
		Only string `help:"Substring of the name of the cost; all if empty."`
	}

	// slope is one cost measured at increasing sizes.
	slope struct {
		role    string
		what    string
		unit    string
		sizes   []int
		measure func(n int) float64
		target  int // size to extrapolate to
	}
)

var startTime = time.Unix(1_000_000, 0)

// Run measures each slope at three or more sizes, fits a line, and prints the
// extrapolated cost at the target size.
func (c *slopesCommand) Run(out *console) error {
	_, _ = fmt.Fprintln(out.out, "| role | cost | sizes n | measured | fit | at the target size |")
	_, _ = fmt.Fprintln(out.out, "|---|---|---|---|---|---|")
	for _, s := range slopes() {
		if !strings.Contains(s.what, c.Only) {
			continue
		}
		var xs, ys []float64
		var sizes, values []string
		for _, n := range s.sizes {
			y := s.measure(n)
			xs, ys = append(xs, float64(n)), append(ys, y)
			sizes, values = append(sizes, fmt.Sprint(n)), append(values, fmt.Sprintf("%.3g", y))
		}
		alpha, beta := stat.LinearRegression(xs, ys, nil, false)
		r2 := stat.RSquared(xs, ys, nil, alpha, beta)
		_, _ = fmt.Fprintf(out.out, "| %s | %s, %s | %s | %s | %.3g + %.3g n (R² %.3f) | n = %d: %.3g %s |\n", s.role, s.what, s.unit,
			strings.Join(sizes, ", "), strings.Join(values, ", "), alpha, beta, r2, s.target, alpha+beta*float64(s.target), s.unit)
	}
	return nil
}

func slopes() []slope {
	daemonCounts := []int{9, 100, 400, 1200}
	return []slope{
		{"configuration", "apply one change of an endpoint, n endpoints", "µs", []int{120, 1200, 6000, 12000}, applyChange, 12000},
		{"configuration", "bytes of that change to a peer, n endpoints", "B", []int{120, 1200, 6000, 12000}, changeBytes, 12000},
		{"configuration", "memory of the relayed state, n endpoints", "KB", []int{120, 1200, 6000, 12000}, cacheMemory, 12000},
		{"relay", "answer a comparison without news, n members", "µs", daemonCounts, compareIdle, 1200},
		{"relay", "bytes of one member's change, n members", "B", daemonCounts, memberBytes, 1200},
		{"membership", "choose whom to monitor after a change, n members", "µs", daemonCounts, chooseMonitors, 1200},
		{"membership", "plan partitions when none has an owner, n members and 4 n partitions", "µs", daemonCounts, planUnowned, 1200},
		{"membership", "plan partitions when each has an owner, n members and 4 n partitions", "µs", daemonCounts, planOwned, 1200},
		{"owner", "one reservation from ask to end, n waiting", "µs", []int{1, 16, 64, 256}, reserveCost, 64},
		{"claims", "one claim, n kept in the newest page", "µs", []int{10, 50, 100, 200}, claimCost, 200},
		{"claims", "bytes of one write, n claims in the page", "B", []int{10, 50, 100, 200}, claimBytes, 200},
		{"hints", "memory, n conversations", "KB", []int{1000, 10000, 50000}, hintMemory, 1667},
		{"caller side", "name a prompt's blocks, n tokens", "µs", []int{250, 1000, 4000}, nameBlocks, 4000},
		{"caller side", "pick and rank, n endpoints of the pool", "µs", []int{12, 100, 500}, rankCost, 500},
		{"caller side", "find the workspace of a key, n workspaces", "µs", []int{10, 100, 430}, findWorkspace, 430},
	}
}

// microsPerCall benchmarks f and returns the time per call in microseconds.
func microsPerCall(f func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			f()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N) / 1000
}

// heapKilobytes returns the heap size in KB of the value that build returns.
func heapKilobytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / 1024
}

func manifestOfSize(n int) *zpmanifest.Manifest {
	m := &zpmanifest.Manifest{Version: 1, Partitions: 64, ClaimShards: 8, Domains: []zpmanifest.Domain{{Name: "a", Region: "north"}}}
	m.Pools = []zpmanifest.Pool{{Name: "p", Kind: zpmanifest.PoolKindModel}}
	for i := range n {
		m.Endpoints = append(m.Endpoints, zpmanifest.Endpoint{
			Name: fmt.Sprintf("runner-%d", i), Address: fmt.Sprintf("http://10.%d.%d.%d:9000", i/62500, i/250%250, i%250),
			Pool: "p", Domain: "a", Slots: 8, ColdSlots: 2,
		})
	}
	return m
}

func storedObjects(m *zpmanifest.Manifest, revision int64) []zpobject.Object {
	head, parts, err := zpmanifest.Split(m)
	if err != nil {
		panic(err)
	}
	var out []zpobject.Object
	for _, p := range parts {
		out = append(out, zpobject.Object{Name: zpconfig.PartPrefix + p.Name, Revision: revision, Body: p.Body})
	}
	body, err := zpmanifest.EncodeHead(head)
	if err != nil {
		panic(err)
	}
	return append(out, zpobject.Object{Name: zpconfig.ManifestObject, Revision: revision, Body: body})
}

// changedObjects returns the objects written when one endpoint changes.
func changedObjects(m *zpmanifest.Manifest, version int64) []zpobject.Object {
	before := map[string]bool{}
	for _, o := range storedObjects(m, 1) {
		before[o.Name] = true
	}
	next := m.Clone()
	next.Version = version
	next.Endpoints[0].Slots = 8 + int(version%8)
	next.Endpoints[0].ColdSlots = 1 + int(version/8%8)
	var out []zpobject.Object
	for _, o := range storedObjects(next, version) {
		if !before[o.Name] || o.Name == zpconfig.ManifestObject {
			out = append(out, o)
		}
	}
	return out
}

func applyChange(n int) float64 {
	m := manifestOfSize(n)
	c := zpconfig.NewCache()
	c.Apply(storedObjects(m, 1), 1, startTime)
	const changes = 64
	var deltas [changes][]zpobject.Object
	for i := range deltas {
		deltas[i] = changedObjects(m, int64(i+2))
	}
	total := time.Duration(0)
	for i, d := range deltas {
		start := time.Now()
		c.Apply(d, int64(i+2), startTime)
		total += time.Since(start)
	}
	return float64(total.Microseconds()) / changes
}

func changeBytes(n int) float64 {
	sum := 0
	for _, o := range changedObjects(manifestOfSize(n), 2) {
		sum += len(o.Name) + len(o.Body)
	}
	return float64(sum)
}

func cacheMemory(n int) float64 {
	return heapKilobytes(func() any {
		c := zpconfig.NewCache()
		c.Apply(storedObjects(manifestOfSize(n), 1), 1, startTime)
		return c
	})
}

func fleetMembers(n int) []zpassign.Member {
	out := make([]zpassign.Member, 0, n)
	for i := range n {
		d := i % 9
		out = append(out, zpassign.Member{
			Instance: fmt.Sprintf("entry-%d.abcdef01", i), Name: fmt.Sprintf("entry-%d", i), PeerAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			Domain: fmt.Sprintf("d%d", d), Region: fmt.Sprintf("r%d", d/3), State: zpassign.MemberServing,
		})
	}
	return out
}

func fleetCache(n int) *zpconfig.Cache {
	var objects []zpobject.Object
	for i, m := range fleetMembers(n) {
		body, err := zpassign.EncodeMember(m)
		if err != nil {
			panic(err)
		}
		objects = append(objects, zpobject.Object{Name: zpassign.MemberObject(m.Instance), Revision: int64(i + 1), Body: body})
	}
	c := zpconfig.NewCache()
	c.Apply(objects, int64(n), startTime)
	return c
}

func compareIdle(n int) float64 {
	c := fleetCache(n)
	return microsPerCall(func() { c.Since(int64(n), startTime) })
}

func memberBytes(n int) float64 {
	d := fleetCache(n).Since(int64(n-1), startTime)
	return float64(len(d.Objects[0].Name) + len(d.Objects[0].Body))
}

func chooseMonitors(n int) float64 {
	members := fleetMembers(n)
	return microsPerCall(func() {
		for _, m := range members {
			zpassign.MonitorsOf(m, members)
		}
	})
}

func planUnowned(n int) float64 {
	v := fleetView(n)
	return microsPerCall(func() { zpassign.Plan(v, v.Members[0].Instance) })
}

func planOwned(n int) float64 {
	v := fleetView(n)
	for p := range v.Partitions {
		v.Owners[p] = zpassign.Owner{Instance: v.Members[p%n].Instance, Epoch: 1}
	}
	return microsPerCall(func() { zpassign.Plan(v, v.Members[0].Instance) })
}

func fleetView(n int) zpassign.View {
	return zpassign.View{
		Partitions: 4 * n, Regions: []string{"r0", "r1", "r2"}, Members: fleetMembers(n), Owners: map[int]zpassign.Owner{},
	}
}

func reserveCost(n int) float64 {
	l := zpadmission.NewLedger(8, 2, 2*n+10, 1)
	l.Report(zpadmission.Report{Boot: "b", Warm: true, AsOf: startTime})
	ask := func(id string) {
		l.Enqueue(zpadmission.Request{ID: id, Holder: "h", Workspace: "w" + id[len(id)-1:], Urgent: true, Cost: 100, MaxWait: time.Hour}, startTime)
	}
	for i := range n {
		ask(fmt.Sprintf("waiting-%d", i))
	}
	i := 0
	everyone := func(string) bool { return true }
	return microsPerCall(func() {
		i++
		ask(fmt.Sprintf("r%d", i))
		for _, d := range l.Decide(zpadmission.AuthorityFull, everyone, startTime) {
			l.End(zpadmission.Result{ID: d.ID, Outcome: zpadmission.OutcomeOK, Boot: "b", Total: time.Second}, startTime)
		}
	})
}

func claimTable(n int) *zpclaim.Table {
	t, err := zpclaim.NewTable(0, nil)
	if err != nil {
		panic(err)
	}
	for i := range n {
		t.Acquire(zpclaim.AcquireRequest{Key: fmt.Sprintf("%032d", i), Token: fmt.Sprintf("%024d", i), Holder: "entry-0.abcdef01", BodyHash: strings.Repeat("b", 32)}, startTime)
	}
	return t
}

func claimCost(n int) float64 {
	w := &zpclaim.Writer{
		API: zpobject.NewMemory(), Retention: time.Hour, NewID: func() string { return "id" }, Clock: func() time.Time { return startTime },
	}
	ctx := context.Background()
	for i := range n {
		if _, err := w.Acquire(ctx, zpclaim.AcquireRequest{Key: fmt.Sprintf("%032d", i), Token: fmt.Sprint(i)}); err != nil {
			panic(err)
		}
	}
	return microsPerCall(func() {
		if _, err := w.Acquire(ctx, zpclaim.AcquireRequest{Key: "k", Token: "t"}); err != nil {
			panic(err)
		}
		if err := w.Settle(ctx, zpclaim.Settlement{Key: "k", Token: "t", State: zpclaim.StateReleased}); err != nil {
			panic(err)
		}
	}) / 2
}

func claimBytes(n int) float64 {
	body, err := claimTable(n).Newest().Encode()
	if err != nil {
		panic(err)
	}
	return float64(len(body))
}

func hintMemory(n int) float64 {
	return heapKilobytes(func() any {
		t, err := zphint.NewTable(n)
		if err != nil {
			panic(err)
		}
		for i := range n {
			var k zphint.Key
			k[0], k[1], k[2] = byte(i), byte(i>>8), byte(i>>16)
			t.Put(k, zphint.Hint{Holder: "runner-1", Blocks: 40})
			t.Put(k, zphint.Hint{Holder: "store-1", Kind: zphint.KindStore, Blocks: 40})
		}
		return t
	})
}

func nameBlocks(n int) float64 {
	text := strings.Repeat("abcd", n)
	salt := zpprefix.NewSalt("s", "w", "m", "v")
	return microsPerCall(func() { zpprefix.BlockNames(salt, text) })
}

func rankCost(n int) float64 {
	places := make([]zproute.Target, 0, n)
	for i := range n {
		places = append(places, zproute.Target{Endpoint: fmt.Sprintf("runner-%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	random := rand.New(rand.NewPCG(1, 1))
	rates := zproute.Rates{PrefillTokensPerSecond: 4000, BytesPerToken: 512}
	prompt := zproute.Prompt{Tokens: 1000, Blocks: 15, Region: "r0"}
	return microsPerCall(func() {
		var candidates []zproute.Candidate
		for _, name := range zproute.PickTargets(places, []string{"runner-1"}, "key", "r0", 3, nil, random) {
			candidates = append(candidates, zproute.Candidate{Endpoint: name, Region: "r0", Quote: zpadmission.Quote{Limit: 8}})
		}
		zproute.Rank(prompt, candidates, nil, rates)
	})
}

func findWorkspace(n int) float64 {
	m := &zpmanifest.Manifest{}
	for i := range n {
		m.Workspaces = append(m.Workspaces, zpmanifest.Workspace{Name: fmt.Sprint(i), KeyHashes: []string{zpmanifest.HashKey(fmt.Sprint(i))}})
	}
	return microsPerCall(func() { m.WorkspaceByKey("7") })
}
