package admission

const (
	// targetAllowanceFraction is the fraction of the call allowance that the pacer aims to have in flight. The rest
	// absorbs bursts and slow calls: with less the average may exceed the allowance, with more the dependency idles.
	targetAllowanceFraction = 0.5
	// peakAllowanceFraction is the maximum fraction of the call allowance in flight at any moment, so that no average
	// reaches the allowance.
	peakAllowanceFraction = 0.9
	// meanAllowanceFraction applies while the peak is below one call: a call starts only while the average in flight
	// is below this fraction of the peak, so that it can end before the allowance is used up.
	meanAllowanceFraction = 0.5
	// maxBurstCalls bounds a burst: unused pace intervals are saved for at most this many calls. Guards against a
	// burst to a dependency that has just recovered.
	maxBurstCalls = 4
	// probeRateFactor is the call rate to a next tier that rejects calls, as a multiple of the rate of successful
	// calls. Above 1 so that the rate recovers; far above, the tier spends its capacity on rejections.
	probeRateFactor = 1.25
	// minProbeCalls is the number of calls per window that a next tier gets even if none succeed, to detect its
	// recovery: two a second.
	minProbeCalls = 4
	// A call gets at least minCallTimeoutFactor mean call times plus minCallTimeoutExtra, as a slow call is not
	// lost. Larger values hold slots at a dependency that has stopped.
	minCallTimeoutFactor = 2
	minCallTimeoutExtra  = Second / 5
	// A rejected call that can be skipped is skipped after more than maxRejectedAttempts attempts. A
	// larger value holds its slot, a smaller one gives up calls that a short rejection would have left.
	maxRejectedAttempts = 2
	// A request fails if its call may have been executed and gave no result after more than maxCallAttempts attempts.
	// Rejected calls are retried until the deadline or skipped.
	maxCallAttempts = 3
	// maxBackoffDoublings bounds the backoff between call attempts to 32 timer periods: enough that rejections don't
	// become a storm, while a longer one would outlast the latency objective.
	maxBackoffDoublings = 5

	// Window of call times and outcomes: two seconds, long enough for a mean at a few calls a second, in steps that are
	// short beside a fault of the dependency.
	callBuckets = 8
	callStep    = Second / 4
	// inFlightBuckets is the number of buckets of the average of calls in flight, over the deployment's averaging
	// time. With fewer the average lags by more than a tenth of that time.
	inFlightBuckets = 10
	// Abandoned calls are counted in quarters of the cancellation delay. The extra bucket makes each count for at
	// least the whole delay.
	abandonedSteps   = 4
	abandonedBuckets = abandonedSteps + 1
)

// callPacer paces the calls to a dependency and sets their deadlines.
type callPacer struct {
	hasAllowance      bool    // the dependency is shared and states a call allowance
	targetInFlight    float64 // targeted average number of calls in flight
	maxInFlight       float64 // maximum number of calls in flight
	cancellationDelay Time

	queue        list         // runs that await a call, in arrival order of their requests
	nextCallAt   Time         // when the next call may start
	inFlight     countAverage // calls in flight, and their average over the averaging time
	abandoned    window       // abandoned calls that still run at the dependency
	callTimes    window       // times of executed calls
	meanCallTime float64      // last known mean call time, in units of Time
	rejected     window       // calls that were not executed
	succeeded    window       // successful calls
}

func newCallPacer(d *Deployment) callPacer {
	return callPacer{
		hasAllowance:      d.Dependency == DependencyShared && d.CallAllowance > 0,
		targetInFlight:    d.CallAllowance * targetAllowanceFraction,
		maxInFlight:       d.CallAllowance * peakAllowanceFraction,
		cancellationDelay: d.CancellationDelay,
		queue:             newList(),
		inFlight: countAverage{window: newWindow(inFlightBuckets, max(d.CallAveragingTime, Second)/inFlightBuckets),
			changedAt: d.Start},
		abandoned: newWindow(abandonedBuckets, max(d.CancellationDelay, abandonedSteps)/abandonedSteps),
		callTimes: newWindow(callBuckets, callStep),
		rejected:  newWindow(callBuckets, callStep),
		succeeded: newWindow(callBuckets, callStep),
	}
}

// allows reports whether another call to a shared dependency fits into the allowance. Abandoned calls count for their
// cancellation delay. With an allowance below one call, calls are made one at a time and only while their average
// leaves room.
func (p *callPacer) allows(now Time) bool {
	abandoned, _ := p.abandoned.sums(now)
	if n := float64(p.inFlight.count) + abandoned; n > 0 {
		return n+1 <= p.maxInFlight
	}
	return p.maxInFlight >= 1 || p.inFlight.average(now) < p.maxInFlight*meanAllowanceFraction
}

// interval returns the time between calls. For a shared dependency it is the mean call time over the targeted number
// in flight. A next tier states no allowance: while it rejects calls, the rate follows that of the successful ones.
func (p *callPacer) interval(now Time) Time {
	p.meanCallTime = p.callTimes.mean(now, p.meanCallTime)
	if p.hasAllowance {
		return Time(p.meanCallTime / p.targetInFlight)
	}
	if rejected, _ := p.rejected.sums(now); rejected > 0 {
		succeeded, _ := p.succeeded.sums(now)
		return Time(float64(p.succeeded.span()) / (probeRateFactor*succeeded + minProbeCalls))
	}
	return 0
}

// recordCall counts a call that was just started.
func (p *callPacer) recordCall(now, interval Time) {
	p.inFlight.change(now, 1)
	p.nextCallAt = max(p.nextCallAt, now-maxBurstCalls*interval) + interval
}

