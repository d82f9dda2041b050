package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
)

// Links are the connections that the server opens itself, to kernel, store and service discovery. This owns how one is
// dialled, which dial an event is of, and how long after a failure the next dial waits. An event belongs to the dial
// that brought it, and a dial that was replaced is not listened to. It never looks at what goes over a link. A link is
// dialled again for as long as the process serves.

// Why a link is closed.
var (
	errNoAnswer = errors.New("no answer in time")
	errStuck    = errors.New("the other side takes nothing")
	errClosed   = errors.New("closed by the other side")
	// errEventGap: the kernel's next event is not the one after the last.
	errEventGap = errors.New("an event of the kernel is missing")
)

// Other sides of links.
const (
	peerKernel = iota
	peerStore
	peerDiscovery
)

// dialed is one dial and the connection that came of it.
type dialed struct {
	peer      int
	storeConn handle  // the store's, where it is one of those
	writer    *writer // nil until it is open
	err       error   // it ended, maybe before the loop has handled its linkDialed
	parser    linkParser
}

// backoff is the wait before the next dial to one address.
type backoff struct {
	delay     admission.Time
	notBefore admission.Time // not before then
}

// failed doubles the wait, within MinBackoff and MaxBackoff. Half of it is left to chance, so that servers which lost
// the same peer at the same moment don't come back to it together. It harms only what needs the peer meanwhile. See row
// "socket, connect: any" in docs/design/failures.md.
func (b *backoff) failed(now admission.Time, limits *Limits) {
	b.delay = min(max(2*b.delay, limits.MinBackoff), limits.MaxBackoff)
	b.notBefore = now + b.delay/2 + admission.Time(rand.Int64N(int64(b.delay/2)+1))
}

// linkParser reads the first message of what came over a dial; n is 0 while it is incomplete.
type linkParser func(from *dialed, b *buffer) (e event, n int, err error)

// dialer opens a connection; a seam for tests.
type dialer func(address string, within time.Duration) (netpoll.Connection, error)

func dialTCP(address string, within time.Duration) (netpoll.Connection, error) {
	return netpoll.NewDialer().DialConnection("tcp", address, within)
}

// link is the one connection to kernel or service discovery, replaced when it ends.
type link struct {
	backoff
	peer        int
	name        string
	addr        string
	dialed      *dialed        // open, or being dialled; nil while down
	timerSetFor admission.Time // the last time for which a timer was set
	retry       timerKind
	parser      linkParser
}

func (k *link) up() bool { return k.dialed != nil && k.dialed.writer != nil }

// dial opens a link unless that goes on already or its wait is not over.
func (l *loop) dial(k *link) {
	if k.dialed != nil || k.addr == "" {
		return
	}
	if l.now < k.notBefore {
		// Guards against a timer more for each report that finds the link down: one is enough.
		if k.timerSetFor != k.notBefore {
			k.timerSetFor = k.notBefore
			l.timers.set(k.notBefore, k.retry, 0)
		}
		return
	}
	k.dialed = &dialed{peer: k.peer, parser: k.parser}
	l.open(k.dialed, k.addr)
}

// open dials in a goroutine of its own, which ends with the dial; each event of the connection names the dial. The
// connection belongs to the dial's writer from linkDialed on, and is closed there where the dial was replaced; its
// intake ends with its close callback.
func (l *loop) open(n *dialed, addr string) {
	go func() {
		c, err := l.dialTo(addr, l.limits.DialTimeout)
		if err != nil {
			l.post(&linkDialed{dialed: n, err: err})
			return
		}
		c.SetWriteTimeout(l.limits.WriteTimeout)
		in := &intake{pool: &l.pool}
		c.AddCloseCallback(func(netpoll.Connection) error {
			in.drop()
			l.post(&linkClosed{dialed: n, err: errClosed})
			return nil
		})
		l.post(&linkDialed{dialed: n, conn: c})
		parse := func(b *buffer) (event, int, error) { return n.parser(n, b) }
		c.SetOnRequest(func(_ context.Context, c netpoll.Connection) error {
			err := in.read(c.Reader(), parse, l.post)
			if err != nil {
				l.post(&linkClosed{dialed: n, err: err})
				_ = c.Close() // it can't be read: its end is all that counts
			}
			return err
		})
		if !c.IsActive() {
			// It ended before its close callback was set, which runs now. See row "connection that ends as it is set
			// up" in docs/design/shutdown.md.
			_ = c.Close()
		}
	}()
}

