package consensus

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/logging"
)

// This file is messageHandler: what the transport needs of the replica, run on its goroutine.

// enqueueEvent waits for a place in the queue: what the transport has to tell is never dropped.
func (g *Group) enqueueEvent(f func()) error {
	select {
	case g.events <- f:
		return nil
	case <-g.done:
		return ErrStopped
	}
}

// enqueueEventAsync is for calls that may come from the replica's own goroutine, which must not wait for itself. Where
// the queue is full a goroutine waits for a place in it, until the instance has ended at the latest.
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
			g.log.WithField(logging.Reason, reason).Error("this instance takes no part in the group any more")
			if err := g.replica.Bar(reason); err != nil {
				g.log.WithField(logging.Error, err).Error("barring this instance was not stored")
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
