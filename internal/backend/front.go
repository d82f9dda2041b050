// Front: the sidecars' side. It owns the listener with its bound on connections, what each connection has
// brought and is owed, and health checks. It sends exactly one answer for each req and never closes a
// connection on which an answer may still be unread: it says `Connection: close` and lets the sidecar close
// first, or waits for a while.
package backend

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"umberwinch/admission"
	"umberwinch/internal/proto"
)

// conn is one connection of a sidecar, as the loop knows it.
type conn struct {
	p       *peer
	open    handle // the req that is being served on it
	wait    []event
	since   admission.Time // when it was opened
	last    admission.Time // when it last carried anything
	said    said
	closing bool           // what follows on it is not read
	until   admission.Time // it waits so long for the other side to close it
	ended   bool           // this side has closed it
}

// said is what a connection has brought whole so far.
type said uint8

const (
	saidNothing said = iota
	saidCheck
	saidReq
)

// peer is the same connection as its callbacks know it.
type peer struct {
	way
	h     handle // the loop's
	in    intake
	ahead atomic.Int32 // messages handed over and not begun
	half  atomic.Int64 // since when a message is not whole; 0: there is none
	deaf  bool         // what comes is passed over
	over  int          // bytes that were
}

// door is the listener. It accepts in a goroutine of its own, which alone waits while all connections are in
// use. Guards against a full table that stops all reading: netpoll's server accepts on its poller, and
// whatever waits there keeps every other connection and the links waiting too.
type door struct {
	ln   *os.File // the socket, in blocking mode
	mu   sync.Mutex
	room *sync.Cond
	in   int
	most int
}

func newDoor(addr string, most int) (*door, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer ln.Close() // the file stands for the same socket
	d := &door{most: most}
	d.room = sync.NewCond(&d.mu)
	d.ln, err = ln.(*net.TCPListener).File()
	return d, err
}

// next is the next connection, once there is room for it.
func (d *door) next(ln int) (fd int, err error) {
	d.mu.Lock()
	for d.in >= d.most {
		d.room.Wait()
	}
	d.in++
	d.mu.Unlock()
	if fd, _, err = syscall.Accept4(ln, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err != nil {
		d.left()
	}
	return fd, err
}

func (d *door) left() {
	d.mu.Lock()
	d.in--
	d.room.Signal()
	d.mu.Unlock()
}

// serve starts to take connections.
func (l *loop) serve(d *door) {
	go func() {
		var was error
		for ln := int(d.ln.Fd()); ; { // which has it block
			fd, err := d.next(ln)
			switch {
			case err == nil:
				l.enter(d, fd)
			case err != syscall.ECONNABORTED && err != syscall.EINTR:
				if was == nil {
					l.log.Warnf("accept: %v", err) // once for as long as it lasts
				}
				time.Sleep(l.lim.NoDescriptor)
			}
			was = err
		}
	}()
}

// enter has netpoll read a connection that was accepted.
func (l *loop) enter(d *door, fd int) {
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		syscall.Close(fd)
		d.left()
		return
	}
	p := &peer{way: way{c: nc, pool: &l.pool, crew: l.crew, busy: &l.busy}, in: intake{pool: &l.pool}}
	nc.SetWriteTimeout(l.lim.WriteStuck)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		p.in.drop()
		d.left()
		l.put(event{kind: newsGone, from: p})
		return nil
	})
	l.put(event{kind: newsOpen, from: p})
	nc.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error { return l.heard(p, nc) })
	if !nc.IsActive() {
		nc.Close() // it ended before anybody listened for that
	}
}

// heard reads what a connection has brought; it runs in a callback.
func (l *loop) heard(p *peer, nc netpoll.Connection) error {
	if !p.deaf {
		err := p.in.read(nc.Reader(), func(b []byte) (e event, n int, err error) {
			e.kind, e.from = newsReq, p
			if e.req, n, err = proto.ParseRequest(b, l.lim.Request); n > 0 && err == nil &&
				int(p.ahead.Add(1)) > l.lim.Ahead+1 {
				// netpoll reads on whatever is done here, so the only bound that holds is to read no more.
				err = errAhead
			}
			return e, n, err
		}, l.put)
		if err == nil {
			if p.in.buf == nil {
				p.half.Store(0)
			} else if p.half.Load() == 0 {
				p.half.Store(int64(clock()))
			}
			return nil
		}
		p.deaf = true
		p.in.drop()
		l.put(event{kind: newsBad, from: p, err: err})
	}
	n := nc.Reader().Len()
	// Guards against endless bodies: they take cores for as long as they are read, and the answer is out.
	if p.over += n; p.over > l.lim.Deaf {
		p.close()
	}
	nc.Reader().Skip(n)
	return nc.Reader().Release()
}

func (l *loop) opened(p *peer) {
	h, c, ok := l.conns.take()
	if !ok {
		p.close()
		return
	}
	p.h, c.p, c.since, c.last, l.met = h, p, l.now, l.now, l.now
	l.count.Conns++
	l.makeRoom()
}

