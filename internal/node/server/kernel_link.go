package server

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// kernelState is the state of the kernel link. It advances in this order, and returns to the first when the link ends.
type kernelState uint8

const (
	kernelDisconnected kernelState = iota
	kernelOpened                   // connected; waits for the kernel's booted event
	kernelReplaying                // the kernel replays the events that were missed
	kernelLive                     // commands can be sent
	kernelMoving                   // commands wait: the address changed, and the old link has to be read to its end
)

// unsentCommand is the number of a command that was not sent on any link yet.
const unsentCommand = ^uint64(0)

// kernelLink is the link to the process that executes runs. It is used by the loop's goroutine alone, until the process
// ends. It handles each event once and in order. A command that may have been lost with a link is sent again only after
// the replay of missed events, and as kernel_recovery.go decides. Commands and gauges requests share one numbering: a
// response with gauges acknowledges all commands before it on the same link.
type kernelLink struct {
	link
	state              kernelState
	lastSequence       uint64 // of the last event that was handled
	lastCommand        uint64 // number of the last command or gauges request
	acknowledged       uint64 // commands up to this number were read by the kernel and are not resent
	nextAcknowledged   uint64 // replaces acknowledged once it is AckSafetyMargin old
	nextAcknowledgedAt admission.Time
	gaugesRequest      uint64 // number of the gauges request that a wake-up waits for
	gaugesDeadline     admission.Time
	replayRequest      uint64 // number of the gauges request whose response ends the replay
	moveRequest        uint64 // number of the gauges request whose response ends the old link
	lastAnswered       uint64 // number of the last gauges request that was answered
	awaitsFirstEvent   bool   // no event was handled on this link yet
	eventsLost         bool   // the kernel no longer had all events that were missed before this link

	sent sentCommands // on the link
	gate commandGate  // for commands that must not be read twice
}

// kernelUp opens the protocol on a new link: it sends the sequence of the last handled event, after which the kernel
// replays the later ones. See row "kernel link broken" in docs/design/shutdown.md.
func (l *loop) kernelUp() {
	k := &l.kernel
	k.state, k.awaitsFirstEvent, k.eventsLost = kernelOpened, true, false
	k.sent = sentCommands{first: k.lastCommand + 1}
	l.writeToKernel(wire.AppendKernelOpen(l.scratch[:0], k.lastSequence))
}

// kernelDown handles the loss of the link: a wake-up that waits for gauges proceeds without them.
func (l *loop) kernelDown() {
	k := &l.kernel
	k.state, k.gaugesRequest = kernelDisconnected, 0
	k.gate = commandGate{}
	l.recallUnsentCommands()
	l.wakeWithoutGauges()
}

// sendToKernel sends the command in l.scratch and returns its number, unsentCommand if the link can't take it.
func (l *loop) sendToKernel() uint64 {
	k := &l.kernel
	if k.state != kernelLive {
		return unsentCommand
	}
	if !l.writeToKernel(l.scratch) {
		// The link is closed after the round, and lost commands are resent on the next link. See row "link whose peer
		// does not read" in docs/design/shutdown.md.
		l.reconnectKernel = true
		return unsentCommand
	}
	k.lastCommand++
	k.sent.add()
	return k.lastCommand
}

// writeToKernel queues a message for the kernel. It returns false if the link can't take it.
func (l *loop) writeToKernel(message []byte) bool {
	k := &l.kernel
	if !k.dialed.writer.send(message, l.limits.LinkQueue) {
		return false
	}
	k.sent.bytes += uint64(len(message))
	return true
}

func (l *loop) sendRun(r *request) {
	r.resumeSent = false
	if l.settings.Deployment.Handlers[r.handler].RetrySafety != admission.Retryable && l.mustWait(r) {
		r.runCommand = unsentCommand
		return
	}
	l.scratch = wire.AppendKernelRun(l.scratch[:0], r.id, l.names[r.handler], r.body)
	r.runCommand = l.sendToKernel()
}

