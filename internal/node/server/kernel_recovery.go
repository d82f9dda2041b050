package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// This file decides which commands are sent again after the kernel's link ended. A command is in doubt if its link
// ended so soon after it that the kernel may or may not have read it. Its second copy can do harm: the kernel starts a
// run again that has ended in the meantime, and gives the reply to one call to the next. Nothing proves that the kernel
// has not read a command: an event may be in transit, and a run that waits for a disk sends none and confirms no stop,
// nor does any run while the cores stand still. So a command in doubt is sent again only if that does no harm:
//
//   - Starts of requests that may run twice are sent again, and so are stops, resumes, which affect a paused run only,
//     and the command that skips a call, which names the call.
//   - Another start is sent again only once its request is over: the kernel starts nothing then, and ends a run that it
//     does not have. Until then an event of the run may come, and its end is the request's result.
//   - The reply to a call is not sent again. If the response still has value without it, the call is skipped, which has
//     no effect on a run that has read the reply.

// resendReason states in log lines why a command is sent again.
type resendReason string

const (
	resendHarmless resendReason = "a second copy does no harm"
	resendOver     resendReason = "request is over"
	resendSkip     resendReason = "the call is skipped, a second reply might go to the next call"
)

// mayBeRead reports whether a command was sent and is not known to be read.
func (k *kernelLink) mayBeRead(command uint64) bool {
	return command != unsentCommand && command > k.acknowledged
}

// settle records that an event of the run was read: its commands were read by the kernel, or are no longer needed.
func (c *kernelCommands) settle() {
	c.runCommand, c.callResultCommand, c.stopCommand = 0, 0, 0
	c.callResult, c.startInDoubt, c.startAcknowledged, c.eventsLost = noCallResult, false, false, false
}

// replayComplete makes the link live. Commands that were never sent are sent; those that the previous link may have
// lost are sent again if that does no harm.
func (l *loop) replayComplete() {
	k := &l.kernel
	if k.state != kernelReplaying {
		return
	}
	k.state = kernelLive
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		if r := l.requests.get(h); r.isRunning() {
			l.recoverCommands(h, r)
		}
	}
}

// recoverCommands sends a run's commands, in their original order: those that were never sent, and of those that the
// kernel may or may not have read the ones that may be sent twice.
func (l *loop) recoverCommands(h handle, r *request) {
	r.eventsLost = r.eventsLost || l.kernel.eventsLost
	stopInDoubt := l.kernel.mayBeRead(r.stopCommand)
	if l.kernel.mayBeRead(r.runCommand) {
		l.recoverStart(h, r)
	}
	if r.callResult != noCallResult && l.kernel.mayBeRead(r.callResultCommand) {
		l.recoverCallResult(r)
	}
	l.sendUnsent(r)
	if stopInDoubt {
		l.resendStop(r)
	}
}

// recoverStart sends a start or a resume in doubt again if that does no harm. The start of another request waits until
// the request is over.
func (l *loop) recoverStart(h handle, r *request) {
	if r.startInDoubt {
		return
	}
	l.counters.CommandsInDoubt++
	if r.resumeSent || l.settings.Deployment.Handlers[r.handler].RetrySafety == admission.Retryable {
		l.resendStart(r, resendHarmless)
		return
	}
	r.startInDoubt, r.startAcknowledged = true, r.runCommand <= l.kernel.lastAnswered
	l.timers.set(l.overAt(r), timerDoubt, h)
}

// overAt returns when the kernel certainly knows that a request is over: its client waits until the deadline at most.
func (l *loop) overAt(r *request) admission.Time { return r.deadline + l.limits.AckSafetyMargin }

// recoverCallResult sends the command that skips a call again, or in place of a reply in doubt.
func (l *loop) recoverCallResult(r *request) {
	if r.callResult == callResultSkipped {
		l.resendCallResult(r, resendHarmless)
		return
	}
	l.counters.CommandsInDoubt++
	if l.settings.Deployment.Handlers[r.handler].DegradedValue > 0 {
		r.callResult = callResultSkipped
		l.resendCallResult(r, resendSkip)
	}
}

// resendOverStart sends a start in doubt again once its request is over. The event that follows frees the run slot if
// the kernel does not have the run.
func (l *loop) resendOverStart(h handle) {
	r := l.requests.get(h)
	if r == nil || !r.isRunning() || !r.startInDoubt || l.now < l.overAt(r) {
		return
	}
	if r.awaitsResponse() || l.kernel.state != kernelLive {
		l.timers.set(l.now+l.limits.AckSafetyMargin, timerDoubt, h)
		return
	}
	r.startInDoubt = false
	if r.repeatKey != "" && !l.idempotency.isRunOf(r.repeatKey, uint32(h)) {
		// Another attempt of the key may have run since. Guards against a late start by a kernel that still takes the
		// request for open.
		l.runEnded(h, r, admission.Unknown, 0, nil)
		return
	}
	l.resendStart(r, resendOver)
}

// endOutcome returns the outcome of a run's end. A run that the kernel does not have may have run nevertheless if it
// may have ended in an event that is lost. Guards against a key that runs again because its first run is taken as
// never executed.
func (l *loop) endOutcome(c *kernelCommands, outcome admission.Outcome) admission.Outcome {
	if outcome != admission.Superseded && outcome != admission.NotExecuted {
		return outcome
	}
	if c.eventsLost {
		return admission.Unknown
	}
	if c.startAcknowledged {
		l.counters.AcknowledgedLost++
	}
	return outcome
}

// resendStart sends the start or the resume of a run again.
func (l *loop) resendStart(r *request, reason resendReason) {
	if r.resumeSent {
		l.traceResend(r, wire.KernelResume, r.runCommand, reason)
		l.sendResume(r)
	} else {
		l.traceResend(r, wire.KernelRun, r.runCommand, reason)
		l.sendRun(r)
	}
	l.counters.CommandsResent++
}

// resendCallResult sends the command that skips a call, again or in place of a reply.
func (l *loop) resendCallResult(r *request, reason resendReason) {
	l.traceResend(r, wire.KernelCallSkipped, r.callResultCommand, reason)
	l.sendCallResult(r)
	l.counters.CommandsResent++
}

// resendStop sends the stop of a run again.
func (l *loop) resendStop(r *request) {
	l.traceResend(r, wire.KernelStop, r.stopCommand, resendHarmless)
	l.sendStop(r)
	l.counters.CommandsResent++
}

// traceResend logs a command that is sent again and why, with the number of its earlier copy and what the kernel has
// certainly read: together with the run's events they show whether the kernel had read that copy.
func (l *loop) traceResend(r *request, command string, number uint64, reason resendReason) {
	if l.debug {
		l.traceWith(r.id, traceResent, logrus.Fields{logging.Command: command, logging.CommandNumber: number,
			logging.Acknowledged: l.kernel.acknowledged, logging.LastSequence: l.kernel.lastSequence,
			logging.Reason: string(reason)})
	}
}
