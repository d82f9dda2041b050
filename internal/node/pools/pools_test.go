package pools

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/admission"
)

// TestSketchQuantileError guards against quantiles beyond the stated error, for uniform, heavy-tailed and two-valued
// distributions and after a merge.
func TestSketchQuantileError(t *testing.T) {
	for name, draw := range map[string]func(*rand.Rand) float64{
		"uniform":    func(r *rand.Rand) float64 { return 100 + 900*r.Float64() },
		"log-normal": func(r *rand.Rand) float64 { return 50 * math.Exp(2*r.NormFloat64()) },
		"two values": func(r *rand.Rand) float64 { return 200 * (1 + 9*math.Floor(r.Float64()*20/19)) },
	} {
		r := rand.New(rand.NewSource(5))
		var a, b sketch
		var all []float64
		for i := 0; i < 20000; i++ {
			v := max(2, draw(r))
			all = append(all, v)
			if i%2 == 0 {
				a.add(v)
			} else {
				b.add(v)
			}
		}
		a.merge(&b)
		slices.Sort(all)
		for _, q := range []float64{0.05, 0.5, 0.95, 0.99} {
			want := all[int(math.Ceil(q*float64(len(all))))-1]
			if got := a.quantile(q); got < want/1.051 || got > want*1.051 {
				t.Errorf("%s: quantile(%.2f) = %.1f, want %.1f within 5%%", name, q, got, want)
			}
		}
	}
}

// testServer simulates a server with pools: requests that CanStart admits run for their work.
type testServer struct {
	t        *testing.T
	pools    *Pools
	now      Time
	slots    int
	lastID   uint32
	queue    []queuedRequest // in arrival order
	queuedAt []Time          // of each entry of queue
	runs     map[uint32]*testRun
	runOrder []uint32
	done     []int    // runs that ended, by class
	late     []int    // of them, those past the latency objective
	shed     []int    // by class
	waits    [][]Time // queue delays of started requests, by class
	rand     *rand.Rand
}

type queuedRequest struct {
	id    uint32
	class int
}

type testRun struct {
	class     int
	endsAt    Time
	arrivedAt Time
}

const queueTimeout = Second / 2 // a request that is queued for longer is shed

func newTestServer(t *testing.T, slots int, config Config) *testServer {
	n := len(config.Classes)
	return &testServer{t: t, pools: New(config), slots: slots, runs: map[uint32]*testRun{}, done: make([]int, n),
		late: make([]int, n), shed: make([]int, n), waits: make([][]Time, n), rand: rand.New(rand.NewSource(3))}
}

func (s *testServer) arrive(class, tenant int) { s.arriveFrom(class, tenant, s.rand.Uint32()) }

func (s *testServer) arriveFrom(class, tenant int, caller uint32) {
	s.lastID++
	s.pools.Enqueued(s.now, &admission.Request{ID: s.lastID, Handler: class, Tenant: tenant, Caller: caller})
	s.queue = append(s.queue, queuedRequest{s.lastID, class})
	s.queuedAt = append(s.queuedAt, s.now)
}

// step advances the time, ends runs, sheds requests and starts others in arrival order, as package admission does. work
// draws the work of a class's next run. It checks the pools' counts against the server's own.
func (s *testServer) step(by Time, work func(class int) Time) {
	s.now += by
	for k := 0; k < len(s.runOrder); k++ {
		id := s.runOrder[k]
		if r := s.runs[id]; r.endsAt <= s.now {
			s.pools.Ended(s.now, id, true, s.now-r.arrivedAt <= Second)
			s.done[r.class]++
			if s.now-r.arrivedAt > Second {
				s.late[r.class]++
			}
			delete(s.runs, id)
			s.runOrder = append(s.runOrder[:k], s.runOrder[k+1:]...)
			k--
		}
	}
	for k := 0; k < len(s.queue); k++ {
		if s.now-s.queuedAt[k] > queueTimeout {
			s.pools.Dequeued(s.now, s.queue[k].id, true)
			s.shed[s.queue[k].class]++
			s.dequeue(k)
			k--
		}
	}
	s.pools.Tick(s.now, s.slots)
	for k := 0; k < len(s.queue) && len(s.runOrder) < s.slots; {
		id, class := s.queue[k].id, s.queue[k].class
		if !s.pools.CanStart(id) {
			k++
			continue
		}
		wait := s.now - s.queuedAt[k]
		s.pools.Started(s.now, id, wait)
		s.waits[class] = append(s.waits[class], wait)
		s.runs[id] = &testRun{class, s.now + work(class), s.queuedAt[k]}
		s.runOrder = append(s.runOrder, id)
		s.dequeue(k)
		k = 0
	}
	running, queued := 0, 0
	for k := range s.pools.classes {
		c := &s.pools.classes[k]
		running += c.running + c.heavy
		queued += c.queued
		if c.running < 0 || c.queued < 0 || c.heavy < 0 {
			s.t.Fatalf("class %d: %d running, %d heavy, %d queued, want none below 0", k, c.running, c.heavy, c.queued)
		}
	}
	if running != len(s.runOrder) || queued != len(s.queue) || len(s.pools.runs) != running {
		s.t.Fatalf("pools count %d running (%d runs) and %d queued, want %d and %d", running, len(s.pools.runs), queued,
			len(s.runOrder), len(s.queue))
	}
}

