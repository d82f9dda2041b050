package consensus

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/logging"
)

// What the transport asks. Its askings wait their turn on the replica's goroutine.

func (g *Group) enqueueEvent(f func()) error {
	select {
	case g.events <- f:
		return nil
	case <-g.done:
		return ErrStopped
	}
}

// tell is for what may come from the replica's own goroutine, which must not wait for itself.
func (g *Group) enqueueEventAsync(f func()) {
	select {
	case g.events <- f:
	default:
		go g.enqueueEvent(f)
	}
}

func (g *Group) hello(to uint64) (Hello, error) {
	return callOn(g, g.enqueueEvent, func() Hello { return g.replica.HelloTo(to) })
}

func (g *Group) handshake(h Hello) (string, error) {
	type end struct {
		reason string
		err    error
	}
	e, ended := callOn(g, g.enqueueEvent, func() end {
		reason, err := g.replica.Handshake(h)
		return end{reason, err}
	})
	return e.reason, errors.Join(ended, e.err)
}

func (g *Group) bar(reason string) {
	g.enqueueEvent(func() {
		if g.replica.Barred() == "" {
			g.log.WithField(logging.Reason, reason).Error("this instance takes no part any more")
			if err := g.replica.Bar(reason); err != nil {
				g.log.WithField(logging.Error, err).Error("that could not be kept")
			}
		}
	})
}

func (g *Group) receive(m *pb.Message) {
	select {
	case g.inbox <- m:
	case <-g.done:
	}
}

func (g *Group) reportUnreachable(to uint64) {
	g.enqueueEventAsync(func() { g.replica.ReportUnreachable(to) })
}

func (g *Group) reportSnapshot(to uint64, ok bool) {
	g.enqueueEventAsync(func() { g.replica.ReportSnapshot(to, ok) })
}

var _ messageHandler = (*Group)(nil)
