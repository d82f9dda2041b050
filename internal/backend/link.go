// Links: the three connections that the program opens itself, to kernel, store and control plane. This owns
// when they are dialled, how long after a failure they are dialled again, and which of them a piece of news
// is about: each dial has an epoch, and news of an earlier one is dropped. It must never look at what goes
// over a link.
package backend

import (
	"context"
	"errors"

	"github.com/cloudwego/netpoll"

	"umberwinch/admission"
)

var (
	errNoAnswer = errors.New("no answer in time")
	errStuck    = errors.New("the other side takes nothing")
	errClosed   = errors.New("closed by the other side")
	errGap      = errors.New("a notice is missing")
)

// link is one connection that is opened by this side.
type link struct {
	which  int
	what   string
	addr   string
	way    *way // nil while down
	epoch  uint32
	dials  bool
	wait   admission.Time // before it is dialled again, after a failure
	again  admission.Time // not before then
	armed  admission.Time // the last time for which a deadline was set
	retry  what
	parser parser
}

const (
	toKernel = iota
	toStore
	toControl
)

// dial opens a link unless that goes on already or its wait is not over.
func (l *loop) dial(k *link) {
	if k.dials || k.way != nil || k.addr == "" {
		return
	}
	if l.now < k.again {
		// Guards against a deadline more for every report that finds the link down: one is enough.
		if k.armed != k.again {
			k.armed = k.again
			l.due.set(k.again, k.retry, 0)
		}
		return
	}
	k.dials = true
	k.epoch++
	which, epoch, addr, parse := k.which, k.epoch, k.addr, k.parser
	go func() {
		c, err := netpoll.NewDialer().DialConnection("tcp", addr, l.lim.Dial)
		if err != nil {
			l.put(event{kind: newsDialled, link: which, epoch: epoch, err: err})
			return
		}
		c.SetWriteTimeout(l.lim.WriteStuck)
		in := &intake{pool: &l.pool}
		down := func(err error) { l.put(event{kind: newsDown, link: which, epoch: epoch, err: err}) }
		c.AddCloseCallback(func(netpoll.Connection) error {
			in.drop()
			down(errClosed)
			return nil
		})
		l.put(event{kind: newsDialled, link: which, epoch: epoch, conn: c})
		c.SetOnRequest(func(_ context.Context, c netpoll.Connection) error {
			err := in.read(c.Reader(), parse, func(e event) {
				e.link, e.epoch = which, epoch
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
	return [...]*link{&l.kernel.link, &l.store.link, &l.control.link}[which]
}

// dialled takes the end of a dial.
func (l *loop) dialled(e event) {
	k := l.linkOf(e.link)
	k.dials = false // one at a time, so the epoch is still its own
	if e.err != nil {
		l.linkLost(k, e.err)
		return
	}
	k.way, k.wait = &way{c: e.conn, pool: &l.pool, busy: &l.busy}, 0
	switch e.link {
	case toKernel:
		l.count.KernelLinks++
		l.kernelUp()
	case toStore:
		l.count.StoreLinks++
		l.storeUp()
	case toControl:
		l.count.ControlLinks++
		l.report()
	}
}

// linkDown gives up a link that was open.
func (l *loop) linkDown(k *link, err error) {
	if k.way == nil {
		return
	}
	k.way.close()
	k.way = nil
	k.epoch++ // whatever is still to come of it is late news
	l.linkLost(k, err)
}

// linkLost sets the wait before the next dial and tells whoever uses the link.
func (l *loop) linkLost(k *link, err error) {
	if err == nil {
		k.wait, k.again = 0, 0 // closed in good order
	} else {
		k.wait = min(max(2*k.wait, l.lim.RetryLeast), l.lim.RetryMost)
		k.again = l.now + k.wait
		l.logf("%s link: %v", k.what, err)
	}
	switch k.which {
	case toKernel:
		l.kernelDown()
		l.dial(k)
	case toStore:
		l.storeDown()
	case toControl:
		if l.control.sending {
			l.count.ReportsLost++
		}
		l.control.sending = false
		l.dial(k)
	}
}
