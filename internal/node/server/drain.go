// Drain: from the notice to the end of the process. Health checks and discovery are told, what was read is answered, the
// listener takes what the system has accepted and closes, and connections end in order.

package server

import (
	"umberwinch/admission"
)

// drain is where the drain of this process stands.
type drainState struct {
	draining     bool
	stopAfter    admission.Time // the kill comes so long after the notice
	answerBy     admission.Time // by then all has to be answered
	killMargin   admission.Time // the kill comes so long after that
	drainSince   admission.Time // when the notice came
	closingSince admission.Time // since when idle connections are ended; 0: not yet
}

// startDrain takes the notice to leave.
func (l *loop) startDrain() {
	if l.draining {
		return
	}
	l.killMargin = min(l.limits.KillMargin, l.stopAfter/8)
	l.draining, l.drainSince, l.answerBy = true, l.now, l.now+l.stopAfter-l.killMargin
	l.nextRound().Drain, l.nextRound().KillAt = true, l.answerBy
	l.Health(false)
	l.timers.set(l.now, timerDrain, 0)
	l.results.drain()
}

// leave sees whether nobody sends here any more, or the kill is near: then the listener takes what is complete
// and closes, idle connections are closed, what crosses that is still answered, and the loop ends. The listener
// stays open until then, as sidecars learn late that this server leaves.
func (l *loop) drainTick() {
	most := l.answerBy - admission.Second/20 // the module's last answers come after
	quiet := l.now-max(l.lastRequest, l.drainSince) >= l.limits.DrainQuiet && l.now-l.drainSince >= 2*admission.Second
	if l.closingSince == 0 && (l.now >= most-l.limits.CrossingGrace || quiet && l.connectionsOwed() == 0) {
		l.closingSince = l.now
		if l.listener != nil {
			l.listener.stop()
		}
	}
	if l.closingSince != 0 {
		l.closeAllIdle(l.now >= most)
	}
	l.timers.set(l.now+admission.Second/100, timerDrain, 0)
}

// closeAllIdle closes connections on which nothing is owed. A new one may be about to bring its first request.
func (l *loop) closeAllIdle(force bool) {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		if force || c.usage != usedForNothing || l.now-c.openedAt >= l.limits.CrossingGrace {
			l.closeIdle(c, force)
		}
	}
}

// owed counts the connections on which an answer is owed.
func (l *loop) connectionsOwed() (n int) {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		if l.connections.get(h).owesAnswer() {
			n++
		}
	}
	return n
}

// lingers tells whether a client may still be reading, or sending what crosses the end of its connection.
func (l *loop) lingers() bool {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		if !c.closing || l.now < c.lingerUntil-l.limits.LingerTimeout+l.limits.CrossingGrace {
			return true
		}
	}
	return false
}

// finished says whether all is said and sent.
func (l *loop) finished() bool {
	if !l.draining || l.closingSince == 0 || l.connectionsOwed() > 0 || l.busy.Load() > 0 {
		return false // while anything is owed it's the kill that ends it
	}
	if l.now >= l.answerBy+l.killMargin/2 {
		return true
	}
	return !l.accepts && !l.lingers() && l.now >= max(l.closingSince, l.lastConnection)+l.limits.CrossingGrace
}
