package consensus

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
)

// snapshotResult is the result of writing a snapshot.
type snapshotResult struct {
	snapshot *PendingSnapshot
	err      error
}

// enqueue queues a function for the replica's goroutine without waiting. It returns ErrStopped or ErrBusy.
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

// callOnReplica runs a function on the replica's goroutine, through one of its queues, and returns its result. The
// error is the queue's, or ErrStopped.
func callOnReplica[T any](g *Group, queue func(func()) error, f func() T) (result T, err error) {
	done := make(chan T, 1)
	if err = queue(func() { done <- f() }); err != nil {
		return result, err
	}
	select {
	case result = <-done:
		return result, nil
	case <-g.done:
		return result, ErrStopped
	}
}

// awaitResult enqueues start, which registers the waiter, and waits for its result. It returns ErrTimeout once ctx is
// done.
func (g *Group) awaitResult(ctx context.Context, w *waiter, start func()) (PutResult, error) {
	if err := g.enqueue(start); err != nil {
		return PutResult{}, err
	}
	select {
	case o := <-w.done:
		return o.result, o.err
	case <-g.done:
		return PutResult{}, ErrStopped
	case <-ctx.Done():
		w.canceled.Store(true)
		return PutResult{}, ErrTimeout
	}
}

// Put proposes a version and waits for the put's result. Errors: of the put itself, ErrBusy, ErrBarred,
// ErrLogNearLimit, ErrStopped, and ErrTimeout once ctx is done, after which the put may still be committed.
func (g *Group) Put(ctx context.Context, p Put) (PutResult, error) {
	if err := p.validate(); err != nil {
		return PutResult{}, err
	}
	w := &waiter{put: &p, done: make(chan outcome, 1)}
	started := time.Now()
	result, err := g.awaitResult(ctx, w, func() {
		if g.waiters.rejectIfFull(w) {
			return
		}
		w.sinceTick = g.ticks
		proposed := p
		if err := g.replica.Propose(&proposed); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
			w.done <- outcome{err: err}
			return
		}
		g.waiters.addPut(w)
	})
	if err == nil {
		g.metrics.putSeconds.Observe(time.Since(started).Seconds())
	}
	return result, err
}

// LinearizableView returns a view that reflects every result returned before the call, anywhere in the group. Errors
// are ErrBusy, ErrStopped, and ErrTimeout once ctx is done.
func (g *Group) LinearizableView(ctx context.Context) (*View, error) {
	w := &waiter{done: make(chan outcome, 1)}
	_, err := g.awaitResult(ctx, w, func() {
		if !g.waiters.rejectIfFull(w) {
			g.waiters.addRead(w)
		}
	})
	return g.View(), err
}

// ChangeMembers proposes a change of members and waits until applied reports true for the members. It proposes again
// after an election timeout: the proposal may have been lost, or another change was in progress.
func (g *Group) ChangeMembers(ctx context.Context, c MemberChange, applied func([]Member) bool) error {
	for {
		err, stopErr := callOnReplica(g, g.enqueue, func() error { return g.replica.ProposeMemberChange(c) })
		if stopErr != nil {
			return stopErr
		}
		isApplied, err := g.awaitMemberChange(ctx, applied, err)
		if isApplied || err != nil {
			return err
		}
	}
}

// awaitMemberChange waits for an applied change for at most an election timeout. proposeErr is the error of the
// proposal.
func (g *Group) awaitMemberChange(ctx context.Context, applied func([]Member) bool, proposeErr error) (
	isApplied bool, err error,
) {
	retry := time.NewTimer(time.Duration(g.control.ElectionTicks) * g.control.Tick)
	defer retry.Stop()
	for {
		v := g.View()
		if applied(v.Members) {
			return true, nil
		}
		if proposeErr != nil && !errors.Is(proposeErr, raft.ErrProposalDropped) {
			return false, proposeErr
		}
		select {
		case <-v.Superseded:
		case <-retry.C:
			return false, nil
		case <-ctx.Done():
			return false, fmt.Errorf("%w: another change may be under way, or no leader", ErrTimeout)
		case <-g.done:
			return false, ErrStopped
		}
	}
}

// Transfer transfers leadership to a voter, the one with the longest log if id is 0. Only the leader can.
func (g *Group) Transfer(id uint64) error {
	err, stopErr := callOnReplica(g, g.enqueue, func() error { return g.replica.Transfer(id) })
	return errors.Join(stopErr, err)
}

// Snapshot returns the state in the format that `umberctl control snapshot save` stores.
func (g *Group) Snapshot() ([][]byte, error) {
	type snapshot struct {
		parts [][]byte
		err   error
	}
	s, stopErr := callOnReplica(g, g.enqueue, func() snapshot {
		meta, state, err := g.replica.snapshotState()
		if err == nil {
			state, err = snapshotParts(meta, state)
		}
		return snapshot{state, err}
	})
	return s.parts, errors.Join(stopErr, s.err)
}