func (s *testServer) dequeue(k int) {
	s.queue = append(s.queue[:k], s.queue[k+1:]...)
	s.queuedAt = append(s.queuedAt[:k], s.queuedAt[k+1:]...)
}

// load resets the counts and simulates seconds of arrivals, with a rate per second for each class.
func (s *testServer) load(seconds float64, rates []float64, work func(class int) Time) {
	for k := range s.done {
		s.done[k], s.late[k], s.shed[k], s.waits[k] = 0, 0, 0, nil
	}
	const by = Second / 200
	for end := s.now + Time(seconds*float64(Second)); s.now < end; {
		for class, rate := range rates {
			if s.rand.Float64() < rate*float64(by)/float64(Second) {
				s.arrive(class, 0)
			}
		}
		s.step(by, work)
	}
}

// inTimeFraction is the fraction of a class's requests that met the latency objective.
func (s *testServer) inTimeFraction(class int) float64 {
	return float64(s.done[class]-s.late[class]) / float64(max(1, s.done[class]+s.shed[class]))
}

// constantWork gives each class a constant work, in ms.
func constantWork(ms ...Time) func(int) Time { return func(class int) Time { return ms[class] * 10 } }

func fractionOf(fraction float64, slots int) int { return int(fraction * float64(slots)) }

var cheapAndCostly = Config{Classes: []Class{{Name: "view"}, {Name: "load"}}, Reserve: true, Tenants: 3}

// TestCheapClassKeepsLatencyUnderOverload guards against costly work, at 130 % of capacity, that starves a cheap class.
func TestCheapClassKeepsLatencyUnderOverload(t *testing.T) {
	work := constantWork(20, 400)
	for _, withPools := range []bool{true, false} {
		s := newTestServer(t, 12, cheapAndCostly)
		if !withPools {
			s.pools.config.Reserve = false
			for k := range s.pools.classes {
				s.pools.classes[k].FixedLimit = true
				s.pools.classes[k].limit = math.Inf(1)
			}
		}
		s.load(10, []float64{60, 36}, work)
		s.load(30, []float64{60, 36}, work)
		longestWait := slices.Max(s.waits[0])
		if !withPools && s.inTimeFraction(0) > 0.85 {
			t.Errorf("view without pools: %.3f in time, want at most 0.85, else the load shows nothing",
				s.inTimeFraction(0))
		}
		if withPools && (s.inTimeFraction(0) < 0.95 || longestWait > 450*10) {
			t.Errorf("view: %.3f in time, longest wait %d ms, want at least 0.95 and at most 450 ms",
				s.inTimeFraction(0), longestWait/10)
		}
		if rate := float64(s.done[1]) / 30; withPools && rate < 22 {
			t.Errorf("load: %.1f runs per second, want at least 22 of the possible 27", rate)
		}
	}
}

