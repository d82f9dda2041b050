package server

import (
	"context"
	"syscall"

	"github.com/cloudwego/netpoll"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// Clients' connections. The loop owns the table of them: what each has brought, and what it waits for. It sends exactly
// one response for each request read, and never closes a connection on which a response may still be unread: it says
// "Connection: close" and lets the client close first, or waits for a while. A connection ends with the client's close,
// or with LingerTimeout after its sending side was shut down.

// connection is one connection of a client, as the loop knows it.
type connection struct {
	peer             *peer
	current          handle // the request that is being served on it
	pending          []clientMessage
	openedAt         admission.Time // when it was opened
	lastActive       admission.Time // when it last carried anything
	usage            connectionUsage
	ending           bool           // it is to be closed once each request read on it is answered
	closing          bool           // its sending side is shut down, or will be once its last response is out
	lingerUntil      admission.Time // while closing: the other side has so long to close it
	closed           bool           // by this side
	evictionFailedAt admission.Time // when it could not be closed to make room
}

// connectionUsage is what a connection has brought so far, of what was complete.
type connectionUsage uint8

const (
	usageNone connectionUsage = iota
	usageHealthChecks
	usageRequests
)

// serve starts to accept connections, in a goroutine that ends when the listener is stopped.
func (l *loop) serve(ln *listener) {
	l.listener, l.accepting = ln, true
	go func() {
		ln.run(l.acceptConnection, func(err error) { l.log.WithField(logging.Error, err).Warn(logAcceptFailed) })
		l.post(listenerClosed{})
	}()
}

// acceptConnection has netpoll read a connection that was accepted. It runs on the listener's goroutine.
func (l *loop) acceptConnection(fd int) {
	// Without it a response may wait for the client's acknowledgement; if it can't be had, responses are only slower.
	// See row "setsockopt of TCP_NODELAY: any" in docs/design/failures.md.
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		// Guards against a connection that holds a place for good though nothing is read of it. netpoll has closed the
		// descriptor, whose number may be another connection's by now, so only the place is given back. See row
		// "epoll_ctl on an accepted connection: any" in docs/design/failures.md.
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
		// Guards against a connection that ended before its close callback was set, of whose end the loop would never
		// hear: Close runs the callback now, once. See row "connection that ends as it is set up" in
		// docs/design/shutdown.md.
		_ = nc.Close()
	}
}

// connectionOpened takes a connection that was accepted into the table.
func (l *loop) connectionOpened(p *peer) {
	h, c, ok := l.connections.take()
	if !ok {
		// Not reached, as the listener's bound is below the table's and a place is given back only once its slot is
		// free. See row "full table" in docs/design/shutdown.md.
		l.log.WithField(logging.MaxConnections, l.connections.capacity).Error(logConnectionTableFull)
		p.close()
		return
	}
	p.handle, c.peer, c.openedAt, c.lastActive, l.lastConnection = h, p, l.now, l.now, l.now
	l.counters.Connections++
	l.evict()
}

// evict closes the connections that are of least use while more than EvictionThreshold are open: of those that have brought
// nothing complete the oldest, then of those that brought health checks alone the one idle for longest, then of all.
// Guards against clients that open connections and send nothing, and against those that keep what they no longer use:
// all places would be taken, and further clients would wait to be accepted. It holds as the listener's bound is above
// EvictionThreshold. A request that crosses such a close is sent again by its client. See row "eviction for room" in
// docs/design/shutdown.md.
func (l *loop) evict() {
	l.endLingering()
	for l.connections.used > l.limits.EvictionThreshold && l.usable() > l.limits.EvictionThreshold {
		c := l.leastUsed()
		if c == nil {
			return
		}
		if l.closeIdle(c, false) {
			l.counters.ClosedForRoom++
		} else {
			c.evictionFailedAt = l.now
		}
	}
}

// endLingering closes connections whose client has had the time to close them, while all places are taken. Guards
// against clients that never close: who waits to be accepted would wait for LingerTimeout. What could cross the end has
// come by InFlightGrace. See row "many connections that linger" in docs/design/shutdown.md.
func (l *loop) endLingering() {
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

// usable counts the connections that may bring a further request.
func (c *clients) usable() (n int) {
	for h, i := c.connections.next(0); h != 0; h, i = c.connections.next(i) {
		if !c.connections.get(h).closing {
			n++
		}
	}
	return n
}

// leastUsed finds the idle connection whose close costs least, if there is one: by what it has brought, then by when
// it was last active. One used or opened just now is left, as its next request may be on its way (EvictionMinIdle,
// EvictionMinAge); so is one whose close failed in this round.
func (l *loop) leastUsed() (out *connection) {
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		c := l.connections.get(h)
		least := l.limits.EvictionMinIdle
		if c.usage == usageNone {
			least = l.limits.EvictionMinAge
		}
		if c.closing || c.evictionFailedAt == l.now || c.hasUnanswered() || l.now-c.lastActive < least {
			continue
		}
		if out == nil || c.usage < out.usage || c.usage == out.usage && c.lastActive < out.lastActive {
			out = c
		}
	}
	return out
}