// linkOf gives the link to kernel or service discovery.
func (u *upstreams) linkOf(which int) *link {
	if which == peerKernel {
		return &u.kernel.link
	}
	return &u.discovery.link
}

// isCurrent says whether a dial is still the one that its owner goes by. Guards against late events of a dial that was
// given up, such as one to an address that was replaced meanwhile: its replies would count for calls that go out anew.
// It holds as each event names its dial. See row "dial that was replaced" in docs/design/shutdown.md.
func (u *upstreams) isCurrent(n *dialed) bool {
	if n.peer == peerStore {
		c := u.store.connections.get(n.storeConn)
		return c != nil && c.dialed == n
	}
	return u.linkOf(n.peer).dialed == n
}

// linkDialed takes what came of a dial. The connection may have ended before this event was handled.
func (l *loop) linkDialed(e *linkDialed) {
	n, err := e.dialed, e.err
	if err == nil {
		err = n.err
	}
	current := l.isCurrent(n)
	if current && err == nil {
		n.writer = l.newWriter(e.conn)
		l.linkOpened(n)
		return
	}
	if e.conn != nil {
		_ = e.conn.Close() // nothing was sent on it
	}
	if current {
		l.linkLost(n, err)
	}
}

// linkClosed takes the end of a connection. Where that is handled before its beginning it is kept for linkDialed, or
// the link would count as open for good. See row "connection that ends as it is set up" in docs/design/shutdown.md.
func (l *loop) linkClosed(e *linkClosed) {
	n := e.dialed
	if n.err == nil {
		n.err = e.err
	}
	if l.isCurrent(n) && n.writer != nil {
		l.linkLost(n, e.err)
	}
}

// linkOpened tells whoever uses a link that it is up.
func (l *loop) linkOpened(n *dialed) {
	switch n.peer {
	case peerKernel:
		l.counters.KernelLinks++
		l.kernelUp()
	case peerStore:
		l.counters.StoreLinks++
		l.storeConnected(n.storeConn, l.store.connections.get(n.storeConn))
	case peerDiscovery:
		l.counters.DiscoveryLinks++
		l.discoveryUp()
	}
}

// linkLost tells whoever uses a link that it is down.
func (l *loop) linkLost(n *dialed, err error) {
	if n.peer == peerStore {
		l.storeConnectionLost(n.storeConn, l.store.connections.get(n.storeConn), err)
		return
	}
	l.closeLink(l.linkOf(n.peer), err)
}

// closeLink gives up a link, sets the wait before the next dial and tells whoever uses it.
func (l *loop) closeLink(k *link, err error) {
	if k.dialed == nil {
		return
	}
	if k.dialed.writer != nil {
		k.dialed.writer.close()
	}
	k.dialed = nil // events of it that are still to come are passed over
	if err == nil {
		k.backoff = backoff{} // closed in good order
	} else {
		k.failed(l.now, &l.limits)
		if log := l.limitLog(); log != nil {
			log.WithFields(logrus.Fields{logging.Link: k.name, logging.Error: err}).Info(logLinkLost)
		}
	}
	if k.peer == peerKernel {
		l.kernelDown()
	} else {
		l.discoveryDown()
	}
	l.dial(k)
}

// moveLink has a link go to another address, at once.
func (l *loop) moveLink(k *link, addr string) {
	if k.addr == addr {
		return
	}
	if log := l.limitLog(); log != nil {
		log.WithFields(logrus.Fields{logging.Link: k.name, logging.Address: addr}).Info(logLinkMoved)
	}
	k.addr, k.backoff = addr, backoff{}
	if k.dialed == nil {
		l.dial(k)
		return
	}
	l.closeLink(k, nil)
}