// recordAbandoned counts a call that stays in flight at the dependency for its cancellation delay.
func (p *callPacer) recordAbandoned(now Time) {
	// Counted in full now, although the call stays in flight for the cancellation delay.
	p.inFlight.add(now, float64(p.cancellationDelay), 0)
	p.abandoned.add(now, 1, 0)
}

// deadline returns when a call times out: at the end of the latency objective or after the minimum call timeout,
// whichever is later, but not after lastUseful, the last time at which its result can be answered. A call of an
// at-most-once request gets until lastUseful.
func (p *callPacer) deadline(now, lastUseful, objectiveEnd Time, atMostOnce bool) Time {
	last := lastUseful
	if p.hasAllowance && p.maxInFlight < 1 {
		// Guards against hundreds of servers that each hold one call at a stalled dependency: a single call is more
		// than the allowance, so it may last only for the remaining average.
		left := (p.maxInFlight - p.inFlight.average(now)) * float64(p.inFlight.span())
		last = min(last, now+Time(left)-p.cancellationDelay)
	}
	if atMostOnce {
		return max(last, now+1)
	}
	minTimeout := Time(minCallTimeoutFactor*p.meanCallTime) + minCallTimeoutExtra
	return max(min(max(objectiveEnd, now+minTimeout), last), now+1)
}

// handleCallRequest handles a run that has reached a call.
func (c *Controller) handleCallRequest(i index) {
	if i == none || c.requests.at[i].state != running {
		return
	}
	r := &c.requests.at[i]
	r.enter(awaitingCall)
	c.setPoolsAtCall(r, true)
	c.recordProgress()
	if !r.answered {
		c.enqueueCall(i)
	}
}

// enqueueCall queues a call by the arrival time of its request.
func (c *Controller) enqueueCall(i index) {
	r := &c.requests.at[i]
	p := c.calls.queue.tail
	for p != none && c.requests.at[p].arrivedAt > r.arrivedAt {
		p = c.requests.at[p].queueLink.prev
	}
	c.calls.queue.insertAfter(&c.requests, i, p)
	r.call.queued, r.call.queuedAt = true, c.now
	c.review(i)
}

// dequeueCall removes a call from the queue, if it is queued.
func (c *Controller) dequeueCall(i index) {
	if r := &c.requests.at[i]; r.call.queued {
		r.call.queued = false
		c.calls.queue.remove(&c.requests, i)
	}
}

// makeCalls starts queued calls while pace and allowance permit.
func (c *Controller) makeCalls() {
	interval := c.calls.interval(c.now)
	for c.calls.queue.head != none && c.calls.nextCallAt <= c.now {
		if c.calls.hasAllowance && !c.calls.allows(c.now) {
			return
		}
		i := c.calls.queue.head
		r := &c.requests.at[i]
		class := &c.classes[r.class]
		c.dequeueCall(i)
		c.calls.recordCall(c.now, interval)
		r.enter(inCall)
		lastUseful, objectiveEnd := r.deadline-c.answerMargin(), r.arrivedAt+class.objective
		c.writer.Call(r.id, c.calls.deadline(c.now, lastUseful, objectiveEnd, class.atMostOnce))
	}
}

// handleCallEnd handles the end of a call. An executed call without a good result stays in flight at the dependency
// for its cancellation delay.
func (c *Controller) handleCallEnd(e CallEnd) {
	i := c.requests.find(e.ID)
	if i == none || c.requests.at[i].state != inCall {
		return
	}
	r := &c.requests.at[i]
	c.calls.inFlight.change(c.now, -1)
	r.call.elapsed += e.Elapsed
	switch e.Outcome {
	case Succeeded:
		c.calls.callTimes.add(c.now, float64(e.Elapsed), 1)
		c.calls.succeeded.add(c.now, 1, 0)
		r.enter(running)
		c.setPoolsAtCall(r, false)
		c.recordProgress()
		return
	case NotExecuted:
		c.calls.rejected.add(c.now, 1, 0)
	default:
		c.calls.callTimes.add(c.now, float64(e.Elapsed), 1)
		c.calls.recordAbandoned(c.now)
	}
	r.enter(awaitingCall)
	if !r.answered {
		c.retryCall(i, e.Outcome == NotExecuted)
	}
}

// retryCall handles a call without a result; the first case that applies decides:
//   - a call that can be skipped is skipped, a rejected one only after more than maxRejectedAttempts attempts;
//   - a call that was not rejected fails its request if the class is at-most-once or the attempts are used up;
//   - any other call is retried after a backoff.
//
// It may fail or degrade a request whose next attempt would have succeeded.
func (c *Controller) retryCall(i index, rejected bool) {
	r := &c.requests.at[i]
	class := &c.classes[r.class]
	r.call.attempts++
	switch {
	case class.canSkipCall && (!rejected || r.call.attempts > maxRejectedAttempts):
		c.skipCall(i)
	case !rejected && (class.atMostOnce || r.call.attempts > maxCallAttempts):
		c.fail(i, ReasonCallFailed)
	default:
		backoff := timerPeriod << min(r.call.attempts, maxBackoffDoublings)
		c.timers.schedule(&c.requests, i, c.now+backoff)
	}
}

// skipCall resumes a run without its call.
func (c *Controller) skipCall(i index) {
	r := &c.requests.at[i]
	r.enter(running)
	c.setPoolsAtCall(r, false)
	c.writer.SkipCall(r.id)
	c.review(i)
}

// setPoolsAtCall notifies the pools that a run is at a call, where it does no work, or has resumed.
func (c *Controller) setPoolsAtCall(r *requestRecord, atCall bool) {
	if c.pools != nil {
		c.pools.SetAtCall(c.now, r.id, atCall)
	}
}
