package admission

import "testing"

// TestQueueTimeout checks the bounds of the queue timeout, and that rank and retries shorten it only while the queue
// is long.
func TestQueueTimeout(t *testing.T) {
	b := &queueTimeouts{}
	short := &admissionQueue{}
	long := &admissionQueue{list: list{length: 9}, long: true}
	for name, c := range map[string]struct {
		request queuedRequest
		queue   *admissionQueue
		tier    float64
		want    Time
	}{
		"unknown run time": {queuedRequest{objective: 8000, rank: 1}, short, 0, 4000},
		"run of most of the objective": {queuedRequest{objective: 8000, expectedRunTime: 5000, rank: 1}, short, 0,
			1500},
		"run longer than the objective": {queuedRequest{objective: 8000, expectedRunTime: 9000, rank: 1}, short, 0,
			1000},
		"second tier":          {queuedRequest{objective: 8000, rank: 1}, short, 1, 2000},
		"rank 0, short queue":  {queuedRequest{objective: 8000, rank: 0}, short, 0, 4000},
		"rank 0, long queue":   {queuedRequest{objective: 8000, rank: 0}, long, 0, 400},
		"rank 0.5, long queue": {queuedRequest{objective: 8000, rank: 0.5}, long, 0, 1300},
		"retry, long queue":    {queuedRequest{objective: 8000, rank: 1, isRetry: true}, long, 0, 1333},
		"retry, short queue":   {queuedRequest{objective: 8000, rank: 1, isRetry: true}, short, 0, 4000},
		"rank 0, long queue of two requests": {queuedRequest{objective: 8000}, &admissionQueue{list: list{length: 2},
			long: true}, 0, 4000},
	} {
		b.tier = c.tier
		if got := b.timeout(c.request, c.queue, 4); got != c.want {
			t.Errorf("%s: timeout() = %d, want %d", name, got, c.want)
		}
	}
}

// TestConcurrencyLimit checks that the limit follows the gauge between the number of cores and the ceiling.
func TestConcurrencyLimit(t *testing.T) {
	l := newConcurrencyLimit(&Deployment{Cores: 4, MaxRunsPerCore: 5})
	if got := l.ceiling(0); got != 16 {
		t.Fatalf("ceiling() = %d, want 16, four fifths of 20", got)
	}
	for k, step := range []struct {
		running, queued int
		runnable        float64
		want            int
	}{
		{4, 3, 1, 6},      // rises by half of three idle cores
		{6, 0, 1, 6},      // nothing queued
		{5, 3, 1, 6},      // the limit does not bind
		{6, 3, 4, 6},      // no idle core
		{6, 3, 6.5, 5},    // runnable exceeds the cores by more than half
		{5, 3, 9, 4},      // falls by one at a time
		{4, 3, 9, 4},      // not below the cores
		{100, 3, 0, 16},   // not above the ceiling
		{100, 0, 3.5, 16}, // unchanged in between
	} {
		l.slotsInUse, l.runnable = step.running, step.runnable
		if l.adjust(0, step.queued); l.current != step.want {
			t.Errorf("step %d: limit = %d, want %d", k, l.current, step.want)
		}
	}
}

// TestCallAllowance checks that calls in flight, including abandoned ones, stay below nine tenths of the allowance.
func TestCallAllowance(t *testing.T) {
	p := newCallPacer(&Deployment{Dependency: DependencyShared, CallAllowance: 4, CancellationDelay: Second})
	now := 10 * Second
	for range 3 {
		if !p.allows(now) {
			t.Fatalf("allows() = false with %d calls in flight, want true below three", p.inFlight.count)
		}
		p.recordCall(now, 0)
	}
	if p.allows(now) {
		t.Error("allows() = true with three calls in flight, want false for an allowance of four")
	}
	p.inFlight.change(now, -1)
	p.recordAbandoned(now)
	if p.allows(now) {
		t.Error("allows() = true while an abandoned call is in flight, want false")
	}
	if now += 2 * Second; !p.allows(now) {
		t.Error("allows() = false after the cancellation delay, want true")
	}
}

// TestCallDeadline checks that a call of a retryable request ends with its latency objective, that of an at-most-once
// request with its deadline, and that an allowance below one call bounds both.
func TestCallDeadline(t *testing.T) {
	d := &Deployment{Dependency: DependencyShared, CallAllowance: 4}
	p, now := newCallPacer(d), 10*Second
	if got := p.deadline(now, now+3*Second, now+Second, false); got != now+Second {
		t.Errorf("retryable: time to deadline = %d, want %d", got-now, Second)
	}
	if got := p.deadline(now, now+3*Second, now-Second, false); got != now+minCallTimeoutExtra {
		t.Errorf("retryable past its objective: time to deadline = %d, want %d", got-now, minCallTimeoutExtra)
	}
	if got := p.deadline(now, now+3*Second, now+Second, true); got != now+3*Second {
		t.Errorf("at most once: time to deadline = %d, want %d", got-now, 3*Second)
	}
	if got := p.deadline(now, now-Second, now-Second, true); got != now+1 {
		t.Errorf("at most once, past its deadline: time to deadline = %d, want 1", got-now)
	}
	d.CallAllowance, d.CallAveragingTime, d.CancellationDelay = 0.1, 10*Second, Second/5
	p = newCallPacer(d)
	if got, want := p.deadline(now, now+9*Second, now+9*Second, true),
		now+Time(0.09*float64(10*Second))-Second/5; got != want {
		t.Errorf("allowance below one call: time to deadline = %d, want %d", got-now, want-now)
	}
}

