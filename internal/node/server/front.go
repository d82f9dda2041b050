// Front: the sidecars' side. It owns the listener with its bound on connections, what each connection has
// brought and is owed, and health checks. It sends exactly one answer for each req and never closes a
// connection on which an answer may still be unread: it says `Connection: close` and lets the sidecar close
// first, or waits for a while.

package server

import (
	"context"
	"errors"
	"syscall"

	"github.com/cloudwego/netpoll"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// conn is one connection of a client, as the loop knows it.
type conn struct {
	p       *peer
	open    handle // the request that is being served on it
	wait    []event
	since   admission.Time // when it was opened
	last    admission.Time // when it last carried anything
	usage   usage
	ending  bool           // it is to be closed once nothing that was read on it is owed an answer
	closing bool           // its sending side is shut down, or will be once its last answer is out
	until   admission.Time // while closing: the other side has so long to close it
	ended   bool           // this side has closed it
	passed  admission.Time // it could not be closed for room then
}

// usage is what a connection has brought whole so far.
type usage uint8

const (
	usedForNothing usage = iota
	usedForChecks
	usedForRequests
)

// serve starts to take connections.
func (l *loop) serve(ln *listener) {
	l.listener, l.accepts = ln, true
	go func() {
		ln.run(l.enter, func(err error) { l.log.Warnf("accept: %v", err) })
		l.put(event{kind: eventNoAccept})
	}()
}

// enter has netpoll read a connection that was accepted.
func (l *loop) enter(fd int) {
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil { // netpoll has closed the descriptor: it may be another's by now
		l.log.Warnf("a connection can't be read: %v", err)
		l.listener.release()
		return
	}
	p := newPeer(nc, fd, l)
	nc.SetWriteTimeout(l.limits.WriteStuck)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		p.release()
		l.put(event{kind: eventGone, from: p})
		return nil
	})
	l.put(event{kind: eventOpen, from: p})
	nc.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error { return l.heard(p, nc) })
	if !nc.IsActive() {
		nc.Close() // it ended before anybody listened for that
	}
}

func (l *loop) opened(p *peer) {
	h, c, ok := l.conns.take()
	if !ok { // the listener's bound is below the table's
		l.log.Errorf("no room in the table for a connection, which has room for %d", l.conns.most)
		p.close()
		return
	}
	p.h, c.p, c.since, c.last, l.lastConnection = h, p, l.now, l.now, l.now
	l.counters.Conns++
	l.makeRoom()
}

// makeRoom closes the connections that are of least use while there are too many: of those that have said
// nothing whole the oldest, then of those that brought checks only the one idle for longest, then of all.
// Guards against crowds that say nothing, and callers that keep what they no longer use. What crosses such a
// close is sent again by its sidecar.
func (l *loop) makeRoom() {
	l.endLingering()
	for l.conns.n > l.limits.Crowd && l.usable() > l.limits.Crowd {
		c := l.leastUsed()
		if c == nil {
			return
		}
		if l.closeIdle(c, false) {
			l.counters.Evicted++
		} else {
			c.passed = l.now
		}
	}
}

// endLingering closes connections whose other side has had the time to close them, while all places are taken.
func (l *loop) endLingering() {
	if l.conns.n < l.limits.Conns {
		return
	}
	for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
		c := l.conns.get(h)
		if c.closing && !c.ended && l.now >= c.until-l.limits.Linger+l.limits.LeaveCrosses {
			l.abort(c)
		}
	}
}

// usable counts the connections that may bring a further request.
func (l *loop) usable() (n int) {
	for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
		if !l.conns.get(h).closing {
			n++
		}
	}
	return n
}

// leastUsed finds the idle connection whose close costs least, if there is one.
func (l *loop) leastUsed() (out *conn) {
	for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
		c := l.conns.get(h)
		least := l.limits.IdleLeast
		if c.usage == usedForNothing {
			least = l.limits.SilentLeast
		}
		if c.closing || c.passed == l.now || c.owes() || l.now-c.last < least {
			continue
		}
		if out == nil || c.usage < out.usage || c.usage == out.usage && c.last < out.last {
			out = c
		}
	}
	return out
}

// owes tells whether a request that was read on the connection has no answer yet.
func (c *conn) owes() bool { return c.open != 0 || len(c.wait) > 0 || c.p.ahead.Load() > 0 }

// closeIdle begins the end of a connection on which nothing is owed, unless something is on its way: a request
// that is handed over and not taken, or bytes that are not read. With force only what was read whole counts.
func (l *loop) closeIdle(c *conn, force bool) bool {
	if c.closing || c.owes() || !c.p.seal(force) {
		return false
	}
	l.finish(c)
	return true
}

// finish ends a connection whose reading is sealed: its sending side is shut down after what waits to go out.
func (l *loop) finish(c *conn) {
	c.closing = true
	c.until = l.now + l.limits.Linger
	c.p.finish()
}

// abort closes a connection at once: on which nothing is owed, or whose other side takes nothing.
func (l *loop) abort(c *conn) {
	c.closing, c.ended = true, true
	l.passOver(c)
	c.p.close()
}

// sweep looks over all connections: those whose other side should have closed them, those that don't get to
// the end of a message, and those idle for as long as the module lets them be.
func (l *loop) sweep(at admission.Time) {
	if l.now-at >= l.limits.Sweep {
		return // this process stood still: what came meanwhile is not read yet
	}
	l.makeRoom()
	for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
		l.sweepConn(h, l.conns.get(h))
	}
}

