package zones

import (
	"fmt"
	"hash/crc32"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestWarmByCalls: a run has the node's own work in it, so that of a service that is still cold hardly shows there.
func TestWarmByCalls(t *testing.T) {
	bore := ObservedCapacity{RunRate: 100, RunMS: 20, CallMS: 4}
	for _, c := range []struct {
		run, call float64
		warm      bool
	}{{20, 4, true}, {25, 5, true}, {25, 9, false}, {30, 5, true}, {25, 0, true}, {30, 0, false}} {
		if got := isWarm(&View{RunMS: c.run, CallMS: c.call}, &bore); got != c.warm {
			t.Errorf("%.0f ms a run, %.0f ms a call: %v, expected %v", c.run, c.call, got, c.warm)
		}
	}
}

// look has the watch see a zone of two nodes that do so much, for some looks.
func looked(w *Monitor, f *membership.State, s *State, from uint64, looks int, l api.LoadReport) uint64 {
	for i := 0; i < looks; i++ {
		from += evaluateEveryMS
		for _, n := range f.Nodes() {
			one := l
			w.Record(from, n, &one, nil)
		}
		w.evaluate(from, s, f, 0)
	}
	return from
}

// TestJoinsAnew: nodes that were up all along and join anew, as after their lease ran out or the group was restored,
// are no fleet that restarts.
func TestJoinsAnew(t *testing.T) {
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, InitialShare: 16, ColdStart: true}
	for _, c := range []struct {
		up    uint64
		began bool
	}{{0, true}, {5000, true}, {60_000, false}} {
		f := membership.New()
		f.ClockMS = 100_000
		f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z",
			Nonce: "nonce-of-a", UptimeMS: c.up}, {Name: "b", Zone: "z",
			Nonce: "nonce-of-b", UptimeMS: c.up}}}, 1, membership.LeaseTerms{LeaseMS: 5000})
		s := &State{Zones: []*Zone{{Name: "z", Phase: InService, Share: api.FullShare,
			Capacity: ObservedCapacity{RunRate: 100, RunMS: 20, Concurrency: 2}}}}
		if got := s.BeginColdStart(f, &rules, 0); got != c.began {
			t.Errorf("up for %d ms: %v, expected %v", c.up, got, c.began)
		}
	}
}

// TestLearnsWhatIsUsual: runs that stand are not what a service bore, and nothing is learned from a fleet on its way
// back.
func TestLearnsWhatIsUsual(t *testing.T) {
	f := membership.New()
	f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z", Nonce: "nonce-of-a"},
		{Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	s, w := &State{}, NewMonitor()
	well := api.LoadReport{WindowMS: 2000, Arrived: 200, Completed: 200, RunsEnded: 200, MeanRunMS: 20, Calls: 200,
		MeanCallMS: 10, KernelConnected: true, Cores: 4, CoresUsed: 1}
	at := looked(w, f, s, 0, 30, well)
	bore := w.Views()[0].observed
	if bore.RunRate < 190 || bore.Concurrency < 3.5 || bore.Concurrency > 4.5 {
		t.Fatalf("bore %+v, expected 200 runs a second and 4 under way", bore)
	}
	stands := well
	stands.RunsEnded, stands.MeanRunMS, stands.Calls, stands.MeanCallMS, stands.Completed, stands.RunsInFlight,
		stands.WindowMS = 0, 0, 0, 0, 0, 3, 800
	at = looked(w, f, s, at, 12, stands)
	if b := w.Views()[0].observed; b.Concurrency > 1.2*bore.Concurrency {
		t.Errorf("%.1f runs that stood count as borne, expected %.1f at most", b.Concurrency, 1.2*bore.Concurrency)
	}
	at = looked(w, f, s, at, 12, well)
	usual := w.Views()[0].observed
	s.Zones = []*Zone{{Name: WholeFleet, Phase: Ramping, Share: 32}}
	slow := well
	slow.MeanRunMS, slow.MeanCallMS = 25, 15
	looked(w, f, s, at, 40, slow)
	if b := w.Views()[0].observed; b.CallMS != usual.CallMS || b.RunMS != usual.RunMS {
		t.Errorf("a fleet on its way back has %.1f ms a call for usual, expected %.1f as before", b.CallMS,
			usual.CallMS)
	}
}

// TestSlowAndFailing: where all services are slow, the zone in which runs fail for want of calls first is not taken
// for one that fails by itself; one whose runs fail while its calls are as usual is left, and so is one that is slow
// and fails at its usual pace.
func TestSlowAndFailing(t *testing.T) {
	f := membership.New()
	var joins []api.JoinRequest
	for i, zone := range []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"} {
		joins = append(joins, api.JoinRequest{Name: fmt.Sprint("n", i), Zone: zone, Nonce: fmt.Sprint("nonce-of-", i)})
	}
	f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: joins}, 1, membership.LeaseTerms{LeaseMS: 5000})
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, MinStepMS: 2000, MaxRampDelayMS: 60_000, InitialShare: 16}
	well := api.LoadReport{WindowMS: 2000, Arrived: 100, Completed: 100, RunsEnded: 100, MeanRunMS: 20, Calls: 100,
		MeanCallMS: 10, KernelConnected: true, Cores: 4,
		CoresUsed: 1, OfferedWeight: 100, CompletedWeight: 100}
	crawls, gaveUp, fails, paced, busy := well, well, well, well, well
	busy.RunsEnded, busy.Completed, busy.Late, busy.MeanRunMS, busy.Calls, busy.MeanCallMS,
		busy.CompletedWeight = 80, 40, 40, 150, 80, 140, 40
	crawls.RunsEnded, crawls.Completed, crawls.Late, crawls.MeanRunMS, crawls.Calls, crawls.MeanCallMS,
		crawls.CompletedWeight = 20, 0, 20, 150, 20, 140, 0
	gaveUp.RunsEnded, gaveUp.Completed, gaveUp.Failed, gaveUp.MeanRunMS, gaveUp.Calls, gaveUp.MeanCallMS,
		gaveUp.CompletedWeight = 16, 2, 14, 250, 16, 240, 2
	fails.Completed, fails.Failed, fails.CompletedWeight = 40, 60, 40
	paced.Completed, paced.Failed, paced.MeanCallMS, paced.CompletedWeight = 10, 90, 60, 10
	for _, c := range []struct {
		name          string
		first, others api.LoadReport
		left          bool
	}{{"all slow, one fails", gaveUp, crawls, false}, {"one fails", fails, well, true},
		{"all slow, one fails, the others busy", gaveUp, busy, false},
		{"one slow and failing", gaveUp, well, true}, {"one slow, and fails at its usual pace", paced, well, true}} {
		s, w, now := &State{}, NewMonitor(), uint64(0)
		var op *Op
		for look := 0; look < 60; look++ {
			now += evaluateEveryMS
			f.ClockMS = now
			for _, n := range f.Nodes() {
				l := well
				if look >= 30 {
					if l = c.others; n.Zone == "a" {
						l = c.first
					}
				}
				w.Record(now, n, &l, nil)
			}
			if o := w.Decide(now, s, f, &rules, 0); o != nil && o.Kind == "leave" && op == nil {
				op = o
			}
		}
		if left := op != nil; left != c.left || left && op.Zone != "a" {
			t.Errorf("%s: %+v, expected a left: %v; %+v", c.name, op, c.left, w.Views()[0])
		}
	}
}