// sendStop sends the stop of a run, behind its earlier commands.
func (l *loop) sendStop(r *request) {
	if r.hasUnsentCommand() {
		r.stopCommand = unsentCommand
		return
	}
	l.scratch = wire.AppendKernelCommand(l.scratch[:0], wire.KernelStop, r.id)
	r.stopCommand = l.sendToKernel()
}

func (l *loop) sendResume(r *request) {
	l.scratch = wire.AppendKernelCommand(l.scratch[:0], wire.KernelResume, r.id)
	r.runCommand, r.resumeSent = l.sendToKernel(), true
	r.setRun(runRunning)
}

func (l *loop) sendCallReply(r *request, reply []byte) {
	r.reply = append(r.reply[:0], reply...)
	r.callResult = callResultReply
	l.sendCallResult(r)
}

func (l *loop) sendCallSkipped(r *request) {
	r.callResult = callResultSkipped
	l.sendCallResult(r)
}

func (l *loop) sendCallResult(r *request) {
	if r.callResult == callResultReply {
		if l.mustWait(r) {
			r.callResultCommand = unsentCommand
			return
		}
		l.scratch = wire.AppendKernelCallDone(l.scratch[:0], r.id, r.reply)
	} else {
		l.scratch = wire.AppendKernelCallSkipped(l.scratch[:0], r.id, r.callSequence)
	}
	r.callResultCommand = l.sendToKernel()
}

// requestGauges requests the gauges for a wake-up of the controller.
func (l *loop) requestGauges() {
	k := &l.kernel
	if k.state != kernelLive {
		l.wakeWithoutGauges()
		return
	}
	if number := l.sendGaugesRequest(); number != unsentCommand {
		k.gaugesRequest, k.gaugesDeadline = number, l.now+l.limits.GaugesTimeout
		l.timers.set(k.gaugesDeadline, timerGauges, 0)
		return
	}
	l.wakeWithoutGauges()
}

// gaugesTimedOut lets a wake-up proceed without gauges, unless a later request is outstanding. Guards against a kernel
// that does not respond, which would keep the controller from waking up: see row "kernel that does not respond" in
// docs/design/shutdown.md.
func (l *loop) gaugesTimedOut() {
	if l.now >= l.kernel.gaugesDeadline {
		l.wakeWithoutGauges()
	}
}

// wakeWithoutGauges delivers a pending wake-up without gauges.
func (l *loop) wakeWithoutGauges() {
	if l.wakePending {
		l.wakePending = false
		l.counters.WakeUpsWithoutGauges++
		l.nextRound().TimerFired = true
	}
}

// kernelEvent handles one event of the kernel.
func (l *loop) kernelEvent(e *wire.KernelEvent) {
	switch string(e.Kind) {
	case wire.KernelBooted:
		l.kernelBooted(e)
	case wire.KernelGauges:
		l.gaugesReceived(e)
	case wire.KernelInvalid:
		l.commandRejected(e)
	default:
		l.runEvent(e)
	}
}

// commandRejected handles an invalid command. If it was to start a run, the run ends as not executed, and the client's
// connection is closed after the response. Guards against a request that gets no response. See row "run that the kernel
// does not know" in docs/design/shutdown.md.
func (l *loop) commandRejected(e *wire.KernelEvent) {
	l.counters.CommandsRefused++
	if log := l.limitLog(); log != nil {
		log.WithFields(logrus.Fields{logging.Command: string(e.InvalidCommand()), logging.RequestID: string(e.RunID)}).
			Info(logCommandRejected)
	}
	if h, r := l.findRequest(e.RunID); r != nil && string(e.InvalidCommand()) == wire.KernelRun && r.isRunning() {
		r.closeAfter = true
		l.runEnded(h, r, l.endOutcome(&r.kernelCommands, admission.NotExecuted), 0, nil)
	}
}

