package server

import (
	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// The loop is the controller's admission.Writer: each decision of a round is carried out at once, in the order in which
// the controller makes them. A decision on a request that is no longer in hand, or that has moved on, does nothing.

// Run starts a run. The controller names each run once, and never one that it stopped: nothing reaches the cases of a
// run that was told to stop, see Stop.
func (l *loop) Run(id uint32) {
	r := l.requests.get(handle(id))
	switch {
	case r == nil || !r.mayStart():
	case r.isToldToStop() && r.awaitsIntent(): // the kernel has been told neither of the run nor of the pause
		r.setRun(runRunning)
	case r.isToldToStop() && l.settings.Cancellation == admission.CancelPause:
		l.sendResume(r)
	default:
		r.setRun(runRunning)
		l.counters.Runs++
		l.trace(r, traceRun)
		l.idempotency.runStarted(r.key, id)
		if r.keyed != nil {
			l.results.begin(handle(id), r)
			return
		}
		l.sendRun(r)
	}
}

// Stop has the kernel stop a run whose result nobody waits for any more. The controller never starts it again, so the
// way back (sendResume, runStopped to runRunning) is not used today. It stands because the kernel can resume what it
// stopped (admission.CancelPause), and the table of transitions and its test have it.
func (l *loop) Stop(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.isRunning() {
		l.trace(r, traceStopped)
		l.counters.Pauses++
		if r.stop(); !r.awaitsIntent() { // else the stop is sent with the run
			l.sendStop(r)
		}
	}
}

// Shed rejects a request that has not run: noRetry says that no other server is to be tried, retryAfter how long the
// client is to wait.
func (l *loop) Shed(id uint32, why admission.Reason, noRetry bool, retryAfter admission.Time) {
	if r := l.requests.get(handle(id)); r != nil {
		l.traceReason(r, traceShed, why)
		l.answer(handle(id), r, wire.Response{Status: wire.StatusServiceUnavailable, NoRetry: noRetry,
			RetryAfterMS: wholeMilliseconds(retryAfter)})
	}
}

// Fail answers a request that ran, or may have run, without a result.
func (l *loop) Fail(id uint32, why admission.Reason) {
	if r := l.requests.get(handle(id)); r != nil {
		l.traceReason(r, traceFailed, why)
		l.cancelCall(handle(id), r)
		r.setAwaits(awaitsNothing)
		l.answer(handle(id), r, wire.Response{Status: wire.StatusInternalServerError})
	}
}

// Call sends the call to the store that a run waits for, to be answered until then.
func (l *loop) Call(id uint32, until admission.Time) {
	if r := l.requests.get(handle(id)); r != nil && r.isRunning() {
		l.startCall(handle(id), r, until)
	}
}

// SkipCall has a run go on without the call that it waits for.
func (l *loop) SkipCall(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.isRunning() {
		l.counters.CallsSkipped++
		l.sendCallSkipped(r)
	}
}

// Remember keeps the key of a request for a span, so that repeats within it are known.
func (l *loop) Remember(id uint32, span admission.Time) {
	if r := l.requests.get(handle(id)); r != nil && r.key != "" {
		l.idempotency.remember(r.key, id, l.now+span, &l.timers)
	}
}

// Forget ends that; those that wait for the result get an error.
func (l *loop) Forget(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.key != "" {
		for _, h := range l.idempotency.forget(r.key, id) {
			l.sharedResultReady(h, false, nil)
		}
	}
}

// ReuseResult answers a request with the result of the one it repeats, now or when that is there.
func (l *loop) ReuseResult(id uint32) {
	h := handle(id)
	r := l.requests.get(h)
	if r == nil {
		return
	}
	switch e := l.idempotency.find(r.key); {
	case e == nil || e.state == entryFailed || e.state == entryDone && !e.hasResult:
		l.sharedResultReady(h, false, nil)
	case e.state == entryDone:
		l.sharedResultReady(h, true, e.result)
	default:
		r.setAwaits(awaitsOriginal)
		e.waiters = append(e.waiters, h)
	}
}

// Health has health checks and service discovery learn whether the node is ready.
func (l *loop) Health(good bool) {
	l.controllerReady = good
	l.ready = good && l.fleet.takesTraffic()
	l.discovery.ready = l.ready
	l.sendReport()
}

// SignalOverload has every response carry the value from now on.
func (l *loop) SignalOverload(value float64) { l.overloadSignal, l.hasOverloadSignal = value, true }

// SetIdleTimeout has connections of clients closed that were idle for so long.
func (l *loop) SetIdleTimeout(after admission.Time) { l.idleTimeout = after }

// WakeUp has a round come at a time, with the kernel's gauges.
func (l *loop) WakeUp(at admission.Time) { l.timers.set(at, timerWake, 0) }

// Log writes a line of the controller's.
func (l *loop) Log(line string) {
	if log := l.limitLog(); log != nil {
		log.Info(line)
	}
}
