package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// This file decides which commands are sent again after the kernel's link ended. A command is in doubt if its link ended
// so soon after it that the kernel may or may not have read it. Its second copy can do harm: the kernel starts a run
// again that has ended in the meantime, and gives the reply to one call to the next. That no event of the run was read
// yet proves nothing, as the run may end, or reach its next call, before the kernel reads the second copy. So a command
// in doubt is sent again only if its second copy does no harm, or once its doubt is settled:
//
//   - The start of a request that must not run twice is sent again only once the request is over, when the kernel starts
//     nothing for it, and ends a run that it does not have. Until then an event of the run may come, and is its result.
//     A stop proves nothing: a run that waits for a disk does not confirm it, and neither does any run while the cores
//     stand still, so a run without an event may still be there and end at any moment.
//   - The reply to a call, where a stopped run is paused, is probed: a stop, then a gauges request. Without any event the
//     run still waits at the call. Elsewhere it is sent again after a wait without an event.
//   - A reply is probably read if a gauges request after it was answered. It is probed after a wait
//     where a stopped run is paused, and not sent again elsewhere.
//   - If the kernel no longer had all events of the missed ones, the run may have ended in one, and nothing is proven.

// doubtState is the state of a run with a command in doubt.
type doubtState uint8

const (
	noDoubt          doubtState = iota
	doubtProbed                 // a stop was sent to learn whether the kernel has read the command
	doubtAwaitsEvent            // an event of the run may still show that the kernel has read it
	doubtResumed                // read: the run confirmed the stop and was resumed, unless its request was over by then
	doubtAwaitsOver             // the request is over; the kernel may not know this yet
)

// doubtStep is the next step for a command in doubt.
type doubtStep uint8

const (
	stepResend     doubtStep = iota // a second copy does no harm
	stepProbe                       // stop the run and see whether it confirms
	stepAwaitEvent                  // wait for an event of the run
	stepAwaitOver                   // wait until the kernel knows that the request is over
)

const (
	// eventWait is how long an event of a run is awaited before the next step, as a fraction of the handler's timeout.
	eventWait = 1.0 / 16
	// acknowledgedEventWait is the same for a command that was probably read.
	acknowledgedEventWait = 1.0 / 8
)

// resendReason states in log lines why a command is sent again.
type resendReason string

const (
	resendHarmless  resendReason = "a second copy does no harm"
	resendUnproven  resendReason = "no event of the run in time"
	resendAfterStop resendReason = "no event of the run after a stop"
	resendOver      resendReason = "request is over"
)

// commandInfo is what the decision on a command in doubt depends on.
type commandInfo struct {
	safety        admission.RetrySafety
	startsRun     bool // it starts a run; otherwise it resumes one, or is the reply to its call
	acknowledged  bool // a later gauges request was answered: the kernel has probably read it
	eventsLost    bool // the kernel no longer had all events of the run
	stopRequested bool // its run has to be stopped
	over          bool // its request was answered, or the client has left
}

// nextDoubtStep decides on a command in doubt.
func nextDoubtStep(cancellation admission.Cancellation, c commandInfo) doubtStep {
	switch {
	case c.startsRun && c.safety == admission.Retryable:
		return stepResend
	case c.startsRun:
		return stepAwaitOver // nothing proves that the kernel does not have the run
	case c.stopRequested && cancellation != admission.CancelNever:
		return stepProbe // the stop is wanted
	case c.over:
		return stepAwaitOver
	case cancellation == admission.CancelPause && !c.acknowledged && !c.eventsLost:
		return stepProbe
	default:
		return stepAwaitEvent
	}
}

// mayBeRead reports whether a command was sent and is not known to be read.
func (k *kernelLink) mayBeRead(command uint64) bool {
	return command != unsentCommand && command > k.acknowledged
}

// startsRun reports whether the last command about a run, stops aside, was its start.
func (c *kernelCommands) startsRun() bool { return c.callResult == noCallResult && !c.resumeSent }

// commandInDoubt returns the number of the start, resume or call reply that may or may not have been read; 0: none. The
// command that skips a call names the call, so it is never in doubt.
func (k *kernelLink) commandInDoubt(c *kernelCommands) uint64 {
	switch {
	case c.callResult == callResultReply && k.mayBeRead(c.callResultCommand):
		return c.callResultCommand
	case k.mayBeRead(c.runCommand):
		return c.runCommand
	}
	return 0
}

