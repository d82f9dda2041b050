package server

import "umberwinch/admission"

// drainState is the progress of the drain, from SIGTERM to the exit; it belongs to the loop. While draining, the node
// is reported as not ready, requests are still served, the listener accepts its backlog and closes, and connections are
// closed in order. A connection with an unanswered request is never closed; while there is one, only the kill ends the
// process.
type drainState struct {
	draining         bool
	killDelay        admission.Time // from the start of the drain to the kill
	responseDeadline admission.Time // deadline for all responses
	killMargin       admission.Time // from responseDeadline to the kill
	drainStartedAt   admission.Time // when the drain started
	closingSince     admission.Time // when the closing of idle connections started; 0: not yet
}

const (
	// minListenTime is the minimum time from the start of the drain to the close of the listener: clients learn from
	// service discovery that the node leaves.
	minListenTime = 2 * admission.Second
	// finalCloseMargin is the time before responseDeadline at which idle connections are closed even with incomplete
	// input; the controller's last decisions come after it.
	finalCloseMargin = admission.Second / 20
	// drainCheckInterval is the interval between checks whether the drain is over.
	drainCheckInterval = admission.Second / 100
)

// startDrain starts the drain, whatever is in progress: see rows "SIGTERM: an incomplete request, a queued one, a
// waiting repeat, one on an idle connection" and "SIGTERM while the process is stopped" in docs/design/shutdown.md.
func (l *loop) startDrain() {
	if l.draining {
		return
	}
	l.killMargin = min(l.limits.KillMargin, l.killDelay/8)
	l.draining, l.drainStartedAt, l.responseDeadline = true, l.now, l.now+l.killDelay-l.killMargin
	// The controller's KillAt is killMargin before the kill, which leaves time to send the last responses.
	l.nextRound().Drain, l.nextRound().KillAt = true, l.responseDeadline
	l.Health(false)
	l.timers.set(l.now, timerDrain, 0)
	l.results.drain()
}

// drainTick checks whether clients have stopped sending or the kill is near. If so, it stops the listener and closes
// idle connections; requests that cross the close are still answered. The listener stays open until then, as clients
// learn late that this node leaves. See rows "end of the drain" and "kill near" in docs/design/shutdown.md.
func (l *loop) drainTick() {
	closeBy := l.responseDeadline - finalCloseMargin
	quiet := l.now-max(l.lastRequest, l.drainStartedAt) >= l.limits.DrainQuietPeriod &&
		l.now-l.drainStartedAt >= minListenTime
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

// closeAllIdle closes connections without unanswered requests. Without force, an unused connection opened recently is
// kept, as its first request may be on its way.
func (l *loop) closeAllIdle(force bool) {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		if force || c.usage != usageNone || l.now-c.openedAt >= l.limits.InFlightGrace {
			l.closeIdle(c, force)
		}
	}
}

// unansweredConnections counts the connections with an unanswered request.
func (c *clients) unansweredConnections() (n int) {
	for h, i := c.connections.next(0); h != 0; h, i = c.connections.next(i) {
		if c.connections.get(h).hasUnanswered() {
			n++
		}
	}
	return n
}

// hasLingering reports whether a connection is open or was shut down so recently that its client may still read, or
// send input that crosses the shutdown.
func (l *loop) hasLingering() bool {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		if !c.closing || l.now < c.lingerUntil-l.limits.LingerTimeout+l.limits.InFlightGrace {
			return true
		}
	}
	return false
}

// finished reports whether everything is answered and sent, so that the process can exit.
func (l *loop) finished() bool {
	if !l.draining || l.closingSince == 0 || l.unansweredConnections() > 0 || l.busy.Load() > 0 {
		return false
	}
	if l.now >= l.responseDeadline+l.killMargin/2 {
		return true
	}
	return !l.accepting && !l.hasLingering() && l.now >= max(l.closingSince, l.lastConnection)+l.limits.InFlightGrace
}
