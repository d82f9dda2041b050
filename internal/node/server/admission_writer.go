package server

import (
	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// The loop implements admission.Writer: each decision of a round is carried out at once, in the order in which the
// controller makes them. A decision on a request that has been released or has changed state in the meantime is
// ignored.

// Run starts the run of a request. The controller starts each request once and never one that it stopped, so the cases
// for stopped runs are not reached (see Stop).
func (l *loop) Run(id uint32) {
	r := l.requests.get(handle(id))
	switch {
	case r == nil || !r.mayStart():
	case r.isStopRequested() && r.awaitsIntent(): // neither the run nor the stop has been sent to the kernel
		r.setRun(runRunning)
	case r.isStopRequested() && l.settings.Cancellation == admission.CancelPause:
		l.sendResume(r)
	default:
		r.setRun(runRunning)
		l.counters.Runs++
		l.trace(r, traceRun)
		l.idempotency.runStarted(r.repeatKey, id)
		if r.keyed != nil {
			l.results.begin(handle(id), r)
			return
		}
		l.sendRun(r)
	}
}

// Stop stops a run whose result is no longer needed. The controller never restarts a stopped run. sendResume and the
// transition from runStopped to runRunning exist because the kernel can resume a stopped run (admission.CancelPause).
func (l *loop) Stop(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.isRunning() {
		l.trace(r, traceStopped)
		l.counters.RunsStopped++
		if r.stop(); !r.awaitsIntent() { // otherwise the stop is sent together with the run
			l.sendStop(r)
		}
	}
}

// Shed rejects a request that has not run. noRetry tells the client not to try another server; retryAfter is the time
// to wait before a retry.
func (l *loop) Shed(id uint32, reason admission.Reason, noRetry bool, retryAfter admission.Time) {
	if r := l.requests.get(handle(id)); r != nil {
		l.traceReason(r, traceShed, reason)
		l.answer(handle(id), r, wire.Response{Status: wire.StatusServiceUnavailable, NoRetry: noRetry,
			RetryAfterMS: wholeMilliseconds(retryAfter)})
	}
}

// Fail responds with an error to a request that ran, or may have run, without a result.
func (l *loop) Fail(id uint32, reason admission.Reason) {
	if r := l.requests.get(handle(id)); r != nil {
		l.traceReason(r, traceFailed, reason)
		l.cancelCall(handle(id), r)
		r.setAwaits(awaitsNothing)
		l.answer(handle(id), r, wire.Response{Status: wire.StatusInternalServerError})
	}
}

// Call sends the store call that a run is waiting for; the store has to reply by the deadline.
func (l *loop) Call(id uint32, deadline admission.Time) {
	if r := l.requests.get(handle(id)); r != nil && r.isRunning() {
		l.startCall(handle(id), r, deadline)
	}
}

// SkipCall resumes a run without the result of the call that it is waiting for.
func (l *loop) SkipCall(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.isRunning() {
		l.counters.CallsSkipped++
		l.sendCallSkipped(r)
	}
}

// Remember keeps the key of a request for the given time, in which repeats of the request are recognized.
func (l *loop) Remember(id uint32, duration admission.Time) {
	if r := l.requests.get(handle(id)); r != nil && r.repeatKey != "" {
		l.idempotency.remember(r.repeatKey, id, l.now+duration, &l.timers)
	}
}

// Forget removes the key of a request. Requests that wait for its result get an error.
func (l *loop) Forget(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.repeatKey != "" {
		for _, h := range l.idempotency.forget(r.repeatKey, id) {
			l.sharedResultReady(h, false, nil)
		}
	}
}

// ReuseResult responds to a request with the result of the one that it repeats, now or once that result is available.
func (l *loop) ReuseResult(id uint32) {
	h := handle(id)
	r := l.requests.get(h)
	if r == nil {
		return
	}
	switch e := l.idempotency.find(r.repeatKey); {
	case e == nil || e.state == entryFailed || e.state == entryDone && !e.hasResult:
		l.sharedResultReady(h, false, nil)
	case e.state == entryDone:
		l.sharedResultReady(h, true, e.result)
	default:
		r.setAwaits(awaitsOriginal)
		e.waiters = append(e.waiters, h)
	}
}

// Health sets whether health checks and service discovery report the node as ready.
func (l *loop) Health(ready bool) {
	l.controllerReady = ready
	l.ready = ready && l.fleet.ready()
	l.discovery.ready = l.ready
	l.sendReport()
}

// SignalOverload sets the overload signal that every further response carries.
func (l *loop) SignalOverload(value float64) { l.overloadSignal, l.hasOverloadSignal = value, true }

// SetIdleTimeout sets the idle time after which client connections are closed.
func (l *loop) SetIdleTimeout(timeout admission.Time) { l.idleTimeout = timeout }

// WakeUp schedules a round, for which the kernel's gauges are requested.
func (l *loop) WakeUp(at admission.Time) { l.timers.set(at, timerWake, 0) }

// Log writes a log line of the controller, within the limit on log lines.
func (l *loop) Log(line string) {
	if log := l.limitLog(); log != nil {
		log.Info(line)
	}
}
