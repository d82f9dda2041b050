package admission

const (
	// targetAllowanceFraction: the pace aims at the allowance over it in flight, half. Calls come in bursts and some take
	// longer: closer to the whole the mean may exceed the allowance, further from it the dependency idles.
	targetAllowanceFraction = 0.5
	// peakAllowanceFraction is the part of the allowance that is in flight at the most, at any moment, so that no mean
	// over time can come to the whole of it.
	peakAllowanceFraction = 0.9
	// meanAllowanceFraction: under an allowance of one, a call is made only while the mean in flight is under the peak
	// over it, half, so that the call has time to end before the mean is used up.
	meanAllowanceFraction = 0.5
	// maxBurstCalls is the unused turns of the pace that are saved up, in calls: calls that come in a burst need not wait.
	// More would let a burst of them reach a dependency that has just recovered.
	maxBurstCalls = 4
	// probeRateFactor is the pace to a next tier that rejects, over what it lets through. Over one, so that the pace finds
	// its way back; far over one, the tier spends itself on rejections.
	probeRateFactor = 1.25
	// minProbeCalls is the calls in the window of two seconds that are made in any case: two a second still show when a
	// tier that let nothing through has recovered.
	minProbeCalls = 4
	// minCallTimeoutFactor and minCallTimeoutExtra: a call is given up no sooner than after so many usual times of one and so long
	// beside, since slow is not lost. More holds slots at a dependency that has stopped.
	minCallTimeoutFactor = 2
	minCallTimeoutExtra  = Second / 5
	// maxRejectedAttempts is the rejected attempts after which a request that can do without its call does. More holds its
	// slot, fewer gives up what a short rejection would have left.
	maxRejectedAttempts = 2
	// maxCallAttempts is the attempts after which a request fails whose calls were executed without a result.
	maxCallAttempts = 3
	// maxBackoffDoublings: the backoff between attempts doubles from two timer periods to 32, so that rejections don't
	// become a storm; longer would outlast the latency objective.
	maxBackoffDoublings = 5

	// callBuckets and callStep: calls are measured over two seconds, long enough for a mean at a few calls a second, in
	// steps that are short beside a fault of the dependency.
	callBuckets = 8
	callStep    = Second / 4
	// inFlightBuckets: the mean of calls in flight is taken in tenths of the deployment's averaging time. Fewer lets it
	// run behind by more than a tenth.
	inFlightBuckets = 10
	// abandonedSteps: abandoned calls are counted in quarters of their cancellation delay, and abandonedBuckets, one
	// more, count each for the whole of it at the least.
	abandonedSteps   = 4
	abandonedBuckets = abandonedSteps + 1
)

// callPacer decides when calls to the services below are made and how long each may last.
type callPacer struct {
	hasAllowance      bool    // a dependency that states an allowance
	targetInFlight    float64 // calls meant to be in flight in the mean
	maxInFlight       float64
	cancellationDelay Time

	queue        list // runs that wait for their call, in the order in which the requests arrived
	nextCallAt   Time // when the next call may be made
	inFlight     countAverage
	abandoned    window
	callTimes    window
	meanCallTime float64 // the last known mean time of a call
	rejected     window
	succeeded    window
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

// allows decides whether one more call to a shared dependency may be in flight; abandoned ones count for their
// cancellation delay. Where the allowance is under one call, calls are made one at a time and only while their mean
// leaves room.
func (p *callPacer) allows(now Time) bool {
	abandoned, _ := p.abandoned.sums(now)
	if n := float64(p.inFlight.count) + abandoned; n > 0 {
		return n+1 <= p.maxInFlight
	}
	return p.maxInFlight >= 1 || p.inFlight.average(now) < p.maxInFlight*meanAllowanceFraction
}

// interval decides the time between calls. To a shared dependency it is the recent time of a call over the number meant to
// be in flight. A next tier states no allowance: while it rejects, the pace follows what it lets through.
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

// recordCall counts a call that was just made.
func (p *callPacer) recordCall(now, interval Time) {
	p.inFlight.change(now, 1)
	p.nextCallAt = max(p.nextCallAt, now-maxBurstCalls*interval) + interval
}

// recordAbandoned counts a call that stays in flight at the dependency for its cancellation delay.
func (p *callPacer) recordAbandoned(now Time) {
	// In the mean it counts as one call for the whole of its delay.
	p.inFlight.add(now, float64(p.cancellationDelay), 0)
	p.abandoned.add(now, 1, 0)
}

// deadline decides when a call is given up: at the end of the latency objective, but not before it has had
// minCallTimeoutFactor usual times and minCallTimeoutExtra; and at lastUseful at the latest, which leaves time to answer. One that
// must not be repeated lasts until lastUseful.
func (p *callPacer) deadline(now, lastUseful, objectiveEnd Time, atMostOnce bool) Time {
	last := lastUseful
	if p.hasAllowance && p.maxInFlight < 1 {
		// Guards against a stalled dependency held by one call of each of hundreds of servers. One call is more than
		// the allowance, so it lasts at most for what the mean has left. Could harm where just this one is slow.
		left := (p.maxInFlight - p.inFlight.average(now)) * float64(p.inFlight.span())
		last = min(last, now+Time(left)-p.cancellationDelay)
	}
	if atMostOnce {
		return max(last, now+1)
	}
	minTimeout := Time(minCallTimeoutFactor*p.meanCallTime) + minCallTimeoutExtra
	return max(min(max(objectiveEnd, now+minTimeout), last), now+1)
}

// handleCallRequest takes a run that came to a call.
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

// enqueueCall queues a call in the arrival order of the requests.
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

// dequeueCall takes a call out of the queue, if it is in it.
func (c *Controller) dequeueCall(i index) {
	if r := &c.requests.at[i]; r.call.queued {
		r.call.queued = false
		c.calls.queue.remove(&c.requests, i)
	}
}

// makeCalls makes the calls that the pace and the allowance admit.
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

// handleCallEnd takes the end of a call. A call that was executed with an unknown or bad result stays in flight at the
// dependency for its cancellation delay.
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

// retryCall decides what follows a call that brought no result: the run goes on without it where that still earns; the
// request fails if the call may have been executed and must not be repeated, or was tried often enough; else the
// call is made again after a backoff. It may harm a request whose next attempt would have succeeded.
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

// skipCall lets a run go on without its call.
func (c *Controller) skipCall(i index) {
	r := &c.requests.at[i]
	r.enter(running)
	c.setPoolsAtCall(r, false)
	c.writer.SkipCall(r.id)
	c.review(i)
}

// setPoolsAtCall tells pools that a run stands at a call, which is no work, or goes on.
func (c *Controller) setPoolsAtCall(r *record, atCall bool) {
	if c.pools != nil {
		c.pools.SetAtCall(c.now, r.id, atCall)
	}
}