// runEvent handles an event about a run. Its sequence number makes it count once and in order. An unknown kind, as a
// newer kernel may send, is ignored without a log line.
func (l *loop) runEvent(e *wire.KernelEvent) {
	if !l.acceptSequence(e) {
		return
	}
	h, r := l.findRequest(e.RunID)
	if r == nil || !r.isRunning() {
		return
	}
	commands := r.kernelCommands
	r.settle()
	switch string(e.Kind) {
	case wire.KernelRunEnded:
		l.runEnded(h, r, l.endOutcome(&commands, runOutcome(e)), e.RunMS, e.Body)
	case wire.KernelCallAsked:
		l.trace(r, traceCallAsked)
		r.callBody, r.callSequence = append(r.callBody[:0], e.Body...), e.Sequence
		l.nextRound().CallRequests = append(l.nextRound().CallRequests, uint32(h))
	}
}

// acceptSequence records the sequence number of an event and reports whether the event is to be handled. Guards against
// ends of runs that count twice or never after a link broke: an event that was already handled is ignored, and a gap
// closes the link, after which the missing events are replayed. A gap before the first event of a link means that the
// kernel no longer has those events; a run that ended in one of them stays in progress here. See row "kernel link
// broken" in docs/design/shutdown.md.
func (l *loop) acceptSequence(e *wire.KernelEvent) bool {
	k := &l.kernel
	switch {
	case e.Sequence == 0:
		if log := l.limitLog(); log != nil {
			log.WithField(logging.Event, string(e.Kind)).Info(logKernelEventUnnumbered)
		}
		return false
	case e.Sequence <= k.lastSequence:
		return false
	case e.Sequence > k.lastSequence+1 && !k.awaitsFirstEvent:
		l.logEventGap(logKernelEventMissing, e.Sequence)
		l.closeLink(&k.link, errEventGap)
		return false
	}
	if e.Sequence > k.lastSequence+1 {
		k.eventsLost = true
		l.logEventGap(logKernelEventsLost, e.Sequence)
	}
	k.lastSequence, k.awaitsFirstEvent = e.Sequence, false
	return true
}

// runOutcome returns the outcome of a run-ended event; an unknown one is a failure.
func runOutcome(e *wire.KernelEvent) admission.Outcome {
	switch string(e.Outcome) {
	case wire.RunSucceeded:
		return admission.Succeeded
	case wire.RunStopped:
		return admission.Stopped
	case wire.RunSuperseded:
		return admission.Superseded
	}
	return admission.Failed
}

// logEventGap logs a gap between the last handled event and the given sequence.
func (l *loop) logEventGap(message string, sequence uint64) {
	if log := l.limitLog(); log != nil {
		log.WithFields(logrus.Fields{logging.Sequence: sequence, logging.LastSequence: l.kernel.lastSequence}).
			Info(message)
	}
}

// kernelBooted handles the booted event, which begins the replay. The first one creates the controller, with the
// kernel's boot as its start time.
func (l *loop) kernelBooted(e *wire.KernelEvent) {
	k := &l.kernel
	if k.state != kernelOpened {
		return
	}
	if l.controller == nil {
		d := l.settings.Deployment
		d.Start, d.ColdStart = l.now-admission.Time(e.RunMS*10), e.IsColdStart()
		l.log.WithFields(logrus.Fields{logging.KernelState: string(e.Outcome), logging.UptimeMS: e.RunMS}).
			Info(logKernelUp)
		l.startPools()
		l.controller = admission.New(d)
		l.wakePending = true
		if l.draining {
			l.nextRound().Drain, l.nextRound().KillAt = true, l.responseDeadline
		}
	}
	k.state, k.delay = kernelReplaying, 0
	k.lastCommand++
	k.replayRequest = k.lastCommand
	if !l.writeToKernel(wire.AppendKernelGaugesRequest(l.scratch[:0], k.replayRequest)) {
		l.closeLink(&k.link, errStuck)
		return
	}
	k.sent.add()
	l.timers.set(l.now+l.limits.ReplayTimeout, timerReplay, handle(k.replayRequest))
}

