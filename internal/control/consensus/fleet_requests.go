package consensus

import (
	"context"
	"errors"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// submit calls a method of coordinator.Leader on the replica's goroutine and waits for its result. The error is that of
// the request, ErrBusy, ErrStopped, or ErrTimeout once ctx is done, after which the request may still take effect.
func submit[T any](ctx context.Context, g *Group, request func(done func(T, error))) (result T, err error) {
	type submitResult struct {
		result T
		err    error
	}
	done := make(chan submitResult, 1)
	if err = g.enqueue(func() {
		request(func(result T, err error) { done <- submitResult{result, err} })
	}); err != nil {
		return result, err
	}
	select {
	case e := <-done:
		return e.result, e.err
	case <-g.done:
		return result, ErrStopped
	case <-ctx.Done():
		return result, ErrTimeout
	}
}

// Heartbeat passes a node's heartbeat request to this instance's coordinator, which must be the leader's, and waits for
// the response.
func (g *Group) Heartbeat(ctx context.Context, r api.HeartbeatRequest) (api.HeartbeatResponse, error) {
	return submit(ctx, g, func(done func(api.HeartbeatResponse, error)) {
		g.coordinator.Heartbeat(g.replica.stateMachine.fleet, r, done)
	})
}

// PolicyOp submits an operator's operation on a policy change and waits until it is applied.
func (g *Group) PolicyOp(ctx context.Context, op policy.Op) (policy.Result, error) {
	return submit(ctx, g, func(done func(policy.Result, error)) {
		g.coordinator.SubmitPolicy(op, done)
		g.tickCoordinator(0)
	})
}

// ZoneOp submits an operator's operation on a zone and waits until it is applied.
func (g *Group) ZoneOp(ctx context.Context, op zones.Op) (zones.Result, error) {
	return submit(ctx, g, func(done func(zones.Result, error)) {
		g.coordinator.SubmitZone(g.replica.stateMachine.fleet, op, done)
		g.tickCoordinator(0)
	})
}

// Forget removes a node from the fleet's state and waits until the removal is applied here.
func (g *Group) Forget(ctx context.Context, name string) error {
	err, stopErr := callOnReplica(g, g.enqueue, func() error {
		if !g.knowsNode(name) {
			return &UnknownNodeError{name}
		}
		return g.coordinator.Forget(name)
	})
	if err = errors.Join(stopErr, err); err != nil {
		return err
	}
	for {
		listed, err := callOnReplica(g, g.enqueue, func() bool { return g.knowsNode(name) })
		if err != nil || !listed {
			return err
		}
		select {
		case <-g.View().Superseded:
		case <-ctx.Done():
			return ErrTimeout
		}
	}
}

// knowsNode must run on the replica's goroutine.
func (g *Group) knowsNode(name string) bool {
	return g.replica.stateMachine.fleet.Fleet.Lookup(name) != nil
}