// TestRepeatActions checks that an at-most-once request never runs while an earlier executed attempt is known.
func TestRepeatActions(t *testing.T) {
	for name, c := range map[string]struct {
		original   requestRecord
		atMostOnce bool
		want       repeatAction
	}{
		"original of the same round": {requestRecord{state: received}, true, treatAsNew},
		"original shed":              {requestRecord{state: finished, failed: true}, true, treatAsNew},
		"original queued":            {requestRecord{state: queued}, true, queueBehindOriginal},
		"original running":           {requestRecord{state: running, executed: true}, true, reuseOriginal},
		"original in a call":         {requestRecord{state: inCall, executed: true}, true, reuseOriginal},
		"original answered, still running": {requestRecord{state: running, executed: true, answered: true}, true,
			reuseOriginal},
		"original failed": {requestRecord{state: finished, executed: true, failed: true}, true, failRepeat},
		"original succeeded": {requestRecord{state: finished, executed: true, answered: true}, true,
			reuseOriginal},
		"retryable, original running":   {requestRecord{state: running, executed: true}, false, reuseOriginal},
		"retryable, original failed":    {requestRecord{state: finished, executed: true, failed: true}, false, treatAsNew},
		"retryable, original abandoned": {requestRecord{state: running, executed: true, answered: true}, false, treatAsNew},
		"retryable, original succeeded": {requestRecord{state: finished, executed: true, answered: true}, false,
			reuseOriginal},
		"original awaits a result": {requestRecord{state: awaitingResult}, true, reuseOriginal},
	} {
		if got := repeatActionFor(1, &c.original, 0, c.atMostOnce); got != c.want {
			t.Errorf("%s: repeatActionFor() = %d, want %d", name, got, c.want)
		}
	}
}

// TestStallDetection checks that a stall is detected after four expected run times without progress, and later with
// fewer runs on the cores.
func TestStallDetection(t *testing.T) {
	classes := []class{{objective: 2 * Second, runTimePerWork: 1, defaultWork: float64(Second / 2)}}
	for _, c := range []struct {
		runsOnCores int
		elapsed     Time
		want        bool
	}{
		{4, 2 * Second, false},
		{4, 2*Second + 4, true},
		{8, 2*Second + 4, true},
		{1, 2*Second + 4, false},
		{1, 8*Second + 4, true},
		{0, 99 * Second, false},
	} {
		s := newReadiness()
		s.addStallTime(c.elapsed, c.runsOnCores)
		if got := s.hasStalled(8, 4, classes); got != c.want {
			t.Errorf("hasStalled() = %v with %d runs on the cores after %d, want %v", got, c.runsOnCores, c.elapsed,
				c.want)
		}
	}
}

// TestReadiness checks that a stalled, empty server becomes ready for a probe request, and that an overloaded or
// draining server does not.
func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		stalled, overloaded, draining, empty bool
		sinceArrival                         Time
		want                                 bool
	}{
		{false, false, false, false, 0, true},
		{true, false, false, false, 9 * Second, false},
		{true, false, false, true, stalledProbeDelay, false},
		{true, false, false, true, stalledProbeDelay + 1, true},
		{true, true, false, true, 9 * Second, false},
		{false, true, false, true, 9 * Second, false},
		{false, false, true, true, 9 * Second, false},
	} {
		s := readiness{stalled: c.stalled, overloaded: c.overloaded}
		if got := s.isReady(c.empty, c.sinceArrival, c.draining); got != c.want {
			t.Errorf("%+v: isReady() = %v, want %v", c, got, c.want)
		}
	}
}

// TestOverloadSignal checks that the pressure rises by at most a third and falls by at most a twelfth per second,
// leaves a tenth of the traffic, and is converted to each kind of signal.
func TestOverloadSignal(t *testing.T) {
	s := signalState{kind: SignalLevel, callers: 4}
	expectNear := func(name string, got, want float64) {
		if got < want-nearZero || got > want+nearZero {
			t.Errorf("%s = %f, want %f", name, got, want)
		}
	}
	s.adjust(1, 100, 0)
	expectNear("pressure after a second with a long queue", s.pressure, 1.0/3)
	s.adjust(1, targetQueuePerCore, 0)
	expectNear("pressure at the target queue length", s.pressure, 1.0/3)
	s.adjust(1, 0, 0.25)
	expectNear("pressure at the target read delay", s.pressure, 1.0/3)
	s.adjust(1, 0, 0)
	expectNear("pressure after an idle second", s.pressure, 0.25)
	expectNear("level", s.value(8, true), 0.25)
	expectNear("level, not ready", s.value(8, false), 1)
	s.kind = SignalCredit
	expectNear("credit", s.value(8, true), 3)
	expectNear("credit, not ready", s.value(8, false), 0)
	s.kind = SignalWeight
	expectNear("weight", s.value(8, true), 0.75)
	s.adjust(100, 100, 0)
	expectNear("maximum pressure", s.pressure, maxPressure)
}

// TestIdleTimeout checks that the idle timeout is as configured for few connections, and otherwise falls with the
// cube of the fraction of returning callers.
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
			t.Errorf("%+v: target() = %d, want %d", c, got, c.want)
		}
	}
}

// TestDrainCanFinish checks that a run may start only if one and a half expected run times are left before the kill.
func TestDrainCanFinish(t *testing.T) {
	d := drain{active: true, killAt: 10 * Second}
	last := 10*Second - 2*timerPeriod - 3*Second
	if !d.canFinish(last, float64(2*Second)) || d.canFinish(last+1, float64(2*Second)) {
		t.Errorf("canFinish() of a run of two seconds at %d = %v, and a tick later = %v; want true, then false", last,
			d.canFinish(last, float64(2*Second)), d.canFinish(last+1, float64(2*Second)))
	}
}
