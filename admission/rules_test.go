package admission

import "testing"

// TestQueueTimeout: half the objective, less what the request's own run needs, and an eighth at the least; by rank
// and for retries only while the queue is long.
func TestQueueTimeout(t *testing.T) {
	b := &queueTimeouts{}
	short := &admissionQueue{}
	long := &admissionQueue{list: list{length: 9}, long: true}
	for name, c := range map[string]struct {
		of    queuedRequest
		queue *admissionQueue
		tier  float64
		want  Time
	}{
		"nothing known of its runs": {queuedRequest{objective: 8000, rank: 1}, short, 0, 4000},
		"a run that takes most of it": {queuedRequest{objective: 8000, expectedRunTime: 5000, rank: 1}, short, 0,
			1500},
		"a run past it": {queuedRequest{objective: 8000, expectedRunTime: 9000, rank: 1}, short, 0,
			1000},
		"the second tier":          {queuedRequest{objective: 8000, rank: 1}, short, 1, 2000},
		"least value, short queue": {queuedRequest{objective: 8000, rank: 0}, short, 0, 4000},
		"least value, long queue":  {queuedRequest{objective: 8000, rank: 0}, long, 0, 400},
		"half way, long queue":     {queuedRequest{objective: 8000, rank: 0.5}, long, 0, 1300},
		"a retry, long queue":      {queuedRequest{objective: 8000, rank: 1, isRetry: true}, long, 0, 1333},
		"a retry, short queue":     {queuedRequest{objective: 8000, rank: 1, isRetry: true}, short, 0, 4000},
		"long with two queued, no rank": {queuedRequest{objective: 8000}, &admissionQueue{list: list{length: 2},
			long: true}, 0, 4000},
	} {
		b.tier = c.tier
		if got := b.timeout(c.of, c.queue, 4); got != c.want {
			t.Errorf("%s: %d, expected %d", name, got, c.want)
		}
	}
}

// TestConcurrencyLimit: it follows the gauge between the cores and the ceiling.
func TestConcurrencyLimit(t *testing.T) {
	l := newConcurrencyLimit(&Deployment{Cores: 4, MaxRunsPerCore: 5})
	if got := l.ceiling(0); got != 16 {
		t.Fatalf("ceiling %d, expected four fifths of 20", got)
	}
	for k, step := range []struct {
		running, waiting int
		runnable         float64
		want             int
	}{
		{4, 3, 1, 6},      // three idle cores, half of them given out
		{6, 0, 1, 6},      // nobody waits
		{5, 3, 1, 6},      // the limit doesn't bind
		{6, 3, 4, 6},      // no core idles
		{6, 3, 6.5, 5},    // half as many again want the cores
		{5, 3, 9, 4},      // once more
		{4, 3, 9, 4},      // never under the cores
		{100, 3, 0, 16},   // never over the ceiling
		{100, 0, 3.5, 16}, // kept while nothing presses
	} {
		l.slotsInUse, l.runnable = step.running, step.runnable
		if l.adjust(0, step.waiting); l.current != step.want {
			t.Errorf("step %d: limit %d, expected %d", k, l.current, step.want)
		}
	}
}

// TestCallAllowance: what is in flight, abandoned calls included, stays under nine tenths of the allowance.
func TestCallAllowance(t *testing.T) {
	p := newCallPacer(&Deployment{Dependency: DependencyShared, CallAllowance: 4, CancellationDelay: Second})
	now := 10 * Second
	for range 3 {
		if !p.allows(now) {
			t.Fatalf("%d in flight, no other allowed; expected three", p.inFlight.count)
		}
		p.recordCall(now, 0)
	}
	if p.allows(now) {
		t.Error("a fourth call is allowed, expected three of an allowance of four")
	}
	p.inFlight.change(now, -1)
	p.recordAbandoned(now)
	if p.allows(now) {
		t.Error("a call is allowed for one that was abandoned and is still in flight")
	}
	if now += 2 * Second; !p.allows(now) {
		t.Error("no call is allowed after the cancellation delay")
	}
}

// TestCallDeadline: a call of a request that can be repeated ends with its objective, one that can't lasts until the
// request's deadline; under an allowance of one it lasts at most for what the mean has left.
func TestCallDeadline(t *testing.T) {
	d := &Deployment{Dependency: DependencyShared, CallAllowance: 4}
	p, now := newCallPacer(d), 10*Second
	if got := p.deadline(now, now+3*Second, now+Second, false); got != now+Second {
		t.Errorf("repeatable: %d, expected a second", got-now)
	}
	if got := p.deadline(now, now+3*Second, now-Second, false); got != now+minCallTimeoutExtra {
		t.Errorf("repeatable past its objective: %d, expected %d", got-now, minCallTimeoutExtra)
	}
	if got := p.deadline(now, now+3*Second, now+Second, true); got != now+3*Second {
		t.Errorf("once: %d, expected three seconds", got-now)
	}
	if got := p.deadline(now, now-Second, now-Second, true); got != now+1 {
		t.Errorf("once, past its deadline: %d, expected the next moment", got-now)
	}
	d.CallAllowance, d.CallAveragingTime, d.CancellationDelay = 0.1, 10*Second, Second/5
	p = newCallPacer(d)
	if got, want := p.deadline(now, now+9*Second, now+9*Second, true),
		now+Time(0.09*float64(10*Second))-Second/5; got != want {
		t.Errorf("under an allowance of one: %d, expected %d", got-now, want-now)
	}
}

