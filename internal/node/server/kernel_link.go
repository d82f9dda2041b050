package server

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// kernelState is how far the link to the kernel has come.
type kernelState uint8

const (
	kernelDisconnected kernelState = iota
	kernelOpened
	kernelReplaying // the kernel is up, and sends the events that were missed
	kernelLive
)

// unsentCommand is the number of a command that no link has taken yet.
const unsentCommand = ^uint64(0)

// kernelLink is the link to the process that carries out runs. It owns the order of commands and events: each event is
// handled once and in its order, and a command that may have been lost with a link is sent again, but only after what
// the kernel said meanwhile is known, and never for a run that ended. Every command and every request for gauges takes
// the next number; answered gauges prove that all before them on the same link were read. It ends with the process.
type kernelLink struct {
	link
	state              kernelState
	lastSequence       uint64 // of the last event handled
	sent               uint64 // number of the last command
	provenRead         uint64 // commands up to this one were surely read: they are not sent again
	nextAcknowledged   uint64 // up to the last answer that was kept; becomes provenRead once it is AckSafetyMargin old
	nextAcknowledgedAt admission.Time
	gaugesRequest      uint64 // number of the request for gauges that a wake-up waits for
	gaugesDeadline     admission.Time
	replayRequest      uint64 // number of the request whose answer ends the replay
	awaitsFirstEvent   bool   // over this link
}

// kernelUp begins on a link that was opened: the kernel hears which event was the last that was handled, and sends
// those after it again. See row "kernel link broken or moved" in docs/design/shutdown.md.
func (l *loop) kernelUp() {
	k := &l.kernel
	k.state, k.awaitsFirstEvent = kernelOpened, true
	k.dialed.writer.send(wire.AppendKernelOpen(l.scratch[:0], k.lastSequence), l.limits.LinkQueue)
}

// kernelDown takes the end of the link: nobody answers with gauges.
func (l *loop) kernelDown() {
	k := &l.kernel
	k.state, k.gaugesRequest = kernelDisconnected, 0
	l.wakeWithoutGauges()
}

// sendToKernel sends the command that stands in l.scratch, and gives its number.
func (l *loop) sendToKernel() uint64 {
	k := &l.kernel
	if k.state != kernelLive {
		return unsentCommand
	}
	if !k.dialed.writer.send(l.scratch, l.limits.LinkQueue) {
		// Not from within a round: what is lost is sent again on the next link. See row "link that takes nothing" in
		// docs/design/shutdown.md.
		l.reconnectKernel = true
		return unsentCommand
	}
	k.sent++
	return k.sent
}

func (l *loop) sendRun(r *request) {
	l.scratch = wire.AppendKernelRun(l.scratch[:0], r.id, l.names[r.handler], r.body)
	r.runCommand = l.sendToKernel()
}

func (l *loop) sendStop(r *request) {
	l.scratch = wire.AppendKernelCommand(l.scratch[:0], wire.KernelStop, r.id)
	r.stopCommand = l.sendToKernel()
}

func (l *loop) sendResume(r *request) {
	l.scratch = wire.AppendKernelCommand(l.scratch[:0], wire.KernelResume, r.id)
	r.runCommand, r.resumed = l.sendToKernel(), true
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
		l.scratch = wire.AppendKernelCallDone(l.scratch[:0], r.id, r.reply)
	} else {
		l.scratch = wire.AppendKernelCallSkipped(l.scratch[:0], r.id, r.callSequence)
	}
	r.callResultCommand = l.sendToKernel()
}

// requestGauges asks for the gauges that the controller's wake-up comes with.
func (l *loop) requestGauges() {
	k := &l.kernel
	if k.state != kernelLive {
		l.wakeWithoutGauges()
		return
	}
	l.scratch = wire.AppendKernelGaugesRequest(l.scratch[:0], k.sent+1)
	if no := l.sendToKernel(); no != unsentCommand {
		k.gaugesRequest, k.gaugesDeadline = no, l.now+l.limits.GaugesTimeout
		l.timers.set(k.gaugesDeadline, timerGauges, 0)
		return
	}
	l.wakeWithoutGauges()
}

// gaugesTimedOut lets a wake-up do without its gauges, unless it waits for others by now. Guards against a kernel that
// does not answer, by which the controller would not wake: see row "kernel that does not answer" in
// docs/design/shutdown.md.
func (l *loop) gaugesTimedOut() {
	if l.now >= l.kernel.gaugesDeadline {
		l.wakeWithoutGauges()
	}
}

