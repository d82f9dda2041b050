package server

import (
	"context"
	"syscall"

	"github.com/cloudwego/netpoll"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// The table of client connections belongs to the loop. Each request read gets exactly one response, and a connection is
// not closed while a response on it may still be unread: the server announces the close with "Connection: close" or
// shuts down its sending side, and closes the descriptor once the client has closed its side or after LingerTimeout.

// connection is the state of a client connection, from connectionOpened to connectionClosed. It belongs to the loop.
type connection struct {
	peer             *peer
	current          handle // the request in progress on it
	pending          []clientMessage
	openedAt         admission.Time // when it was opened
	lastActive       admission.Time // when a message was last read or a response sent
	usage            connectionUsage
	ending           bool           // closed once all requests read on it have responses
	closing          bool           // its sending side is shut down, or will be once the last response is sent
	lingerUntil      admission.Time // while closing: when it is closed if the client has not closed it
	closed           bool           // by this server
	evictionFailedAt admission.Time // when its eviction last failed
}

// connectionUsage is the most that a connection has been used for so far; incomplete messages don't count.
type connectionUsage uint8

const (
	usageNone connectionUsage = iota
	usageHealthChecks
	usageRequests
)

// serve accepts connections in a goroutine that ends when the listener is stopped.
func (l *loop) serve(ln *listener) {
	l.listener, l.accepting = ln, true
	go func() {
		ln.run(l.acceptConnection, func(err error) { l.log.WithField(logging.Error, err).Warn(logAcceptFailed) })
		l.post(listenerClosed{})
	}()
}

// acceptConnection registers an accepted connection with netpoll. It runs on the listener's goroutine.
func (l *loop) acceptConnection(fd int) {
	// Without TCP_NODELAY a response may wait for the client's acknowledgement, which only delays it, so a failure is
	// ignored. See row "setsockopt of TCP_NODELAY: any" in docs/design/failures.md.
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		// netpoll has closed the descriptor, whose number may already belong to another connection, so only the
		// listener's slot is released; otherwise it would be lost for good. See row "epoll_ctl on an accepted
		// connection: any" in docs/design/failures.md.
		l.log.WithField(logging.Error, err).Warn(logConnectionUnreadable)
		l.listener.releaseSlot()
		return
	}
	p := newPeer(nc, fd, &l.crossGoroutine)
	nc.SetWriteTimeout(l.limits.WriteTimeout)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		p.release()
		l.post(connectionClosed{peer: p})
		return nil
	})
	l.post(connectionOpened{peer: p})
	nc.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error {
		return l.readConnection(p, nc, timeOf(l.clock.Now()))
	})
	if !nc.IsActive() {
		// The connection may have ended before its close callback was set, and the loop would never see it end: Close
		// runs the callback now, once. See row "connection that ends during its setup" in docs/design/shutdown.md.
		_ = nc.Close()
	}
}

// connectionOpened adds an accepted connection to the table.
func (l *loop) connectionOpened(p *peer) {
	h, c, ok := l.connections.take()
	if !ok {
		// Not reached: the listener's limit is below the table's, and a listener slot is released only once the table's
		// slot is free. See row "full table" in docs/design/shutdown.md.
		l.log.WithField(logging.MaxConnections, l.connections.capacity).Error(logConnectionTableFull)
		p.close()
		return
	}
	p.handle, c.peer, c.openedAt, c.lastActive, l.lastConnection = h, p, l.now, l.now, l.now
	l.counters.Connections++
	l.evict()
}

// evict closes idle connections while more than EvictionThreshold are open, so that clients that hold connections
// without using them don't keep others from being accepted. Connections without a complete message go first, oldest
// first, then those with health checks only, then the rest, longest idle first. The listener's limit is above
// EvictionThreshold. A request that crosses such a close is sent again by its client. See row "eviction" in
// docs/design/shutdown.md.
func (l *loop) evict() {
	l.closeLingering()
	for l.connections.used > l.limits.EvictionThreshold && l.usable() > l.limits.EvictionThreshold {
		c := l.evictionCandidate()
		if c == nil {
			return
		}
		if l.closeIdle(c, false) {
			l.counters.Evicted++
		} else {
			c.evictionFailedAt = l.now
		}
	}
}

// closeLingering closes connections that were shut down at least InFlightGrace ago, while all slots are taken.
// Otherwise clients that never close would keep new connections waiting for LingerTimeout; whatever crossed the
// shutdown has arrived by InFlightGrace. See row "many lingering connections" in docs/design/shutdown.md.
func (l *loop) closeLingering() {
	if l.connections.used < l.limits.Connections {
		return
	}
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		if c.closing && !c.closed && l.now >= c.lingerUntil-l.limits.LingerTimeout+l.limits.InFlightGrace {
			l.abort(c)
		}
	}
}

// usable counts the connections that may carry a further request.
func (c *clients) usable() (n int) {
	for h, i := c.connections.next(0); h != 0; h, i = c.connections.next(i) {
		if !c.connections.get(h).closing {
			n++
		}
	}
	return n
}