// TestRepeats: a request that must run once never runs while an attempt that ran is known.
func TestRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		original record
		runsOnce bool
		want     repeatAction
	}{
		"of the same round":           {record{state: received}, true, treatAsNew},
		"first was shed":              {record{state: finished, failed: true}, true, treatAsNew},
		"first is queued":             {record{state: queued}, true, queueBehindOriginal},
		"first runs":                  {record{state: running, executed: true}, true, reuseOriginal},
		"first stands at a call":      {record{state: inCall, executed: true}, true, reuseOriginal},
		"first was answered and runs": {record{state: running, executed: true, answered: true}, true, reuseOriginal},
		"first failed":                {record{state: finished, executed: true, failed: true}, true, failRepeat},
		"first succeeded":             {record{state: finished, executed: true, answered: true}, true, reuseOriginal},
		"a read, first runs":          {record{state: running, executed: true}, false, reuseOriginal},
		"a read, first failed":        {record{state: finished, executed: true, failed: true}, false, treatAsNew},
		"a read, first given up":      {record{state: running, executed: true, answered: true}, false, treatAsNew},
		"a read, first is fresh": {record{state: finished, executed: true, answered: true}, false,
			reuseOriginal},
		"first waits for another's run": {record{state: awaitingResult}, true, reuseOriginal},
	} {
		if got := repeatActionFor(1, &c.original, 0, c.runsOnce); got != c.want {
			t.Errorf("%s: %d, expected %d", name, got, c.want)
		}
	}
}

// TestStall: no progress for as long as four usual runs, and longer with fewer runs on the cores.
func TestStall(t *testing.T) {
	classes := []class{{objective: 2 * Second, runTimePerWork: 1, defaultWork: float64(Second / 2)}}
	for _, c := range []struct {
		onCores int
		elapsed Time
		want    bool
	}{
		{4, 2 * Second, false},
		{4, 2*Second + 4, true},
		{8, 2*Second + 4, true},
		{1, 2*Second + 4, false},
		{1, 8*Second + 4, true},
		{0, 99 * Second, false},
	} {
		s := newReadiness()
		s.addStallTime(c.elapsed, c.onCores)
		if got := s.detectsStall(8, 4, classes); got != c.want {
			t.Errorf("%d on the cores for %d: stalling %v", c.onCores, c.elapsed, got)
		}
	}
}

// TestReadiness: a stalled server that is empty asks for a request again; an overloaded or draining one never does.
func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		stalled, overloaded, draining, empty bool
		silent                               Time
		want                                 bool
	}{
		{false, false, false, false, 0, true},
		{true, false, false, false, 9 * Second, false},
		{true, false, false, true, probeDelay, false},
		{true, false, false, true, probeDelay + 1, true},
		{true, true, false, true, 9 * Second, false},
		{false, true, false, true, 9 * Second, false},
		{false, false, true, true, 9 * Second, false},
	} {
		s := readiness{stalled: c.stalled, overloaded: c.overloaded}
		if got := s.isReady(c.empty, c.silent, c.draining); got != c.want {
			t.Errorf("%+v: ready %v", c, got)
		}
	}
}

// TestOverloadSignal: the pressure rises by a third a second at the most, falls by a twelfth, and leaves a tenth of the
// traffic; each kind of callers hears it in its own form.
func TestOverloadSignal(t *testing.T) {
	s := overloadSignal{kind: SignalLevel, callers: 4}
	near := func(what string, got, want float64) {
		if got < want-nearZero || got > want+nearZero {
			t.Errorf("%s: %f, expected %f", what, got, want)
		}
	}
	s.adjust(1, 100, 0)
	near("after a second of a long queue", s.pressure, 1.0/3)
	s.adjust(1, targetQueuePerCore, 0)
	near("settled", s.pressure, 1.0/3)
	s.adjust(1, 0, 0.25)
	near("settled by what waits unread", s.pressure, 1.0/3)
	s.adjust(1, 0, 0)
	near("after an idle second", s.pressure, 0.25)
	near("as a level", s.value(8, true), 0.25)
	near("as a level, not ready", s.value(8, false), 1)
	s.kind = SignalCredit
	near("as a credit", s.value(8, true), 3)
	near("as a credit, not ready", s.value(8, false), 0)
	s.kind = SignalWeight
	near("as a weight", s.value(8, true), 0.75)
	s.adjust(100, 100, 0)
	near("at its most", s.pressure, maxPressure)
}

// TestIdleTimeout: as configured while connections are few; else by the cube of the share of returning callers.
func TestIdleTimeout(t *testing.T) {
	i := idleTimeout{configured: 8 * Second}
	for _, c := range []struct {
		connections, returning, shed, retries float64
		want                                  Time
	}{
		{64, 0, 0, 0, 8 * Second},
		{65, 1, 0, 0, 8 * Second},
		{65, 0.5, 0, 0, Second},
		{65, 0, 0, 0, minIdleTimeout},
		{65, 0, 0.5, 0, Second},
		{65, 0, 0.5, 1, minIdleTimeout},
	} {
		if got := i.target(c.connections, 4, c.returning, c.shed, c.retries); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// TestDrainFinish: a run is started only if one and a half of its usual time end before the kill.
func TestDrainFinish(t *testing.T) {
	d := drain{active: true, killAt: 10 * Second}
	last := 10*Second - 2*timerPeriod - 3*Second
	if !d.canFinish(last, float64(2*Second)) || d.canFinish(last+1, float64(2*Second)) {
		t.Errorf("a run of two seconds can be started at %d: %v, and a moment later: %v", last,
			d.canFinish(last, float64(2*Second)), d.canFinish(last+1, float64(2*Second)))
	}
}