// gaugesReceived handles a response with gauges, which acknowledges the commands before its request; the first on a
// link ends the replay. Guards against commands that are lost with the link although a later request was answered: an
// acknowledgement counts only once it is AckSafetyMargin old. See row "kernel link broken" in
// docs/design/shutdown.md.
func (l *loop) gaugesReceived(e *wire.KernelEvent) {
	k := &l.kernel
	number, err := strconv.ParseUint(string(e.Nonce), 10, 64)
	if err != nil {
		return
	}
	k.gate.responded(number, l.now)
	if k.state == kernelReplaying && number == k.replayRequest {
		l.replayComplete()
	}
	if k.state != kernelLive && k.state != kernelMoving || number > k.lastCommand {
		return
	}
	k.lastAnswered = number
	k.sent.answered(number)
	l.sendWaiting()
	if l.now >= k.nextAcknowledgedAt+l.limits.AckSafetyMargin {
		// The pending acknowledgement is old enough to count; this one becomes the pending one.
		k.acknowledged, k.nextAcknowledged, k.nextAcknowledgedAt = k.nextAcknowledged, number, l.now
	}
	if l.wakePending && (number == k.gaugesRequest || number == k.replayRequest) {
		k.gaugesRequest, l.wakePending = 0, false
		r := l.nextRound()
		r.TimerFired, r.HasGauges = true, true
		r.Gauges = l.settings.Gauges(e.Gauges[:e.GaugeCount])
		l.fleet.coresSampled(r.Gauges.Runnable)
	}
	if k.state == kernelMoving && number == k.moveRequest {
		l.oldLinkRead()
	}
}

// replayTimedOut closes the link if the replay that the response to the gauges request with this number ends does not
// end in time; the link is then dialed again. Guards against starting a run twice: resending commands before all events
// are known could restart a run that has ended. See row "kernel that does not respond" in docs/design/shutdown.md.
func (l *loop) replayTimedOut(request handle) {
	k := &l.kernel
	if k.state == kernelReplaying && handle(k.replayRequest) == request {
		l.closeLink(&k.link, errNoAnswer)
	}
}

// moveKernelLink requests the gauges over a link whose address changed, and reports whether the link can stay until the
// response: then the kernel has read all its commands, and none has to be sent again over the next link. Commands wait
// meanwhile. See row "kernel link moved" in docs/design/shutdown.md.
func (l *loop) moveKernelLink() bool {
	k := &l.kernel
	if k.state == kernelMoving {
		return true
	}
	if k.state != kernelLive {
		return false
	}
	if k.moveRequest = l.sendGaugesRequest(); k.moveRequest == unsentCommand {
		return false
	}
	k.state = kernelMoving
	l.timers.set(l.now+l.limits.MoveTimeout, timerKernelMove, handle(k.moveRequest))
	return true
}

// oldLinkRead replaces a moved link of which the kernel has read every command.
func (l *loop) oldLinkRead() {
	k := &l.kernel
	k.acknowledged, k.nextAcknowledged, k.nextAcknowledgedAt = k.moveRequest, k.moveRequest, l.now
	l.closeLink(&k.link, nil)
}

// moveTimedOut replaces a moved link whose kernel does not respond; its commands may have been read or not.
func (l *loop) moveTimedOut(request handle) {
	if k := &l.kernel; k.state == kernelMoving && handle(k.moveRequest) == request {
		l.closeLink(&k.link, nil)
	}
}

// kernelParser returns the parser of kernel events.
func kernelParser(bounds wire.Bounds) linkParser {
	return func(from *dialAttempt, b *buffer) (event, int, error) {
		line, n, err := wire.NextLine(b.bytes(), bounds.HeadBytes)
		if n == 0 || err != nil {
			return nil, 0, err
		}
		e := &b.kernel
		e.dialed, e.buffer = from, b
		e.event, err = wire.ParseKernelEvent(line)
		return e, n, err
	}
}