// TestPools: what thousands of nodes see together is told though each sees next to nothing, a few that lie move it
// little, and the nodes of a small zone stand for themselves.
func TestPools(t *testing.T) {
	report := func(i int, perNode float64) *api.LoadReport {
		runs := int(perNode) // and one more for some
		if float64(crc32.ChecksumIEEE([]byte{byte(i), byte(i >> 8)}))/(1<<32) < perNode-float64(runs) {
			runs++
		}
		return &api.LoadReport{WindowMS: 2000, KernelConnected: true, Cores: 4, CoresUsed: 0.1, RunsEnded: runs,
			Arrived: 3 * runs, Completed: runs, MeanRunMS: 50 * min(1, float64(runs)),
			Calls: runs, MeanCallMS: 20 * min(1, float64(runs))}
	}
	for _, c := range []struct {
		n    int
		each float64
	}{{5000, 0.07}, {1667, 0.5}, {300, 3}, {300, 40}, {5, 12}} {
		var all []*api.LoadReport
		for i := range c.n {
			all = append(all, report(i, c.each))
		}
		v := &View{NodesIn: c.n}
		v.aggregate(all)
		want := float64(c.n) * c.each / 2
		if v.RunRate < 0.7*want || v.RunRate > 1.35*want || v.RunMS < 45 || v.RunMS > 55 || v.CallMS < 18 ||
			v.Concurrency < 0.75*want*0.05 ||
			v.Concurrency > 1.35*want*0.05 {
			t.Errorf("%d nodes with %.2f runs each: %.1f runs a second, %.1f ms, %.2f under way; expected %.1f, 50, %.2f", c.n, c.each, v.RunRate,
				v.RunMS, v.Concurrency, want, want*0.05)
		}
		before := v.RunRate
		for i := range c.n / 200 { // one in two hundred lies
			all[i*200].RunsEnded, all[i*200].MeanRunMS = 10_000, 1
		}
		v.aggregate(all)
		if c.n >= 300 && (v.RunRate > 3*before+1 || v.RunRate < before/3) {
			t.Errorf("%d nodes with %.2f runs each: %.1f runs a second, and %.1f once a few lie", c.n, c.each,
				before, v.RunRate)
		}
	}
	if got := len(pool(idle(17))); got != 17 {
		t.Errorf("17 nodes in %d pools, expected each alone", got)
	}
}

