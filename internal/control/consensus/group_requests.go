package consensus

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
)

type putKey struct {
	session string
	seq     uint64
}

type waiter struct {
	put       *Put // nil for a read
	sinceTick uint64
	done      chan outcome
	abandoned atomic.Bool // whoever asked went
}

type outcome struct {
	result PutResult
	err    error
}

type snapshotWritten struct {
	snapshot *PendingSnapshot
	err      error
}

// ask has something done on the replica's goroutine, without waiting for it.
func (g *Group) enqueue(f func()) error {
	select {
	case <-g.done:
		return ErrStopped
	default:
	}
	select {
	case g.requests <- f:
		return nil
	case <-g.done:
		return ErrStopped
	default:
		return ErrBusy
	}
}

// Put asks for a version and waits for its end.
func (g *Group) Put(ctx context.Context, p Put) (PutResult, error) {
	if err := p.valid(); err != nil {
		return PutResult{}, err
	}
	w := &waiter{put: &p, done: make(chan outcome, 1)}
	started := time.Now()
	a, err := g.await(ctx, w, func() {
		if g.waiting >= maxWaiting {
			w.done <- outcome{err: ErrBusy}
			return
		}
		w.sinceTick = g.ticks
		copied := p
		if err := g.replica.Propose(&copied); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
			w.done <- outcome{err: err}
			return
		}
		key := putKey{p.Session, p.Seq}
		g.puts[key] = append(g.puts[key], w)
		g.waiting++
	})
	if err == nil {
		g.meters.commit.Observe(time.Since(started).Seconds())
	}
	return a, err
}

// LinearizableView waits until the view is as new as any answer that was given before it was called.
func (g *Group) LinearizableView(ctx context.Context) (*View, error) {
	w := &waiter{done: make(chan outcome, 1)}
	_, err := g.await(ctx, w, func() {
		if g.waiting >= maxWaiting {
			w.done <- outcome{err: ErrBusy}
			return
		}
		g.waiting++
		g.newReads = append(g.newReads, w)
	})
	return g.View(), err
}

func (g *Group) await(ctx context.Context, w *waiter, f func()) (PutResult, error) {
	if err := g.enqueue(f); err != nil {
		return PutResult{}, err
	}
	select {
	case a := <-w.done:
		return a.result, a.err
	case <-g.done:
		return PutResult{}, ErrStopped
	case <-ctx.Done():
		w.abandoned.Store(true)
		return PutResult{}, ErrTimeout
	}
}

// Change makes a change of members and waits until it shows, asking again where it was lost.
func (g *Group) Change(ctx context.Context, c Change, shows func([]Member) bool) error {
	for {
		err, ended := callOn(g, g.enqueue, func() error { return g.replica.Change(c) })
		if ended != nil {
			return ended
		}
		pause := time.NewTimer(time.Duration(g.control.Elect) * g.control.Tick)
		for waiting := true; waiting; {
			v := g.View()
			if shows(v.Members) {
				pause.Stop()
				return nil
			}
			if err != nil && !errors.Is(err, raft.ErrProposalDropped) {
				pause.Stop()
				return err
			}
			select {
			case <-v.Superseded:
			case <-pause.C:
				waiting = false
			case <-ctx.Done():
				return fmt.Errorf("%w: another change may be under way, or no leader", ErrTimeout)
			case <-g.done:
				return ErrStopped
			}
		}
	}
}

// Transfer hands the lead to an instance; only the leader can.
func (g *Group) Transfer(to uint64) error {
	err, ended := callOn(g, g.enqueue, func() error { return g.replica.Transfer(to) })
	return errors.Join(ended, err)
}

// Snapshot gives a snapshot's bytes as `snapshot save` keeps them.
func (g *Group) Snapshot() ([][]byte, error) {
	type end struct {
		parts [][]byte
		err   error
	}
	e, ended := callOn(g, g.enqueue, func() end {
		meta, state, err := g.replica.snapshotState()
		if err == nil {
			state, err = snapshotParts(meta, state)
		}
		return end{state, err}
	})
	return e.parts, errors.Join(ended, e.err)
}

// callOn has something done on the replica's goroutine, by one of its queues, and waits for what came of it; the
// error is the queue's or the group's end.
func callOn[T any](g *Group, queue func(func()) error, f func() T) (answer T, err error) {
	got := make(chan T, 1)
	if err = queue(func() { got <- f() }); err != nil {
		return answer, err
	}
	select {
	case answer = <-got:
		return answer, nil
	case <-g.done:
		return answer, ErrStopped
	}
}
