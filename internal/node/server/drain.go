package server

import "umberwinch/admission"

// drainState is where the drain of this process stands: from the notice to its end. Health checks and service
// discovery say that the node is not ready, what was read is answered, the listener takes what the system has accepted
// and closes, and connections end in order. It never closes a connection with a request unanswered; while there is one
// only the kill ends the process.
type drainState struct {
	draining       bool
	killDelay      admission.Time // the kill comes so long after the notice
	answerBy       admission.Time // all has to be answered by then
	killMargin     admission.Time // the kill comes so long after that
	drainStartedAt admission.Time // when the notice came
	closingSince   admission.Time // since when idle connections are ended; 0: not yet
}

const (
	// minListenTime is how long the listener stays open after the notice at least: service discovery takes that long to
	// have clients learn of it.
	minListenTime = 2 * admission.Second
	// finalCloseMargin is how long before answerBy connections are closed whatever else is on them: the controller's last
	// decisions come after.
	finalCloseMargin = admission.Second / 20
	// drainCheckInterval is the time between two looks at whether the drain is over.
	drainCheckInterval = admission.Second / 100
)

// startDrain takes the notice to leave, whatever is in hand: see rows "notice: half a request, a held one, a repeat
// that waits, one on a resting connection" and "notice while the process is stopped" in docs/design/shutdown.md.
func (l *loop) startDrain() {
	if l.draining {
		return
	}
	l.killMargin = min(l.limits.KillMargin, l.killDelay/8)
	l.draining, l.drainStartedAt, l.answerBy = true, l.now, l.now+l.killDelay-l.killMargin
	l.nextRound().Drain, l.nextRound().KillAt = true, l.answerBy
	l.Health(false)
	l.timers.set(l.now, timerDrain, 0)
	l.results.drain()
}

// drainTick sees whether nobody sends here any more, or the kill is near: then the listener takes what is complete and
// closes, idle connections are closed, what crosses that is still answered, and the loop ends. The listener stays open
// until then, as clients learn late that this server leaves. See rows "drain's end" and "kill near" in
// docs/design/shutdown.md.
func (l *loop) drainTick() {
	closeBy := l.answerBy - finalCloseMargin
	quiet := l.now-max(l.lastRequest, l.drainStartedAt) >= l.limits.DrainQuietPeriod && l.now-l.drainStartedAt >= minListenTime
	if l.closingSince == 0 && (l.now >= closeBy-l.limits.InFlightGrace || quiet && l.unansweredConnections() == 0) {
		l.closingSince = l.now
		if l.listener != nil {
			l.listener.stop()
		}
	}
	if l.closingSince != 0 {
		l.closeAllIdle(l.now >= closeBy)
	}
	l.timers.set(l.now+drainCheckInterval, timerDrain, 0)
}

// closeAllIdle closes connections with no request unanswered. A new one may be about to bring its first.
func (l *loop) closeAllIdle(force bool) {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		if force || c.usage != usageNone || l.now-c.openedAt >= l.limits.InFlightGrace {
			l.closeIdle(c, force)
		}
	}
}

// unansweredConnections counts the connections with a request unanswered.
func (c *clients) unansweredConnections() (n int) {
	for h, i := c.connections.next(0); h != 0; h, i = c.connections.next(i) {
		if c.connections.get(h).hasUnanswered() {
			n++
		}
	}
	return n
}

// hasLingering tells whether a client may still be reading, or sending what crosses the end of its connection.
func (l *loop) hasLingering() bool {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		if !c.closing || l.now < c.lingerUntil-l.limits.LingerTimeout+l.limits.InFlightGrace {
			return true
		}
	}
	return false
}

// finished tells whether all is answered and sent, so that the process can end.
func (l *loop) finished() bool {
	if !l.draining || l.closingSince == 0 || l.unansweredConnections() > 0 || l.busy.Load() > 0 {
		return false
	}
	if l.now >= l.answerBy+l.killMargin/2 {
		return true
	}
	return !l.accepting && !l.hasLingering() && l.now >= max(l.closingSince, l.lastConnection)+l.limits.InFlightGrace
}