// settle records that an event of the run was read: its commands were read by the kernel, or are no longer needed.
func (c *kernelCommands) settle() {
	c.runCommand, c.callResultCommand, c.stopCommand = 0, 0, 0
	c.callResult, c.doubt, c.doubtEventsLost = noCallResult, noDoubt, false
}

// replayComplete makes the link live. Commands that were never sent are sent; those that the previous link may have
// lost are sent again, or their doubt is settled first.
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
	l.requestProbeEnd()
}

// recoverCommands sends a run's commands that the kernel has not read, in their original order, and settles the doubt
// about one that it may have read.
func (l *loop) recoverCommands(h handle, r *request) {
	k := &l.kernel
	inDoubt, stopLost := k.commandInDoubt(&r.kernelCommands), k.mayBeRead(r.stopCommand)
	if r.callResult == callResultSkipped && k.mayBeRead(r.callResultCommand) {
		l.resendCallResult(r, resendHarmless)
	}
	l.sendUnsent(r)
	if inDoubt != 0 || r.doubt != noDoubt && r.doubt != doubtResumed {
		l.recoverInDoubt(h, r, inDoubt)
	}
	if stopLost && r.isRunning() {
		l.resendStop(r)
	}
}

// recoverInDoubt continues a doubt, or begins one about the command with this number.
func (l *loop) recoverInDoubt(h handle, r *request, command uint64) {
	if r.doubt == noDoubt || r.doubt == doubtResumed {
		l.counters.CommandsInDoubt++
		r.doubtAcknowledged = command <= l.kernel.lastAnswered
	}
	r.doubtEventsLost = r.doubtEventsLost || l.kernel.eventsLost
	if r.doubt != doubtAwaitsEvent && r.doubt != doubtAwaitsOver {
		l.startDoubt(h, r)
	}
}

// startDoubt takes the first step to settle a doubt.
func (l *loop) startDoubt(h handle, r *request) {
	info := commandInfo{safety: l.settings.Deployment.Handlers[r.handler].RetrySafety, startsRun: r.startsRun(),
		acknowledged: r.doubtAcknowledged, eventsLost: r.doubtEventsLost, stopRequested: r.isStopRequested(),
		over: !r.awaitsResponse()}
	switch nextDoubtStep(l.settings.Cancellation, info) {
	case stepResend:
		l.resendInDoubt(h, r, resendHarmless)
	case stepProbe:
		l.probe(r)
	case stepAwaitEvent:
		l.awaitInDoubt(h, r, doubtAwaitsEvent, l.eventWaitOf(r))
	case stepAwaitOver:
		l.awaitOver(h, r)
	}
}

// awaitOver leaves a command in doubt until the kernel certainly knows that the request is over: its client waits until
// the deadline at most.
func (l *loop) awaitOver(h handle, r *request) {
	l.awaitInDoubt(h, r, doubtAwaitsOver, max(r.deadline-l.now, 0)+l.limits.AckSafetyMargin)
}

// eventWaitOf returns how long an event of a run is awaited.
func (l *loop) eventWaitOf(r *request) admission.Time {
	timeout := float64(l.settings.Deployment.Handlers[r.handler].Timeout)
	if r.doubtAcknowledged {
		return admission.Time(timeout * acknowledgedEventWait)
	}
	return admission.Time(timeout * eventWait)
}

// awaitInDoubt leaves a command in doubt for a time.
func (l *loop) awaitInDoubt(h handle, r *request, state doubtState, wait admission.Time) {
	r.doubt, r.recheckAt = state, l.now+wait
	l.timers.set(r.recheckAt, timerDoubt, h)
}

// probe stops a run to learn whether the kernel has read the command in doubt; requestProbeEnd has to follow.
func (l *loop) probe(r *request) {
	l.scratch = wire.AppendKernelCommand(l.scratch[:0], wire.KernelStop, r.id)
	r.doubt, r.probeCommand = doubtProbed, l.sendToKernel()
	l.kernel.probesStarted = true
	l.trace(r, traceProbed)
}

// requestProbeEnd requests the gauges after the stops of probes; the response ends them.
func (l *loop) requestProbeEnd() {
	k := &l.kernel
	if !k.probesStarted {
		return
	}
	k.probesStarted = false
	if number := l.sendGaugesRequest(); number != unsentCommand {
		k.probeRequest = number
		l.timers.set(l.now+l.limits.ReplayTimeout, timerReplay, handle(number))
	}
}