// wakeWithoutGauges lets a wake-up that is due come without gauges.
func (l *loop) wakeWithoutGauges() {
	if l.wakePending {
		l.wakePending = false
		l.counters.WakeUpsWithoutGauges++
		l.nextRound().TimerFired = true
	}
}

// kernelEvent takes one event of the kernel.
func (l *loop) kernelEvent(n *wire.KernelEvent) {
	switch string(n.Kind) {
	case wire.KernelBooted:
		l.kernelBooted(n)
	case wire.KernelGauges:
		l.gaugesReceived(n)
	case wire.KernelInvalid:
		l.commandRefused(n)
	default:
		l.runEvent(n)
	}
}

// commandRefused takes that a command was not carried out. A run that the kernel does not know never ran and never
// will, and nobody else can answer its request; its client's connection is used no more. See row "run that the kernel
// does not know" in docs/design/shutdown.md.
func (l *loop) commandRefused(n *wire.KernelEvent) {
	l.counters.CommandsRefused++
	if log := l.limitLog(); log != nil {
		log.WithFields(logrus.Fields{logging.Command: string(n.InvalidCommand()), logging.RequestID: string(n.RunID)}).
			Info(logCommandRejected)
	}
	if h, r := l.findRequest(n.RunID); r != nil && string(n.InvalidCommand()) == wire.KernelRun && r.isRunning() {
		r.closeAfter = true
		l.runEnded(h, r, admission.NotExecuted, 0, nil)
	}
}

// runEvent takes an event about a run. Those have numbers, by which each counts once and in order. A kind that is
// not known, as a newer kernel may send, is passed over without a line in the log.
func (l *loop) runEvent(n *wire.KernelEvent) {
	if !l.acceptSequence(n) {
		return
	}
	h, r := l.findRequest(n.RunID)
	if r == nil || !r.isRunning() {
		return
	}
	r.runCommand, r.callResultCommand, r.stopCommand = 0, 0, 0 // it was read, or what it asked for is past
	r.callResult = noCallResult
	switch string(n.Kind) {
	case wire.KernelRunEnded:
		l.runEnded(h, r, runOutcome(n), n.RunMS, n.Body)
	case wire.KernelCallAsked:
		l.trace(r, traceCallAsked)
		r.callBody, r.callSequence = append(r.callBody[:0], n.Body...), n.Sequence
		l.nextRound().CallRequests = append(l.nextRound().CallRequests, uint32(h))
	}
}

// acceptSequence takes the number of an event and tells whether it is to be handled. Guards against ends of runs that
// count twice or never after a link broke. One that was handled before comes again over a new link, and is passed
// over. A gap amid a link has it opened anew, which has the missing events sent again; a gap at the begin of a link
// says that the kernel no longer has them. See row "kernel link broken or moved" in docs/design/shutdown.md.
func (l *loop) acceptSequence(n *wire.KernelEvent) bool {
	k := &l.kernel
	switch {
	case n.Sequence == 0:
		if log := l.limitLog(); log != nil {
			log.WithField(logging.Event, string(n.Kind)).Info(logKernelEventUnnumbered)
		}
		return false
	case n.Sequence <= k.lastSequence:
		return false
	case n.Sequence > k.lastSequence+1 && !k.awaitsFirstEvent:
		l.logEventGap(logKernelEventMissing, n.Sequence)
		l.closeLink(&k.link, errEventGap)
		return false
	}
	if n.Sequence > k.lastSequence+1 {
		l.logEventGap(logKernelEventsLost, n.Sequence)
	}
	k.lastSequence, k.awaitsFirstEvent = n.Sequence, false
	return true
}

// runOutcome is how a run ended.
func runOutcome(n *wire.KernelEvent) admission.Outcome {
	switch string(n.Outcome) {
	case wire.RunSucceeded:
		return admission.Succeeded
	case wire.RunStopped:
		return admission.Stopped
	case wire.RunSuperseded:
		return admission.Superseded
	}
	return admission.Failed
}

