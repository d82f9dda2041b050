package server

import (
	"umberwinch/admission"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/overlay"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
	"umberwinch/internal/retryafter"
)

// The loop's implementation of fleetHost.

// joinFleet creates the fleet agent if the operator's file has a fleet section. The node is not ready until a tick of
// the agent lets it serve.
func (l *loop) joinFleet() error {
	if l.startup.operator == nil || l.startup.operator.Fleet == nil {
		return nil
	}
	f, err := newFleetAgent(l, l.log, l.startup.operator.Fleet, l.startup)
	if err != nil {
		return err
	}
	l.fleet = f
	l.ready, l.discovery.ready = false, false
	return nil
}

func (l *loop) runOnLoop(f func()) { l.post(callback{f}) }

func (t *loopTime) setFleetTimer(in agent.Milliseconds) {
	t.timers.set(t.now+admissionTime(in), timerFleet, 0)
}

// admissionTime converts milliseconds to admission.Time.
func admissionTime(ms agent.Milliseconds) admission.Time {
	return admission.Time(ms) * (admission.Second / 1000)
}

func (l *loop) isDraining() bool { return l.draining }

func (l *loop) kernelConnected() bool { return l.kernel.state == kernelLive }

func (l *loop) poolsEnabled() bool { return l.pools != nil || len(l.startup.operator.Pools) > 0 }

func (l *loop) counts() *Counters { return &l.counters }

func (c *configuration) platform() *settings.Startup { return c.settings }

func (in *inFlightRequests) isKnownKey(key string) bool { return in.idempotency.find(key) != nil }

// runsInFlight counts the started runs, including those whose intent is not stored or whose command is not sent yet.
func (in *inFlightRequests) runsInFlight() (n int) {
	for h, i := in.requests.next(0); h != 0; h, i = in.requests.next(i) {
		if in.requests.get(h).isRunning() {
			n++
		}
	}
	return n
}

// rejectQueued rejects the requests whose run has not started, with a Retry-After time; reads of results go on. A
// request that waits for the result of a run in progress is left to be answered with that result.
func (l *loop) rejectQueued() {
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		r := l.requests.get(h)
		if !r.awaitsResponse() || r.run != runNotStarted || r.disk == readPending {
			continue
		}
		if e := l.idempotency.find(r.repeatKey); r.awaits == awaitsOriginal && e != nil && e.state == entryRunning {
			continue
		}
		r.setAwaits(awaitsNothing)
		// The controller sees an answered request as one whose caller disconnected.
		l.nextRound().Disconnected = append(l.nextRound().Disconnected, uint32(h))
		l.answer(h, r, wire.Response{Status: wire.StatusServiceUnavailable,
			RetryAfterMS: l.retryAfter(&l.fleet.retryTimes, 0)})
	}
}

// maxRetryAfterMS bounds the argument of retryAfter, in ms (about 11 days). Guards against overflow.
const maxRetryAfterMS = 1e9

// retryAfter returns the next Retry-After time in ms, spread over callers and within the maximum of the settings.
// Retries are known to be rejected for rejectedFor, in ms; 0 if that is unknown.
func (l *loop) retryAfter(spreader *retryafter.Spreader, rejectedFor agent.Milliseconds) int64 {
	return spreader.Next(int64(milliseconds(l.settings.MaxRetryAfter)), int64(min(rejectedFor, maxRetryAfterMS)))
}

// activate switches the controller and the pools to a policy version.
func (l *loop) activate(version *overlay.Settings) {
	l.settings.Deployment = overlayDeployment(version, l.settings.Deployment)
	if l.controller != nil {
		l.controller.Reconfigure(l.settings.Deployment)
	}
	if l.pools != nil && version.PoolClasses != nil {
		plan := l.startup.poolPlan()
		copy(plan.Classes, version.PoolClasses)
		l.pools.Reconfigure(plan)
	}
}

// refreshReadiness updates health checks and service discovery.
func (l *loop) refreshReadiness() { l.Health(l.controllerReady) }
