package server

import (
	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// This file limits how many commands that must not be read twice are lost if the kernel's link ends. Such a command is
// sent again only if the kernel has certainly not read it, so one that is lost costs its request an error. A gauges
// request follows each round with such commands, and those of later rounds wait for its response: a kernel that has
// stopped reading, as before its link ends, is sent no more of them. A command that waits was never sent and goes out
// over the next link.

// commandWindow is the state of this limit. It belongs to the loop, and is empty on each new link.
type commandWindow struct {
	opened     bool           // a command of this round needs a gauges request after it
	request    uint64         // number of the gauges request after the last such command; 0: it was answered
	closedTill admission.Time // from this time on commands are sent although the request is unanswered
	waiting    []handle       // runs with a command that waits, in the order of their commands
}

// isClosed reports whether commands that must not be read twice wait.
func (w *commandWindow) isClosed(now admission.Time) bool {
	return w.request != 0 && now < w.closedTill
}

// answered records the response to a gauges request.
func (w *commandWindow) answered(number uint64) {
	if number >= w.request {
		w.request = 0
	}
}

// mustWait reports whether a command of a run that must not be read twice has to wait, and queues the run if so.
func (l *loop) mustWait(r *request) bool {
	w := &l.kernel.window
	if l.kernel.state != kernelLive || !w.isClosed(l.now) {
		w.opened = true
		return false
	}
	l.counters.CommandsDelayed++
	w.waiting = append(w.waiting, l.byRequestID[r.id])
	return true
}

// requestAcknowledgement requests the gauges after the commands of a round, unless none of them needs it or the gauges
// were requested since.
func (l *loop) requestAcknowledgement() {
	k := &l.kernel
	w := &k.window
	if !w.opened || k.state != kernelLive {
		return
	}
	w.opened = false
	number := k.gaugesRequest
	if number != k.lastCommand {
		l.scratch = wire.AppendKernelGaugesRequest(l.scratch[:0], k.lastCommand+1)
		if number = l.sendToKernel(); number == unsentCommand {
			return
		}
	}
	if w.request == 0 {
		w.closedTill = l.now + l.limits.MaxCommandDelay
		l.timers.set(w.closedTill, timerCommandWindow, 0)
	}
	w.request = number
}

// sendWaiting sends the commands that wait once the kernel has responded, or has not for too long. See row "kernel that
// does not respond" in docs/design/shutdown.md.
func (l *loop) sendWaiting() {
	k := &l.kernel
	if k.state != kernelLive || k.window.isClosed(l.now) {
		return
	}
	waiting := k.window.waiting
	k.window.waiting = nil
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