// TestCostlyClassIsCutForStarvedClass guards against a costly class that keeps more than its fair slots, without a
// reserve, while another is starved, and against a limit that outlasts the overload.
func TestCostlyClassIsCutForStarvedClass(t *testing.T) {
	s := newTestServer(t, 12, Config{Classes: []Class{{Name: "medium"}, {Name: "costly"}}, Tenants: 1})
	work := constantWork(100, 400)
	s.load(10, []float64{40, 36}, work)
	s.load(30, []float64{40, 36}, work)
	if s.inTimeFraction(0) < 0.93 || s.pools.classes[1].limit > 9 {
		t.Errorf("medium: %.3f in time, costly limited to %.1f, want at least 0.93 and at most 9", s.inTimeFraction(0),
			s.pools.classes[1].limit)
	}
	if v := s.pools.Status()[1]; v.Reason != "cut: medium is starved" && v.Reason != reasonAtFairSlots {
		t.Errorf("reason = %q, want a cut or the fair slots", v.Reason)
	}
	s.load(20, []float64{40, 10}, work) // the overload ends
	if !math.IsInf(s.pools.classes[1].limit, 1) || s.pools.QueueDelay(1) != 0 {
		t.Errorf("after the overload: costly has limit %.1f and queue delay %d, want no limit and 0",
			s.pools.classes[1].limit, s.pools.QueueDelay(1))
	}
}