// evictionCandidate returns the idle connection to close first, or nil: the lowest usage first, then the one active
// longest ago. A connection used or opened recently is skipped, as its next request may be on its way (EvictionMinIdle,
// EvictionMinAge), and so is one whose eviction failed in this round.
func (l *loop) evictionCandidate() (candidate *connection) {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		minIdle := l.limits.EvictionMinIdle
		if c.usage == usageNone {
			minIdle = l.limits.EvictionMinAge
		}
		if c.closing || c.evictionFailedAt == l.now || c.hasUnanswered() || l.now-c.lastActive < minIdle {
			continue
		}
		if candidate == nil || c.usage < candidate.usage ||
			c.usage == candidate.usage && c.lastActive < candidate.lastActive {
			candidate = c
		}
	}
	return candidate
}

// hasUnanswered reports whether a request read on the connection has no response yet.
func (c *connection) hasUnanswered() bool {
	return c.current != 0 || len(c.pending) > 0 || c.peer.pipelined.Load() > 0
}

// closeIdle starts the close of a connection without unanswered requests, unless input is pending: a request that the
// loop has not handled, or unread bytes. With force only complete requests count. Prevents a close that crosses a
// request; see peer.seal and row "idle close" in docs/design/shutdown.md.
func (l *loop) closeIdle(c *connection, force bool) bool {
	if c.closing || c.hasUnanswered() || !c.peer.seal(force) {
		return false
	}
	l.finish(c)
	return true
}

// finish closes a sealed connection in order: its sending side is shut down after the queued responses.
func (l *loop) finish(c *connection) {
	c.closing = true
	c.lingerUntil = l.now + l.limits.LingerTimeout
	c.peer.finish()
}

// abort closes a connection at once: one without unanswered requests, or whose client reads nothing.
func (l *loop) abort(c *connection) {
	c.closing, c.closed = true, true
	l.dropPending(c)
	c.peer.close()
}

// sweep closes connections that their client should have closed, that stay in the middle of a message, or that exceed
// the idle timeout. A late sweep is skipped: after a standstill of this process connections look idle whose input is
// still unread, and closing them would leave requests without a response. See row "pause of this process" in
// docs/design/shutdown.md.
func (l *loop) sweep(due admission.Time) {
	if l.now-due >= l.limits.SweepInterval {
		return
	}
	l.evict()
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		l.sweepConnection(l.connections.get(h))
	}
}

// sweepConnection applies the timeouts to one connection. One whose message stays incomplete gets a 400 and is closed;
// one that never carried a complete message is closed. See row "first message late" in docs/design/shutdown.md.
func (l *loop) sweepConnection(c *connection) {
	incompleteSince := admission.Time(c.peer.incompleteSince.Load())
	switch {
	case c.closing:
		if !c.closed && l.now >= c.lingerUntil {
			l.abort(c)
		}
	case c.hasUnanswered():
	case incompleteSince != 0 && l.now-max(incompleteSince, c.lastActive) >= l.limits.MessageTimeout:
		if !c.peer.seal(true) {
			return // a complete message is waiting to be handled
		}
		l.counters.ClosedSilent++
		if log := l.countBadRequest(); log != nil {
			log.WithField(logging.Reason, reasonIncomplete).Info(logBadRequest)
		}
		l.sendResponse(c, wire.Response{Status: wire.StatusBadRequest, Close: true})
	case c.ending:
		l.closeIdle(c, l.now-c.lastActive >= l.limits.LingerTimeout)
	case c.usage == usageNone && l.now-c.openedAt >= l.limits.MessageTimeout:
		if l.closeIdle(c, false) {
			l.counters.ClosedSilent++
		}
	case incompleteSince == 0 && l.now-c.lastActive >= l.maxIdle(c):
		l.closeIdle(c, false)
	}
}

// maxIdle returns how long a connection may be idle.
func (l *loop) maxIdle(c *connection) admission.Time {
	if c.usage == usageHealthChecks {
		return min(l.idleTimeout, l.limits.HealthCheckIdleTimeout)
	}
	return l.idleTimeout
}

// discardLimitExceeded closes a connection whose client sends more than DiscardBytes after the seal; reading such input
// without end would occupy a core. All requests read before have their responses, as the connection is closing. See row
// "endless input" in docs/design/shutdown.md.
func (l *loop) discardLimitExceeded(p *peer) {
	if c := l.connections.get(p.handle); c != nil && c.closing && !c.closed {
		l.abort(c)
	}
}

// connectionClosed removes a connection that has ended for any reason. A request whose response was to go out on it is
// abandoned: see row "client disconnected" in docs/design/shutdown.md and row "read: ECONNRESET, ETIMEDOUT,
// EHOSTUNREACH, EPIPE, end" in docs/design/failures.md.
func (l *loop) connectionClosed(p *peer) {
	if l.listener != nil {
		l.listener.releaseSlot() // the table's slot is free by the next event
	}
	c := l.connections.get(p.handle)
	if c == nil {
		return
	}
	l.dropPending(c)
	current := c.current
	l.connections.drop(p.handle)
	p.handle = 0
	p.close()
	if r := l.requests.get(current); r != nil && !r.isAnswered() {
		r.abandon()
		l.trace(r, traceClientIsGone)
		l.counters.Abandoned++
		l.nextRound().Disconnected = append(l.nextRound().Disconnected, uint32(current))
		l.maybeFinished = append(l.maybeFinished, current)
	}
}

// dropPending releases the pending messages of a connection, which get no response.
func (l *loop) dropPending(c *connection) {
	for _, m := range c.pending {
		m.release(&l.pool)
	}
	c.pending = nil
}
