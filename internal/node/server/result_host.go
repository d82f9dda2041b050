package server

import (
	"umberwinch/admission"
)

// The loop's implementation of resultHost.

// startResultKeeper creates the result keeper if the operator's file has a section for it.
func (l *loop) startResultKeeper() {
	if l.startup.operator != nil && l.startup.operator.ResultStore != nil {
		l.results = newResultKeeper(l, l.log, l.startup.operator.ResultStore)
	}
}

// closeResults closes the result store, within the time left before the process is killed. A goroutine discards events
// until the process ends, as the result store's goroutine would block on posting its callbacks. See row "kill near" in
// docs/design/shutdown.md.
func (l *loop) closeResults() {
	if l.results == nil {
		return
	}
	go func() {
		for range l.events {
		}
	}()
	l.results.close(durationOf(l.responseDeadline+l.killMargin/2) - l.clock.Now())
}

func (t *loopTime) currentTime() admission.Time { return t.now }

func (l *loop) drainDeadline() (responseDeadline admission.Time, draining bool) {
	return l.responseDeadline, l.draining
}

func (t *loopTime) setResultTimer(at admission.Time, h handle) { t.timers.set(at, timerResultStore, h) }

func (in *inFlightRequests) requestByHandle(h handle) *request { return in.requests.get(h) }

func (in *inFlightRequests) forEachRequest(f func(h handle, r *request)) {
	for h, i := in.requests.next(0); h != 0; h, i = in.requests.next(i) {
		f(h, in.requests.get(h))
	}
}

func (in *inFlightRequests) requestCapacity() int { return in.requests.capacity }

func (l *loop) countShared() { l.counters.SharedResults++ }

func (l *loop) startRun(r *request) { l.sendRun(r) }

func (l *loop) stopRun(r *request) { l.sendStop(r) }

func (l *loop) endUnstarted(h handle, r *request) { l.runEnded(h, r, admission.NotExecuted, 0, nil) }

// hasSharedResult reports whether the result of a request's key is in memory or will be, so that the controller can
// answer the request from it.
func (in *inFlightRequests) hasSharedResult(r *request) bool {
	e := in.idempotency.find(r.repeatKey)
	return e != nil && r.earliestArrival < e.expiresAt && (e.hasResult || e.state < entryDone)
}

func (l *loop) completeWaiters(h handle, key string, ok bool, result []byte) {
	for _, waiter := range l.idempotency.runEnded(key, uint32(h), ok, result) {
		l.sharedResultReady(waiter, ok, result)
	}
}