// TestNoLimitsUnderCapacity guards against limits, and starts out of arrival order, while there is capacity for all.
func TestNoLimitsUnderCapacity(t *testing.T) {
	s := newTestServer(t, 12, Config{Classes: []Class{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Tenants: 1})
	s.load(20, []float64{40, 10, 5}, constantWork(20, 200, 400))
	for k := range s.pools.classes {
		if !math.IsInf(s.pools.classes[k].limit, 1) || s.pools.classes[k].startedOverLimit > 0 || s.shed[k] > 0 {
			t.Errorf("class %d: %+v with %d shed, want no limit, no start over it and none shed", k,
				s.pools.Status()[k], s.shed[k])
		}
	}
}

// TestFewHeavyRunsLeaveClassSlotsFree guards against a few runs of many times the usual work that use up the slots of
// their class, or change its median work.
func TestFewHeavyRunsLeaveClassSlotsFree(t *testing.T) {
	someHeavy := false
	r := rand.New(rand.NewSource(9))
	work := func(class int) Time {
		if class == 1 && someHeavy && r.Intn(8) == 0 {
			return 2500 * 10
		}
		return []Time{20, 100}[class] * 10
	}
	s := newTestServer(t, 12, Config{Classes: []Class{{Name: "view"},
		{Name: "save", MaxFraction: 0.5, FixedLimit: true}},
		Tenants: 1})
	s.load(6, []float64{40, 30}, work)
	someHeavy = true
	heavy := 0
	for i := 0; i < 20; i++ {
		s.load(1, []float64{40, 30}, work)
		heavy = max(heavy, s.pools.heavy.running)
	}
	if heavy == 0 || heavy > max(1, fractionOf(heavyFraction, 12)) {
		t.Errorf("%d heavy runs at once, want 1 to %d", heavy, fractionOf(heavyFraction, 12))
	}
	if c := s.pools.classes[1]; c.cost.median > 130*10 {
		t.Errorf("median work of save = %.0f ms, want at most 130", c.cost.median/10)
	}
}

// TestHeavySlotsOfOneTenant guards against one tenant's heavy runs that take more than half of the heavy slots.
func TestHeavySlotsOfOneTenant(t *testing.T) {
	p := New(Config{Classes: []Class{{Name: "a"}}, Tenants: 3})
	now := Second
	for id := uint32(1); id <= minSamples; id++ {
		p.Enqueued(now, &admission.Request{ID: id})
		p.Started(now, id, 0)
		p.Ended(now+100, id, true, true)
	}
	p.Tick(now+adjustInterval, 20) // four heavy slots
	now += Second
	for id := uint32(100); id < 110; id++ {
		tenant := int(id-100) * 4 / 16 // four runs, four and two
		p.Enqueued(now, &admission.Request{ID: id, Tenant: tenant})
		p.Started(now, id, 0)
	}
	p.Tick(now+2*Second, 20)
	if !slices.Equal(p.heavy.byTenant, []int{2, 2, 0}) || p.classes[0].running != 6 {
		t.Fatalf("heavy runs by tenant %v, %d in the class's own slots; want [2 2 0] and 6", p.heavy.byTenant,
			p.classes[0].running)
	}
	for id := uint32(100); id < 110; id++ {
		p.Ended(now+3*Second, id, true, true)
	}
	if p.heavy.running != 0 || !slices.Equal(p.heavy.byTenant, []int{0, 0, 0}) {
		t.Fatalf("after all runs ended: %d heavy, by tenant %v; want none", p.heavy.running, p.heavy.byTenant)
	}
}

// TestCostChangeOfWholeClass guards against a median that doesn't follow when the work of a whole class grows tenfold:
// all of its runs would count as heavy.
func TestCostChangeOfWholeClass(t *testing.T) {
	factor := Time(1)
	work := func(class int) Time { return []Time{20, 40 * factor}[class] * 10 }
	s := newTestServer(t, 12, cheapAndCostly)
	s.load(8, []float64{40, 20}, work)
	factor = 10
	s.load(6, []float64{40, 20}, work)
	if c := s.pools.classes[1]; c.cost.median < 350*10 {
		t.Fatalf("median work of load = %.0f ms six seconds after it became 400, want at least 350", c.cost.median/10)
	}
	s.load(5, []float64{40, 20}, work)
	if s.pools.heavy.running > 0 {
		t.Fatalf("%d heavy runs, want none", s.pools.heavy.running)
	}
}

// TestReserveIsBounded guards against a surge of the cheapest class that displaces a more valuable one.
func TestReserveIsBounded(t *testing.T) {
	s := newTestServer(t, 12, Config{Classes: []Class{{Name: "view"}, {Name: "submit", Value: 40}}, Reserve: true,
		Tenants: 1})
	work := constantWork(20, 200)
	s.load(6, []float64{60, 25}, work)
	s.load(20, []float64{1200, 25}, work)
	if s.inTimeFraction(1) < 0.9 {
		t.Errorf("submit: %.2f in time while view surges, want at least 0.9", s.inTimeFraction(1))
	}
	if bound := fractionOf(maxReserveFraction, 12); s.pools.reserve.slots > bound {
		t.Errorf("reserve = %d slots, want at most %d", s.pools.reserve.slots, bound)
	}
}

// TestReserveIsStableForSimilarClasses guards against a reserve that moves back and forth between classes of similar
// work.
func TestReserveIsStableForSimilarClasses(t *testing.T) {
	s := newTestServer(t, 12, Config{Classes: []Class{{Name: "a"}, {Name: "b"}}, Reserve: true, Tenants: 1})
	changes := 0
	for i := 0; i < 30; i++ {
		s.load(1, []float64{30, 30}, func(class int) Time { return Time(400 + 80*((i+class)%2)) })
		for _, line := range s.pools.TakeChanges() {
			if strings.HasPrefix(line, "reserve:") {
				changes++
			}
		}
	}
	if changes > 1 {
		t.Errorf("the reserve moved %d times, want at most once", changes)
	}
}

// TestLimitsAreStableUnderOscillatingLoad guards against limits that change direction at each adjustment while the load
// exceeds capacity every few seconds.
func TestLimitsAreStableUnderOscillatingLoad(t *testing.T) {
	s := newTestServer(t, 12, cheapAndCostly)
	turns, previous, rising := 0, 0.0, false
	for i := 0; i < 240; i++ {
		rate := []float64{60, 18}
		if i/12%2 == 0 {
			rate = []float64{60, 40}
		}
		s.load(0.5, rate, constantWork(20, 400))
		limit := min(s.pools.classes[1].limit, 12)
		if limit != previous && previous > 0 {
			if rises := limit > previous; rises != rising {
				turns++
				rising = rises
			}
		}
		previous = limit
	}
	if turns > 60 {
		t.Errorf("the limit changed direction %d times in 120 s with 20 changes of load, want at most 60", turns)
	}
}

// TestOneOwnerDoesNotFillLimitedClass guards against a surge of one tenant, or of one caller, that takes all slots of a
// limited class.
func TestOneOwnerDoesNotFillLimitedClass(t *testing.T) {
	for _, by := range []string{"tenant", "caller"} {
		s := newTestServer(t, 8, Config{Classes: []Class{{Name: "a", MaxFraction: 0.5, FixedLimit: true}}, Tenants: 2})
		s.pools.Tick(Second, 8)
		s.now = Second
		for i := 0; i < 20; i++ {
			if by == "tenant" {
				s.arrive(0, 0)
			} else {
				s.arriveFrom(0, 0, 7)
			}
		}
		if by == "tenant" {
			s.arrive(0, 1)
		} else {
			s.arriveFrom(0, 0, 8)
		}
		s.step(1, constantWork(1000))
		// Half of the slots for the surge, then the other owner's request, then the rest.
		if want := []uint32{1, 2, 21, 3}; !slices.Equal(s.runOrder, want) {
			t.Errorf("%s: started requests %v, want %v", by, s.runOrder, want)
		}
	}
}

// TestHungRunsDoNotChangeCost guards against hung runs that count in the measured work of their class.
func TestHungRunsDoNotChangeCost(t *testing.T) {
	s := newTestServer(t, 12, cheapAndCostly)
	s.load(6, []float64{40, 10}, constantWork(20, 200))
	before := s.pools.classes[1].cost.median
	for id := uint32(1 << 20); id < 1<<20+2*minSamples; id++ {
		s.pools.Enqueued(s.now, &admission.Request{ID: id, Handler: 1})
		s.pools.Started(s.now, id, 0)
	}
	for i := 0; i < 40; i++ {
		s.now += adjustInterval
		s.pools.Tick(s.now, 12)
	}
	for id := uint32(1 << 20); id < 1<<20+2*minSamples; id++ {
		s.pools.Ended(s.now, id, false, false)
	}
	s.pools.Tick(s.now+adjustInterval, 12)
	if got := s.pools.classes[1].cost.median; got != before {
		t.Errorf("median work after hung runs = %.0f, want %.0f", got, before)
	}
}

// TestTimeAtCallsIsNotWork guards against a slow dependency that makes a class costly, or its runs heavy.
func TestTimeAtCallsIsNotWork(t *testing.T) {
	p := New(Config{Classes: []Class{{Name: "a"}}, Tenants: 1})
	now := Second
	for id := uint32(1); id <= 60; id++ {
		p.Enqueued(now, &admission.Request{ID: id})
		p.Started(now, id, 0)
		p.SetAtCall(now+50, id, true)
		p.Tick(now+Second, 12)
		p.SetAtCall(now+2*Second, id, false)
		p.Tick(now+2*Second+10, 12)
		if p.heavy.running > 0 {
			t.Fatal("a run that awaited a call is heavy")
		}
		p.Ended(now+2*Second+50, id, true, true)
		now += Second / 10
	}
	p.Tick(now+adjustInterval, 12)
	if median := p.classes[0].cost.median; median < 90 || median > 110 {
		t.Fatalf("median work = %.0f tenths of a ms, want 90 to 110", median)
	}
}

func BenchmarkWorkDistribution(b *testing.B) {
	r := rand.New(rand.NewSource(1))
	work := make([]float64, 1024)
	for k := range work {
		work[k] = 50 * math.Exp(2*r.NormFloat64())
	}
	b.Run("sketch", func(b *testing.B) {
		var s sketch
		for i := 0; i < b.N; i++ {
			s.add(work[i%1024])
		}
	})
	b.Run("hdr", func(b *testing.B) {
		h := hdrhistogram.New(1, 1<<21, 2)
		for i := 0; i < b.N; i++ {
			h.RecordValue(int64(work[i%1024]))
		}
		b.ReportMetric(float64(h.ByteSize()), "bytes")
	})
	b.Run("sorted", func(b *testing.B) {
		var all []float64
		for i := 0; i < b.N; i++ {
			all = append(all, work[i%1024])
			if i%1000 == 999 {
				slices.Sort(all)
				all = all[:0]
			}
		}
	})
}

// BenchmarkRequest measures the cost of one request in pools, with 5 and with 200 classes.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{5, 200} {
		b.Run(map[int]string{5: "5", 200: "200"}[n], func(b *testing.B) {
			config := Config{Reserve: true, Tenants: 12}
			for k := 0; k < n; k++ {
				config.Classes = append(config.Classes, Class{Name: "c"})
			}
			p := New(config)
			b.ReportAllocs()
			now, q := Second, admission.Request{}
			for i := 0; i < b.N; i++ {
				id, class := uint32(i), i%n
				q.ID, q.Handler, q.Tenant, q.Caller = id, class, i%12, id%40
				p.Enqueued(now, &q)
				if p.CanStart(id) {
					p.Started(now, id, 0)
					p.Ended(now+100, id, true, true)
				}
				now += 20
				if i%100 == 0 {
					p.Tick(now, 12)
				}
			}
		})
	}
}
