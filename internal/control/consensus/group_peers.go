package consensus

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/logging"
)

// This file implements messageHandler, the transport's access to the replica.

// enqueueEvent blocks until the queue has room: events of the transport are never dropped.
func (g *Group) enqueueEvent(f func()) error {
	select {
	case g.events <- f:
		return nil
	case <-g.done:
		return ErrStopped
	}
}

// enqueueEventAsync never blocks, so the replica's own goroutine may call it. While the queue is full, a goroutine
// waits for room, at most until the instance has ended.
func (g *Group) enqueueEventAsync(f func()) {
	select {
	case g.events <- f:
	default:
		go g.enqueueEvent(f)
	}
}

func (g *Group) hello(to uint64) (Hello, error) {
	return callOnReplica(g, g.enqueueEvent, func() Hello { return g.replica.HelloTo(to) })
}

func (g *Group) handleHello(h Hello) (string, error) {
	type helloResult struct {
		reason string
		err    error
	}
	result, stopErr := callOnReplica(g, g.enqueueEvent, func() helloResult {
		reason, err := g.replica.Handshake(h)
		return helloResult{reason, err}
	})
	return result.reason, errors.Join(stopErr, result.err)
}

func (g *Group) barInstance(reason string) {
	g.enqueueEvent(func() {
		if g.replica.Barred() == "" {
			g.log.WithField(logging.Reason, reason).Error("this instance is barred from the group")
			if err := g.replica.Bar(reason); err != nil {
				g.log.WithField(logging.Error, err).Error("failed to store that this instance is barred")
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