func (l *loop) sweepConn(h handle, c *conn) {
	half := admission.Time(c.p.half.Load())
	switch {
	case c.closing:
		if !c.ended && l.now >= c.until {
			l.abort(c)
		}
	case c.owes():
	case half != 0 && l.now-max(half, c.last) >= l.limits.FirstWord:
		if !c.p.seal(true) {
			return // more of it is being read at this moment
		}
		l.counters.Silent++
		l.reply(c, h, wire.Response{Status: l.bad("a message does not get to its end"), Close: true})
	case c.ending:
		l.closeIdle(c, l.now-c.last >= l.limits.Linger)
	case c.usage == usedForNothing && l.now-c.since >= l.limits.FirstWord:
		if l.closeIdle(c, false) {
			l.counters.Silent++
		}
	case half == 0 && l.now-c.last >= l.idleMost(c):
		l.closeIdle(c, false)
	}
}

// idleMost is how long a connection may be idle.
func (l *loop) idleMost(c *conn) admission.Time {
	if c.usage == usedForChecks {
		return min(l.idleClose, l.limits.CheckIdle)
	}
	return l.idleClose
}

// flooded takes word that more comes on a sealed connection than is borne: it is closed, but not before what
// was read on it has its answer.
func (l *loop) flooded(p *peer) {
	if c := l.conns.get(p.h); c != nil && c.closing && !c.ended {
		l.abort(c)
	}
}

// left takes the end of a connection: whoever waited for an answer on it is gone.
func (l *loop) left(p *peer) {
	if l.listener != nil {
		l.listener.release() // not before: the table's slot is free from here on
	}
	c := l.conns.get(p.h)
	if c == nil {
		return
	}
	l.passOver(c)
	open := c.open
	l.conns.drop(p.h)
	p.h = 0
	p.close()
	if r := l.requests.get(open); r != nil && !r.answered {
		r.gone = true
		l.trace(r, "gone")
		r.waits = false
		l.counters.Gone++
		l.next().Gone = append(l.next().Gone, uint32(open))
		l.finishedRequests = append(l.finishedRequests, open)
	}
}

// came takes a message of a connection, or word that what came is none.
func (l *loop) came(e event) {
	c := l.conns.get(e.from.h)
	if c == nil || c.closing {
		l.pool.put(e.buf)
		return
	}
	c.last = l.now
	if c.open != 0 || len(c.wait) > 0 {
		c.wait = append(c.wait, e)
		return
	}
	l.begin(c, e)
}

// begin starts on the next message of a connection.
func (l *loop) begin(c *conn, e event) {
	h := e.from.h
	e.from.ahead.Add(-1)
	if e.kind == eventBad {
		l.reply(c, h, l.refusal(e.err))
		return
	}
	a := wire.Response{Close: e.request.Close}
	switch method, path := string(e.request.Method), string(e.request.Path); {
	case path == "/health" && method == "GET":
		l.counters.Checks++
		c.usage = max(c.usage, usedForChecks)
		if a.Status = 200; !l.healthy {
			a.Status = 503
		}
		if l.kept != nil && l.kept.mode != keptWell {
			a.Body = []byte("kept results: " + l.kept.mode + "\n")
		}
	case len(path) > 5 && path[:5] == "/rpc/" && method == "POST":
		if a.Status = l.take(c, e, path[5:], &a); a.Status != 400 {
			c.usage = usedForRequests
		}
		if a.Status == 0 {
			return
		}
		l.sayWhenToComeBack(&a)
	default:
		a.Status = l.bad("%s of path %q", method, path)
	}
	a.Close = a.Close || a.Status == 400
	l.pool.put(e.buf)
	l.reply(c, h, a)
}

// refusal answers what could not be read.
func (l *loop) refusal(err error) wire.Response {
	if errors.Is(err, errNoBuffer) { // its sender has done nothing wrong
		l.counters.Shed++
		a := wire.Response{Status: 503, Close: true}
		l.sayWhenToComeBack(&a)
		return a
	}
	return wire.Response{Status: l.bad("%v", err), Close: true}
}

// sayWhenToComeBack gives a refusal that the module was not asked about a time to come back, where the settings allow
// one.
func (l *loop) sayWhenToComeBack(a *wire.Response) {
	if a.Status == 503 && a.RetryAfterMS == 0 {
		a.RetryAfterMS = l.comeBack(&l.refusals, 0)
	}
}

// reply sends an answer on a connection and goes on to what else it has brought. What was read before a
// connection is to be closed is still answered on it: only the last answer says that it closes.
func (l *loop) reply(c *conn, h handle, a wire.Response) {
	c.open, c.last = 0, l.now
	c.ending = c.ending || a.Close || l.draining
	a.Close = c.ending && !c.owes() && c.p.seal(false)
	a.OverloadSignal, a.HasOverloadSignal = l.hint, l.hasHint
	l.scratch = wire.AppendResponse(l.scratch[:0], a)
	if !c.p.send(l.scratch, l.limits.ConnQueue) {
		l.abort(c) // it takes nothing: given up
		return
	}
	if a.Close {
		l.finish(c)
		return
	}
	if len(c.wait) > 0 {
		e := c.wait[0]
		c.wait = append(c.wait[:0], c.wait[1:]...)
		l.begin(c, e)
	}
}

// passOver lets go of what a connection has brought and no answer will go out for.
func (l *loop) passOver(c *conn) {
	for _, e := range c.wait {
		l.pool.put(e.buf)
	}
	c.wait = nil
}