func idle(n int) (all []*api.LoadReport) {
	for range n {
		all = append(all, &api.LoadReport{WindowMS: 2000})
	}
	return all
}

// TestLeastCeiling: a small zone may have a run a second and node in any case, a large one a part of what it bore at
// most.
func TestLeastCeiling(t *testing.T) {
	for _, c := range []struct {
		bore      float64
		share, in int
		runs      float64
	}{{60, 16, 3, 3.75}, {60, 4, 3, 3}, {1875, 16, 5000, 117.1875}, {1875, 4, 5000, 117.1875}, {0, 16, 5, 5}, {1875,
		128, 5000, 937.5}} {
		z := &Zone{Capacity: ObservedCapacity{RunRate: c.bore}}
		if runs, dials := z.rateLimits(c.share, c.in); runs != c.runs || dials < runs {
			t.Errorf("%+v: %.2f runs and %.2f connections a second, expected %.2f", c, runs, dials, c.runs)
		}
	}
}

// TestReturnEnds: at a share of all a return goes on while much is turned away, its ceiling goes up meanwhile, and it
// ends once little is, or once the ceiling could not go up for a while.
func TestReturnEnds(t *testing.T) {
	f := membership.New()
	f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z", Nonce: "nonce-of-a"},
		{Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	for _, n := range f.Nodes() {
		n.Lease.ExpiresAtMS = 1 << 40
	}
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, MinStepMS: 1000, MaxRampDelayMS: 60_000, InitialShare: 16}
	bore := ObservedCapacity{RunRate: 100, Concurrency: 2, RunMS: 20, CallMS: 10}
	for _, c := range []struct {
		name   string
		turned int
		runMS  float64
		kind   OpKind
		after  uint64 // ms at the share
	}{{"little is turned away", 10, 20, "in", 5000}, {"much is", 200, 20, "step", 5000},
		{"much is, and all it bore is under way", 200, 24, "", 5000},
		{"the same for long", 200, 24, "in", maxEndMS + 1000}} {
		s := &State{Epoch: 7, SettledEpoch: 7, Zones: []*Zone{{Name: "z", Phase: Ramping, Share: api.FullShare,
			RateLimit: 100, ConnectRateLimit: 100, Capacity: bore, NodesBefore: 2,
			Since: 100_000}}}
		s.Zones[0].Quotas = []LeaseQuota{{f.Nodes()[0].Lease.ID, 50}, {f.Nodes()[1].Lease.ID, 50}}
		w := NewMonitor()
		l := api.LoadReport{WindowMS: 2000, Arrived: 100 + c.turned, Retries: c.turned, RejectedByZone: c.turned,
			Completed: 100, RunsEnded: 100, MeanRunMS: c.runMS, Calls: 100,
			MeanCallMS: c.runMS / 2, KernelConnected: true, Cores: 4, CoresUsed: 1, OfferedWeight: 100,
			CompletedWeight: 100}
		f.ClockMS = 100_000
		at := looked(w, f, s, 100_000, int(c.after/evaluateEveryMS), l)
		f.ClockMS = at
		op := w.Decide(at, s, f, &rules, 0)
		kind := OpKind("")
		if op != nil && op.Kind != OpObserve {
			kind = op.Kind
		}
		if kind != c.kind || kind == OpRamp && (op.RateLimit <= 100 || op.RateLimit > maxLimitFactor*100) {
			t.Errorf("%s: %+v (%s), expected %q", c.name, op, w.Views()[0].Note, c.kind)
		}
	}
}

// TestDemandLags: while callers move, reports miss some of them on both sides; the budget of further tries goes by
// what came lately, and a demand that fell in earnest is believed after a while.
func TestDemandLags(t *testing.T) {
	f := membership.New()
	f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z", Nonce: "nonce-of-a"},
		{Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	s := &State{Zones: []*Zone{{Name: "z", Phase: InService, Share: api.FullShare}}}
	w := NewMonitor()
	load := func(came int) api.LoadReport {
		return api.LoadReport{WindowMS: 1000, Arrived: came, RunsEnded: 300, MeanRunMS: 20, Completed: 300,
			KernelConnected: true, Cores: 10, CoresUsed: 5}
	}
	budget := func() int {
		r, _ := w.retryBudget(s, w.views[0], InService, true)
		return r
	}
	at := looked(w, f, s, 100_000, 6, load(500))
	asked := budget()
	at = looked(w, f, s, at, 3, load(400))
	if less := budget(); less > asked+api.FullShare/8 {
		t.Errorf("%d of %d further tries where callers move, %d before", less, api.FullShare, asked)
	}
	looked(w, f, s, at, 60, load(250))
	if fell := budget(); fell < 2*asked {
		t.Errorf("%d of %d further tries where half of the demand is gone, %d before", fell, api.FullShare, asked)
	}
}