// use orders connections by what closing them would cost.
func (c *conn) use() said {
	if c.closing {
		return saidNothing // it has its last answer
	}
	return c.said
}

// makeRoom closes the connections that are of least use while there are too many: of those that have said
// nothing whole, or had their last answer, the oldest, then of those that brought checks only the one idle
// for longest, then of all. Guards against crowds that say nothing, and callers that keep what they no longer
// use. What crosses such a close is sent again by its sidecar.
func (l *loop) makeRoom() {
	for l.conns.n > l.lim.Crowd {
		var out *conn
		n := 0
		for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
			c := l.conns.get(h)
			if c.ended {
				continue
			}
			n++
			least := l.lim.IdleLeast
			if c.said == saidNothing || c.closing {
				least = l.lim.SilentLeast
			}
			if c.open != 0 || len(c.wait) > 0 || l.now-c.last < least {
				continue
			}
			if out == nil || c.use() < out.use() || c.use() == out.use() && c.last < out.last {
				out = c
			}
		}
		if out == nil || n <= l.lim.Crowd {
			return
		}
		l.count.Evicted++
		l.closeConn(out)
	}
}

// closeConn ends a connection on which nothing is owed.
func (l *loop) closeConn(c *conn) {
	c.closing, c.ended = true, true
	l.passOver(c)
	c.p.close()
}

// sweep looks over all connections: those whose other side should have closed them, those that don't get to
// the end of a message, and those idle for as long as the module lets them be.
func (l *loop) sweep(at admission.Time) {
	if l.now-at >= l.lim.Sweep {
		return // this process stood still: what came meanwhile is not read yet
	}
	l.makeRoom()
	for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
		c := l.conns.get(h)
		half, idle := admission.Time(c.p.half.Load()), l.idle
		if c.said == saidCheck {
			idle = min(idle, l.lim.CheckIdle)
		}
		switch {
		case c.closing:
			if !c.ended && l.now >= c.until {
				l.closeConn(c)
			}
		case c.open != 0 || len(c.wait) > 0:
		case half != 0 && l.now-max(half, c.last) >= l.lim.FirstWord:
			l.count.Silent++
			l.reply(c, h, proto.Answer{Status: l.bad("a message does not get to its end"), Close: true})
		case c.said == saidNothing && l.now-c.since >= l.lim.FirstWord:
			l.count.Silent++
			l.closeConn(c)
		case half == 0 && l.now-c.last >= idle:
			l.closeConn(c)
		}
	}
}

// left takes the end of a connection: whoever waited for an answer on it is gone.
func (l *loop) left(p *peer) {
	c := l.conns.get(p.h)
	if c == nil {
		return
	}
	l.passOver(c)
	open := c.open
	l.conns.drop(p.h)
	p.h = 0
	p.close()
	if r := l.reqs.get(open); r != nil && !r.answered {
		r.gone = true
		l.trace(r, "gone")
		r.waits = false
		l.count.Gone++
		l.next().Gone = append(l.next().Gone, uint32(open))
		l.spent = append(l.spent, open)
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
	if e.kind == newsBad {
		l.reply(c, h, proto.Answer{Status: l.bad("%v", e.err), Close: true})
		return
	}
	e.from.ahead.Add(-1)
	a := proto.Answer{Close: e.req.Close}
	switch method, path := string(e.req.Method), string(e.req.Path); {
	case path == "/health" && method == "GET":
		l.count.Checks++
		c.said = max(c.said, saidCheck)
		if a.Status = 200; !l.good {
			a.Status = 503
		}
		if l.kept != nil && l.kept.mode != keptWell {
			a.Body = []byte("kept results: " + l.kept.mode + "\n")
		}
	case len(path) > 5 && path[:5] == "/rpc/" && method == "POST":
		if a.Status = l.take(c, e, path[5:], &a); a.Status != 400 {
			c.said = saidReq
		}
		if a.Status == 0 {
			return
		}
	default:
		a.Status = l.bad("%s of path %q", method, path)
	}
	a.Close = a.Close || a.Status == 400
	l.pool.put(e.buf)
	l.reply(c, h, a)
}

// reply sends an answer on a connection and goes on to what else it has brought.
func (l *loop) reply(c *conn, h handle, a proto.Answer) {
	// What was read before is still answered, on the same connection: only the last answer says that it closes.
	a.Close, a.Hint, a.Says = a.Close || l.drains && len(c.wait) == 0, l.hint, l.says
	l.out = proto.AppendAnswer(l.out[:0], a)
	if !c.p.send(l.out, l.lim.ConnQueue) {
		l.closeConn(c) // it takes nothing: given up
		return
	}
	c.open, c.last = 0, l.now
	if a.Close {
		c.closing = true
		l.passOver(c)
		c.until = l.now + l.lim.Linger
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
