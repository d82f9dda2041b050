// Links: the connections that the program opens itself, to kernel, store and control plane. This owns how one
// is dialled, which dial a piece of news is about, and how long after a failure the next dial waits. What
// comes belongs to the line that brought it, and a line that is no longer its owner's is not listened to. It
// must never look at what goes over a line.

package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cloudwego/netpoll"

	"umberwinch/admission"
	"umberwinch/internal/config"
)

var (
	errNoAnswer = errors.New("no answer in time")
	errStuck    = errors.New("the other side takes nothing")
	errClosed   = errors.New("closed by the other side")
	errGap      = errors.New("a notice is missing")
)

const (
	toKernel = iota
	toStore
	toControl
)

// line is one dial and the connection that came of it.
type line struct {
	which  int
	wire   handle  // the store's, where it is one of those
	writer *writer // nil until it is open
	err    error   // it ended, maybe before the loop had heard that it began
	parser parser
}

// backoff is the wait before the next dial to one address.
type backoff struct {
	wait  admission.Time
	again admission.Time // not before then
}

// failed doubles the wait. Half of it is left to chance, so that servers which lost the same peer at the same
// moment do not come back to it together.
func (b *backoff) failed(l *loop) {
	b.wait = min(max(2*b.wait, l.limits.RetryLeast), l.limits.RetryMost)
	b.again = l.now + b.wait/2 + admission.Time(rand.Int64N(int64(b.wait/2)+1))
}

// dialer opens a connection; a seam for tests.
type dialer func(address string, within time.Duration) (netpoll.Connection, error)

func dialTCP(address string, within time.Duration) (netpoll.Connection, error) {
	return netpoll.NewDialer().DialConnection("tcp", address, within)
}

// link is the one line to kernel or control plane, replaced when it ends.
type link struct {
	backoff
	which  int
	what   string
	addr   string
	line   *line          // open, or being dialled; nil while down
	armed  admission.Time // the last time for which a deadline was set
	retry  what
	parser parser
}

func (k *link) up() bool { return k.line != nil && k.line.writer != nil }

// dial opens a link unless that goes on already or its wait is not over.
func (l *loop) dial(k *link) {
	if k.line != nil || k.addr == "" {
		return
	}
	if l.now < k.again {
		// Guards against a deadline more for every report that finds the link down: one is enough.
		if k.armed != k.again {
			k.armed = k.again
			l.deadlines.set(k.again, k.retry, 0)
		}
		return
	}
	k.line = &line{which: k.which, parser: k.parser}
	l.open(k.line, k.addr)
}

// open dials a line; what comes of it is handed over under its name.
func (l *loop) open(n *line, addr string) {
	go func() {
		c, err := l.dialTo(addr, l.limits.Dial)
		if err != nil {
			l.put(event{kind: eventDialled, line: n, err: err})
			return
		}
		c.SetWriteTimeout(l.limits.WriteStuck)
		in := &intake{pool: &l.pool}
		down := func(err error) { l.put(event{kind: eventDown, line: n, err: err}) }
		c.AddCloseCallback(func(netpoll.Connection) error {
			in.drop()
			down(errClosed)
			return nil
		})
		l.put(event{kind: eventDialled, line: n, conn: c})
		c.SetOnRequest(func(_ context.Context, c netpoll.Connection) error {
			err := in.read(c.Reader(), n.parser, func(e event) {
				e.line = n
				l.put(e)
			})
			if err != nil {
				down(err)
				c.Close()
			}
			return err
		})
		if !c.IsActive() {
			c.Close() // it ended before anybody listened for that
		}
	}()
}

func (l *loop) linkOf(which int) *link {
	if which == toKernel {
		return &l.kernel.link
	}
	return &l.control.link
}

// lined takes news of a line, unless its owner has let go of it.
func (l *loop) lined(e event) {
	n := e.line
	if e.kind == eventDown && n.err == nil {
		n.err = e.err
	}
	var w *storeConnection
	if n.which == toStore {
		w = l.store.wires.get(n.wire)
	}
	if n.which == toStore && w == nil || n.which != toStore && l.linkOf(n.which).line != n {
		if e.conn != nil {
			e.conn.Close() // dialled for an address that was replaced meanwhile
		}
		return
	}
	switch e.kind {
	case eventDialled:
		if e.err == nil {
			e.err = n.err
		}
		if e.err == nil {
			n.writer = &writer{c: e.conn, pool: &l.pool, workers: l.workers, busy: &l.busy}
			l.lineUp(n, w)
			return
		}
		if e.conn != nil {
			e.conn.Close()
		}
		l.lineLost(n, w, e.err)
	case eventDown:
		if n.writer != nil {
			l.lineLost(n, w, e.err)
		}
	case eventNotice:
		l.noticed(*e.notice)
	case eventReply:
		l.replied(n.wire, w, e.reply)
	case eventReport:
		l.reported(e.status)
	}
}

func (l *loop) lineUp(n *line, w *storeConnection) {
	switch n.which {
	case toKernel:
		l.counters.KernelLinks++
		l.kernelUp()
	case toStore:
		l.counters.StoreLinks++
		l.wireUp(n.wire, w)
	case toControl:
		l.counters.ControlLinks++
		l.controlUp()
	}
}

func (l *loop) lineLost(n *line, w *storeConnection, err error) {
	if n.which == toStore {
		l.wireLost(n.wire, w, err)
		return
	}
	l.linkDown(l.linkOf(n.which), err)
}

// linkDown gives up a link, sets the wait before the next dial and tells whoever uses it.
func (l *loop) linkDown(k *link, err error) {
	if k.line == nil {
		return
	}
	if k.line.writer != nil {
		k.line.writer.close()
	}
	k.line = nil // whatever is still to come of it is late news
	if err == nil {
		k.backoff = backoff{} // closed in good order
	} else {
		k.failed(l)
		l.logf("%s link: %v", k.what, err)
	}
	if k.which == toKernel {
		l.kernelDown()
	} else {
		l.controlDown()
	}
	l.dial(k)
}

// move has a link go to another address, at once.
func (l *loop) move(k *link, addr string) {
	if k.addr == addr {
		return
	}
	l.logf("%s link: the address is another one now", k.what)
	k.addr, k.backoff = addr, backoff{}
	if k.line == nil {
		l.dial(k)
		return
	}
	l.linkDown(k, nil)
}

// reload takes a start-up file that was read anew, or word that it can't be used: then the old one stays.
func (l *loop) reload(c *Node, err error) {
	if err != nil {
		l.log.Errorf("start-up file not taken, the old one stays: %v", err)
		return
	}
	l.counters.Reloads++
	if what := l.startup.fixed(c); what != "" {
		l.log.Warnf("start-up file: %s can't change while the program serves and stays as it was", what)
	}
	l.log.Infof("start-up file taken: kernel %s, store %s, control plane %s", c.Kernel, c.Store, c.Control)
	l.move(&l.kernel.link, c.Kernel)
	l.move(&l.control.link, c.Control)
	l.moveStore(c.Store)
	if !c.own.Fleet.Same(l.startup.own.Fleet) {
		l.log.Warn("operator's file: [fleet] can't change while the program serves and stays as it was")
		c.own.Fleet = l.startup.own.Fleet
	}
	if !config.SameKept(c.own.Kept, l.startup.own.Kept) {
		l.log.Warn("operator's file: [kept] can't change while the program serves and stays as it was")
		c.own.Kept = l.startup.own.Kept
	}
	l.movePools(c)
}
