package server

import (
	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// This file limits how many commands that must not be read twice are lost if the kernel's link ends. Such a command is
// sent again only if the kernel has certainly not read it, so one that is lost costs its request an error. Therefore it
// is sent only in a round in which the kernel has responded to a gauges request: a kernel that has stopped reading, as
// before its link ends, is sent none. A command that waits was never sent and goes out over the next link.

// commandGate is the state of this limit on one link. It belongs to the loop.
type commandGate struct {
	wanted      bool           // a command waits that no gauges request was sent for
	request     uint64         // number of the gauges request whose response is awaited; 0: none
	openAt      admission.Time // from this time on commands are sent although it has no response
	respondedAt admission.Time // when the kernel responded last
	waiting     []handle       // runs with a command that waits, in the order of their commands
}

// isOpen reports whether commands that must not be read twice may be sent: the kernel has responded in this round, or
// is slow.
func (g *commandGate) isOpen(now admission.Time) bool {
	return now == g.respondedAt || g.request != 0 && now >= g.openAt
}

// responded records the response to the gauges request with this number.
func (g *commandGate) responded(number uint64, now admission.Time) {
	g.respondedAt = now
	if number >= g.request {
		g.request = 0
	}
}

// mustWait reports whether a command of a run that must not be read twice has to wait, and queues the run if so.
func (l *loop) mustWait(r *request) bool {
	g := &l.kernel.gate
	if l.kernel.state != kernelLive || g.isOpen(l.now) {
		return false
	}
	g.wanted = true
	g.waiting = append(g.waiting, l.byRequestID[r.id])
	l.counters.CommandsDelayed++
	return true
}

// requestResponse requests the gauges after a round with commands that wait, unless a response is awaited.
func (l *loop) requestResponse() {
	k := &l.kernel
	if !k.gate.wanted || k.state != kernelLive {
		return
	}
	k.gate.wanted = false
	if k.gate.request != 0 {
		return
	}
	if number := k.gaugesRequest; number != 0 && number == k.lastCommand {
		k.gate.request = number // requested in this round
	} else if k.gate.request = l.sendGaugesRequest(); k.gate.request == unsentCommand {
		return // the link is reopened
	}
	k.gate.openAt = l.now + l.limits.MaxCommandDelay
	l.timers.set(k.gate.openAt, timerCommandGate, 0)
}

// sendGaugesRequest requests the gauges and returns the number of the request, unsentCommand if the link can't take it.
func (l *loop) sendGaugesRequest() uint64 {
	l.scratch = wire.AppendKernelGaugesRequest(l.scratch[:0], l.kernel.lastCommand+1)
	return l.sendToKernel()
}

// sendWaiting sends the commands that wait if the gate is open. See row "kernel that does not respond" in
// docs/design/shutdown.md.
func (l *loop) sendWaiting() {
	k := &l.kernel
	if k.state != kernelLive || !k.gate.isOpen(l.now) {
		return
	}
	waiting := k.gate.waiting
	k.gate.waiting = nil
	for _, h := range waiting {
		if r := l.requests.get(h); r != nil && r.isRunning() {
			l.sendUnsent(r)
		}
	}
}

// sendUnsent sends a run's commands that were never sent, in their original order.
func (l *loop) sendUnsent(r *request) {
	if r.runCommand == unsentCommand {
		l.trace(r, traceSentLate)
		if r.resumeSent {
			l.sendResume(r)
		} else {
			l.sendRun(r)
		}
	}
	if r.callResult != noCallResult && r.callResultCommand == unsentCommand {
		l.trace(r, traceSentLate)
		l.sendCallResult(r)
	}
	if r.isStopRequested() && r.stopCommand == unsentCommand {
		l.trace(r, traceSentLate)
		l.sendStop(r)
	}
}
