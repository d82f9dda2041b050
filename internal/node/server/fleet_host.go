package server

import (
	"umberwinch/admission"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/overlay"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
	"umberwinch/internal/retryafter"
)

// What the loop does for the fleet agent, see fleetHost.

// joinFleet readies the fleet agent, if the operator's file has one. The node is not ready until its first tick lets
// it serve.
func (l *loop) joinFleet() error {
	if l.startup.own == nil || l.startup.own.Fleet == nil {
		return nil
	}
	f, err := newFleetAgent(l, l.log, l.startup.own.Fleet, l.startup)
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

// admissionTime gives ms in the unit of the loop's times.
func admissionTime(ms agent.Milliseconds) admission.Time {
	return admission.Time(ms) * (admission.Second / 1000)
}

func (l *loop) isDraining() bool { return l.draining }

func (l *loop) kernelConnected() bool { return l.kernel.state == kernelLive }

func (l *loop) poolsEnabled() bool { return l.pools != nil || len(l.startup.own.Pools) > 0 }

func (l *loop) counts() *Counters { return &l.counters }

func (c *configuration) platform() *settings.Startup { return c.settings }

func (in *requestsInHand) isKnownKey(key string) bool { return in.idempotency.find(key) != nil }

// runsInFlight counts the runs that the kernel carries out.
func (in *requestsInHand) runsInFlight() (n int) {
	for h, i := in.requests.next(0); h != 0; h, i = in.requests.next(i) {
		if in.requests.get(h).isRunning() {
			n++
		}
	}
	return n
}

// rejectQueued rejects the requests in hand that never ran, with a time to retry after. Those that wait for the
// result of a run that goes on are answered by it.
func (l *loop) rejectQueued() {
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		r := l.requests.get(h)
		if !r.awaitsResponse() || r.run != runNotStarted || r.disk == readPending {
			continue
		}
		if e := l.idempotency.find(r.key); r.awaits == awaitsOriginal && e != nil && e.state == entryRunning {
			continue
		}
		r.setAwaits(awaitsNothing)
		// The controller is told that nobody waits for it any more, which is so once it is answered here.
		l.nextRound().Disconnected = append(l.nextRound().Disconnected, uint32(h))
		l.answer(h, r, wire.Response{Status: wire.StatusServiceUnavailable,
			RetryAfterMS: l.retryAfter(&l.fleet.retryTimes, 0)})
	}
}

// maxRetryAfterMS bounds what a rule may ask for, some days: past it the numbers could overflow.
const maxRetryAfterMS = 1e9

// retryAfter gives the next caller a time to retry after within the bound of the settings, in ms; after is when it
// would be in vain before.
func (l *loop) retryAfter(spread *retryafter.Spreader, after agent.Milliseconds) int64 {
	return spread.Next(int64(milliseconds(l.settings.MaxRetryAfter)), int64(min(after, maxRetryAfterMS)))
}

// activate has the controller and the run slots go on under another version.
func (l *loop) activate(version *overlay.Settings) {
	l.settings.Deployment = overlayDeployment(version, l.settings.Deployment)
	if l.controller != nil {
		l.controller.Adopt(l.settings.Deployment)
	}
	if l.pools != nil && version.PoolClasses != nil {
		plan := l.startup.poolPlan()
		copy(plan.Classes, version.PoolClasses)
		l.pools.Reconfigure(plan)
	}
}

// refreshReadiness has health checks and discovery told anew.
func (l *loop) refreshReadiness() { l.Health(l.controllerReady) }