// hasUnanswered tells whether a request that was read on the connection has no response yet.
func (c *connection) hasUnanswered() bool {
	return c.current != 0 || len(c.pending) > 0 || c.peer.pipelined.Load() > 0
}

// closeIdle begins the end of a connection with no request unanswered, unless something is on its way: a request that
// is handed over and not taken, or bytes that are not read. With force only complete requests count. Guards against a
// close that crosses a request, see peer.seal and row "idle close" in docs/design/shutdown.md.
func (l *loop) closeIdle(c *connection, force bool) bool {
	if c.closing || c.hasUnanswered() || !c.peer.seal(force) {
		return false
	}
	l.finish(c)
	return true
}

// finish ends a connection whose reading is sealed: its sending side is shut down after what waits to go out.
func (l *loop) finish(c *connection) {
	c.closing = true
	c.lingerUntil = l.now + l.limits.LingerTimeout
	c.peer.finish()
}

// abort closes a connection at once: one with no request unanswered, or whose client takes nothing.
func (l *loop) abort(c *connection) {
	c.closing, c.closed = true, true
	l.dropPending(c)
	c.peer.close()
}

// sweep looks over all connections: those that their client should have closed, those that don't get to the end of a
// message, and those idle for longer than the controller allows. Guards against closing what a standstill of this
// process makes look idle, which would leave requests that came meanwhile without a response: a sweep that comes late
// is left out, and by the next one what came is read. See row "standstill of this process" in docs/design/shutdown.md.
func (l *loop) sweep(at admission.Time) {
	if l.now-at >= l.limits.SweepInterval {
		return
	}
	l.evict()
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		l.sweepConnection(l.connections.get(h))
	}
}

// sweepConnection looks over one connection, see sweep. One that does not get to the end of its first message is closed,
// after a 400 where some of it came: see row "first message late" in docs/design/shutdown.md.
func (l *loop) sweepConnection(c *connection) {
	half := admission.Time(c.peer.incompleteSince.Load())
	switch {
	case c.closing:
		if !c.closed && l.now >= c.lingerUntil {
			l.abort(c)
		}
	case c.hasUnanswered():
	case half != 0 && l.now-max(half, c.lastActive) >= l.limits.MessageTimeout:
		if !c.peer.seal(true) {
			return // more of it is being read at this moment
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
	case half == 0 && l.now-c.lastActive >= l.maxIdle(c):
		l.closeIdle(c, false)
	}
}

// maxIdle is how long a connection may be idle.
func (l *loop) maxIdle(c *connection) admission.Time {
	if c.usage == usageHealthChecks {
		return min(l.idleTimeout, l.limits.HealthCheckIdleTimeout)
	}
	return l.idleTimeout
}

// discardLimitExceeded closes a connection on which more comes after its end than is passed over. Guards against clients
// that send on and on: reading it takes a core. All that was read before is answered by then, as it is closing. See
// row "endless input" in docs/design/shutdown.md.
func (l *loop) connectionFlooded(p *peer) {
	if c := l.connections.get(p.handle); c != nil && c.closing && !c.closed {
		l.abort(c)
	}
}

// connectionClosed takes the end of a connection, whatever ended it. A request whose response was to go out on it is
// abandoned: see row "client gone" in docs/design/shutdown.md and row "read: ECONNRESET, ETIMEDOUT, EHOSTUNREACH,
// EPIPE, end" in docs/design/failures.md.
func (l *loop) connectionClosed(p *peer) {
	if l.listener != nil {
		l.listener.releaseSlot() // not before the table's slot is free, which it is by the next event
	}
	c := l.connections.get(p.handle)
	if c == nil {
		return
	}
	l.dropPending(c)
	open := c.current
	l.connections.drop(p.handle)
	p.handle = 0
	p.close()
	if r := l.requests.get(open); r != nil && !r.isAnswered() {
		r.abandon()
		l.trace(r, traceClientIsGone)
		l.counters.Abandoned++
		l.nextRound().Disconnected = append(l.nextRound().Disconnected, uint32(open))
		l.maybeFinished = append(l.maybeFinished, open)
	}
}

// dropPending releases the messages of a connection that no response will go out for.
func (l *loop) dropPending(c *connection) {
	for _, m := range c.pending {
		m.release(&l.pool)
	}
	c.pending = nil
}
