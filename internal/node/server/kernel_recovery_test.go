package server

import (
	"testing"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// inDoubt describes a run with a command that the kernel may or may not have read, and what is sent again.
type inDoubt struct {
	handler     int
	isResume    bool
	isReply     bool
	isSkip      bool
	isStopped   bool
	wantStart   bool // the start or the resume is sent again
	wantSkip    bool // the call is skipped
	wantStop    bool
	wantAwaited bool // the start is sent again once the request is over
}

// Of the commands in doubt only those are sent again whose second copy does no harm, in each way of stopping and
// whether they were acknowledged or not. Guards against a run that starts twice, as a stop without an event or a wait
// proves nothing (review/6), and against a run that gets the reply to another call.
func TestCommandsInDoubt(t *testing.T) {
	cases := map[string]inDoubt{
		"retryable start":               {handler: retryableHandler, wantStart: true},
		"retryable start to be stopped": {handler: retryableHandler, isStopped: true, wantStart: true, wantStop: true},
		"keyed start":                   {handler: keyedHandler, wantAwaited: true},
		"non-retryable start":           {handler: nonRetryableHandler, wantAwaited: true},
		"keyed start to be stopped":     {handler: keyedHandler, isStopped: true, wantStop: true, wantAwaited: true},
		"resume":                        {handler: keyedHandler, isResume: true, wantStart: true},
		"reply that can be skipped":     {handler: retryableHandler, isReply: true, wantSkip: true},
		"reply":                         {handler: keyedHandler, isReply: true},
		"reply to be stopped":           {handler: nonRetryableHandler, isReply: true, isStopped: true, wantStop: true},
		"skip":                          {handler: retryableHandler, isReply: true, isSkip: true, wantSkip: true},
	}
	for name, c := range cases {
		for _, way := range []admission.Cancellation{admission.CancelNever, admission.CancelDrop, admission.CancelPause} {
			for _, acknowledged := range []bool{false, true} {
				l, r, last := breakAfter(c, way, acknowledged)
				got := inDoubt{handler: c.handler, isResume: c.isResume, isReply: c.isReply, isSkip: c.isSkip,
					isStopped: c.isStopped, wantStart: r.runCommand > last, wantStop: r.stopCommand > last,
					wantSkip:    r.callResultCommand > last && r.callResult == callResultSkipped,
					wantAwaited: r.startInDoubt}
				if got != c || l.kernel.lastCommand-last > 2 {
					t.Errorf("%s, cancellation %d, acknowledged %v: got %+v and %d commands, want %+v", name, way, acknowledged,
						got, l.kernel.lastCommand-last, c)
				}
			}
		}
	}
}

// breakAfter breaks the link after the command of a case, and returns the run after the next link is up and the number
// of the last command before.
func breakAfter(c inDoubt, way admission.Cancellation, acknowledged bool) (l *loop, r *request, lastCommand uint64) {
	l = loopWithKernel()
	l.settings.Deployment.Cancellation = way
	l.answerGauges(l.sendGaugesRequest()) // opens the gate
	_, r = l.startRunOf(c.handler)
	l.sendInDoubt(r, c)
	if acknowledged {
		l.answerGauges(l.sendGaugesRequest())
	}
	return l, r, l.reconnect()
}

// sendInDoubt sends the command of a case; earlier ones were read by the kernel.
func (l *loop) sendInDoubt(r *request, c inDoubt) {
	if c.isResume || c.isReply {
		r.settle()
	}
	switch {
	case c.isResume:
		l.sendResume(r)
	case c.isSkip:
		l.sendCallSkipped(r)
	case c.isReply:
		l.sendCallReply(r, []byte("reply"))
	}
	if c.isStopped {
		r.stop()
		l.sendStop(r)
	}
}

// reconnect breaks the kernel's link, after everything on it was sent, and opens the next one, without any event. It
// returns the number of the last command before.
func (l *loop) reconnect() (lastCommand uint64) {
	lastCommand = l.kernel.lastCommand
	l.awaitSent()
	l.closeLink(&l.kernel.link, errClosed)
	l.connectKernel()
	l.kernel.state, l.kernel.replayRequest = kernelReplaying, lastCommand
	l.now++
	l.answerGauges(lastCommand)
	return lastCommand
}

// A start in doubt is sent again only once its request is over, and its client certainly knows. Guards against a second
// run while the kernel still takes the request for open.
func TestStartInDoubtAwaitsEndOfRequest(t *testing.T) {
	l := loopWithKernel()
	l.answerGauges(l.sendGaugesRequest())
	h, r := l.startRunOf(keyedHandler)
	l.reconnect()
	r.abandon() // its client has left long before the deadline
	for _, step := range []struct {
		at   admission.Time
		sent bool
	}{{l.now + l.limits.AckSafetyMargin, false}, {r.deadline, false}, {r.deadline + l.limits.AckSafetyMargin, true}} {
		before := l.kernel.lastCommand
		l.now = step.at
		l.kernel.gate.respondedAt = l.now
		l.fireTimers()
		if sent := r.runCommand > before; sent != step.sent {
			t.Errorf("at %d, deadline %d: start sent again = %v, want %v", l.now, r.deadline, sent, step.sent)
		}
	}
	l.runEvent(&wire.KernelEvent{Kind: []byte(wire.KernelRunEnded), RunID: []byte(r.id),
		Outcome: []byte(wire.RunSuperseded), Sequence: 1})
	if r := l.requests.get(h); r.isRunning() || len(l.nextRound().RunEnds) != 1 {
		t.Errorf("after the kernel said that it has no run: running = %v, ends = %v, want the run ended", r.isRunning(),
			l.nextRound().RunEnds)
	}
}

// A start in doubt is not sent again once its key has expired, as another attempt may have run since. Guards against a
// key that runs twice at a kernel that still takes the first attempt for open.
func TestStartInDoubtOfExpiredKeyIsNotSent(t *testing.T) {
	for _, expired := range []bool{false, true} {
		l := loopWithKernel()
		l.idempotency = newIdempotencyTable(8, 1<<10, admission.Second)
		l.answerGauges(l.sendGaugesRequest()) // opens the gate
		h, r := l.startRunOf(keyedHandler)
		r.repeatKey = "key"
		l.idempotency.remember(r.repeatKey, uint32(h), l.now+admission.Second, &l.timers)
		l.idempotency.runStarted(r.repeatKey, uint32(h))
		l.reconnect()
		r.respond()
		if expired {
			l.idempotency.forget(r.repeatKey, uint32(h))
		}
		before := l.kernel.lastCommand
		l.now = l.overAt(r)
		l.kernel.gate.respondedAt = l.now
		l.resendOverStart(h)
		if sent := r.runCommand > before; sent == expired || r.isRunning() == expired {
			t.Errorf("key expired = %v: start sent again = %v, running = %v, want %v, %v", expired, sent, r.isRunning(),
				!expired, !expired)
		}
	}
}

// A start that the kernel does not need, or does not know, proves that its request never ran, unless events were lost
// with which a run may have ended. Guards against a key that runs again after that.
func TestLostEventsProveNothing(t *testing.T) {
	for _, c := range []struct {
		kind, outcome string
		eventsLost    bool
		want          admission.Outcome
	}{
		{wire.KernelRunEnded, wire.RunSuperseded, false, admission.Superseded},
		{wire.KernelRunEnded, wire.RunSuperseded, true, admission.Unknown},
		{wire.KernelInvalid, wire.KernelRun, false, admission.NotExecuted},
		{wire.KernelInvalid, wire.KernelRun, true, admission.Unknown},
	} {
		l := loopWithKernel()
		l.answerGauges(l.sendGaugesRequest()) // opens the gate
		_, r := l.startRunOf(keyedHandler)
		l.kernel.eventsLost = c.eventsLost
		l.recoverCommands(l.byRequestID[r.id], r)
		l.kernel.eventsLost = false // as on a later link
		l.reconnect()
		r.respond()
		l.now = l.overAt(r)
		l.fireTimers()
		l.kernelEvent(&wire.KernelEvent{Kind: []byte(c.kind), RunID: []byte(r.id), Sequence: 1,
			Outcome: []byte(c.outcome)})
		if ends := l.nextRound().RunEnds; len(ends) != 1 || ends[0].Outcome != c.want {
			t.Errorf("%s, events lost = %v: run ends = %v, want outcome %d", c.kind, c.eventsLost, ends, c.want)
		}
	}
}