// logEventGap logs that events are missing between the last one and this.
func (l *loop) logEventGap(message string, sequence uint64) {
	if log := l.limitLog(); log != nil {
		log.WithFields(logrus.Fields{logging.Sequence: sequence, logging.LastSequence: l.kernel.lastSequence}).
			Info(message)
	}
}

// kernelBooted takes the start of the kernel. The first has the controller begin, whose times count from there.
func (l *loop) kernelBooted(n *wire.KernelEvent) {
	k := &l.kernel
	if k.state != kernelOpened {
		return
	}
	if l.controller == nil {
		d := l.settings.Deployment
		d.Start, d.ColdStart = l.now-admission.Time(n.RunMS*10), n.IsColdStart()
		l.log.WithFields(logrus.Fields{logging.KernelState: string(n.Outcome), logging.UptimeMS: n.RunMS}).
			Info(logKernelUp)
		l.makePools()
		l.controller = admission.New(d)
		l.wakePending = true
		if l.draining {
			l.nextRound().Drain, l.nextRound().KillAt = true, l.answerBy
		}
	}
	k.state, k.delay = kernelReplaying, 0
	k.sent++
	k.replayRequest = k.sent
	if !k.dialed.writer.send(wire.AppendKernelGaugesRequest(l.scratch[:0], k.replayRequest), l.limits.LinkQueue) {
		l.closeLink(&k.link, errStuck)
		return
	}
	l.timers.set(l.now+l.limits.ReplayTimeout, timerReplay, handle(k.replayRequest))
}

// gaugesReceived takes gauges; the first on a link say that all events that were missed have come. Guards against
// commands that were read by the system and lost with the link: an answer proves them only once it is AckSafetyMargin
// old. See row "kernel link broken or moved" in docs/design/shutdown.md.
func (l *loop) gaugesReceived(n *wire.KernelEvent) {
	k := &l.kernel
	no, err := strconv.ParseUint(string(n.Nonce), 10, 64)
	if err != nil {
		return
	}
	if k.state == kernelReplaying && no == k.replayRequest {
		l.replayComplete()
	}
	if k.state != kernelLive || no > k.sent {
		return
	}
	if l.now >= k.nextAcknowledgedAt+l.limits.AckSafetyMargin {
		// The last proof is old enough to be relied on, and this answer takes its place.
		k.provenRead, k.nextAcknowledged, k.nextAcknowledgedAt = k.nextAcknowledged, no, l.now
	}
	if l.wakePending && (no == k.gaugesRequest || no == k.replayRequest) {
		k.gaugesRequest, l.wakePending = 0, false
		r := l.nextRound()
		r.TimerFired, r.HasGauges = true, true
		r.Gauges = l.settings.Gauges(n.Gauges[:n.GaugeCount])
		l.fleet.coresSampled(r.Gauges.Runnable)
	}
}

// replayTimedOut opens the link anew where the end of the replay does not come. Guards against a run that is started
// twice: to send commands again before all events are known could start what has ended meanwhile. See row "kernel that
// does not answer" in docs/design/shutdown.md.
func (l *loop) replayTimedOut(request handle) {
	if k := &l.kernel; k.state == kernelReplaying && handle(k.replayRequest) == request {
		l.closeLink(&k.link, errNoAnswer)
	}
}

// replayComplete makes a link live: what may have been lost with the last one goes out again.
func (l *loop) replayComplete() {
	k := &l.kernel
	if k.state != kernelReplaying {
		return
	}
	k.state = kernelLive
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		r := l.requests.get(h)
		if !r.isRunning() {
			continue
		}
		l.resendCommands(r)
	}
}

// resendCommands sends those commands of a run again that are not known to have been read, in their first order.
func (l *loop) resendCommands(r *request) {
	provenRead := l.kernel.provenRead
	runLost, stopLost := r.runCommand > provenRead, r.stopCommand > provenRead
	resultLost := r.callResultCommand > provenRead
	if runLost {
		if r.resumed {
			l.sendResume(r)
		} else {
			l.sendRun(r)
		}
		l.counters.CommandsResent++
	}
	if resultLost && r.callResult != noCallResult {
		l.sendCallResult(r)
		l.counters.CommandsResent++
	}
	if stopLost {
		l.sendStop(r)
		l.counters.CommandsResent++
	}
}

// kernelParser reads events of the kernel.
func kernelParser(bounds wire.Bounds) linkParser {
	return func(from *dialed, b *buffer) (event, int, error) {
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