// probesEnded handles the response to a gauges request with this number. A probed run of which no event came by then
// has not read its command, which is sent.
func (l *loop) probesEnded(number uint64) {
	k := &l.kernel
	if k.probeRequest == 0 || number < k.probeRequest {
		return
	}
	k.probeRequest = 0
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		if r := l.requests.get(h); r.isRunning() && r.doubt == doubtProbed && r.probeCommand < number {
			if r.doubtAcknowledged {
				l.counters.AcknowledgedLost++
			}
			l.resendInDoubt(h, r, resendAfterStop)
		}
	}
}

// resumeProbed resumes a run that a probe has paused, and reports whether the event is that. If the request was over in
// the kernel by then, the stop has ended the run instead, so the run is checked again once the node knows that, too.
func (l *loop) resumeProbed(h handle, r *request, wasProbed bool, outcome admission.Outcome) bool {
	if !wasProbed || outcome != admission.Stopped || r.isStopRequested() ||
		l.settings.Cancellation != admission.CancelPause {
		return false
	}
	l.sendResume(r)
	l.awaitInDoubt(h, r, doubtResumed, l.limits.AckSafetyMargin)
	return true
}

// recheckDoubt takes the next step for a command that is in doubt for long enough.
func (l *loop) recheckDoubt(h handle) {
	r := l.requests.get(h)
	if r == nil || !r.isRunning() || l.now < r.recheckAt {
		return
	}
	over := !r.awaitsResponse()
	mayRepeat := !r.doubtEventsLost && (!r.doubtAcknowledged || l.settings.Cancellation == admission.CancelPause)
	switch {
	case r.doubt == noDoubt || r.doubt == doubtProbed:
	case r.doubt != doubtAwaitsOver && over:
		l.awaitOver(h, r)
	case r.doubt == doubtResumed || l.kernel.state != kernelLive || r.doubt == doubtAwaitsOver && !over ||
		r.doubt == doubtAwaitsEvent && !mayRepeat:
		l.awaitInDoubt(h, r, r.doubt, l.limits.AckSafetyMargin)
	case r.doubt == doubtAwaitsEvent && l.settings.Cancellation == admission.CancelPause:
		l.probe(r)
		l.requestProbeEnd()
	case r.doubt == doubtAwaitsEvent:
		l.resendInDoubt(h, r, resendUnproven)
	default:
		// The request is over: the kernel ends a run that it does not have, and starts none.
		r.callResult, r.resumeSent = noCallResult, false
		l.resendInDoubt(h, r, resendOver)
	}
}

// resendInDoubt sends a command again whose doubt is settled.
func (l *loop) resendInDoubt(h handle, r *request, reason resendReason) {
	r.doubt = noDoubt
	switch {
	case r.callResult != noCallResult:
		l.resendCallResult(r, reason)
		if r.isStopRequested() {
			l.resendStop(r)
		}
	case r.resumeSent:
		l.resendStart(r, reason)
		l.awaitInDoubt(h, r, doubtResumed, l.limits.AckSafetyMargin)
	default:
		l.resendStart(r, reason)
	}
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

// resendCallResult sends the result of a call again.
func (l *loop) resendCallResult(r *request, reason resendReason) {
	command := wire.KernelCallDone
	if r.callResult == callResultSkipped {
		command = wire.KernelCallSkipped
	}
	l.traceResend(r, command, r.callResultCommand, reason)
	l.sendCallResult(r)
	l.counters.CommandsResent++
}

// resendStop sends the stop of a run again; a second copy does no harm.
func (l *loop) resendStop(r *request) {
	l.traceResend(r, wire.KernelStop, r.stopCommand, resendHarmless)
	l.sendStop(r)
	l.counters.CommandsResent++
}

// traceResend logs a command that is sent again and why, with the number of its earlier copy and what the kernel has
// certainly read: together with the run's events they show whether the kernel had read that copy.
func (l *loop) traceResend(r *request, command string, number uint64, reason resendReason) {
	if !l.debug {
		return
	}
	fields := logrus.Fields{logging.Command: command, logging.Acknowledged: l.kernel.acknowledged,
		logging.LastSequence: l.kernel.lastSequence, logging.Reason: string(reason)}
	if number != unsentCommand {
		fields[logging.CommandNumber] = number
	}
	l.traceWith(r.id, traceResent, fields)
}
