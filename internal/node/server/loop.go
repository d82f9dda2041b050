package server

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/pools"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/retryafter"
)

// loop is the state owned by the loop's goroutine, by concern; it lives as long as the process. Other goroutines
// communicate with it by events, and share only crossGoroutine. A method that needs one concern belongs to its type,
// others to the loop.
type loop struct {
	crossGoroutine
	configuration
	loopTime
	logLimit
	counters Counters
	scratch  []byte // encoding buffer for the message being written

	decisions
	clients
	inFlightRequests
	upstreams
	readiness
	drainState

	retryTimes retryafter.Spreader // spreads the Retry-After of rejections without the controller
	fleet      *fleetAgent         // nil: the node is not part of a fleet
	results    *resultKeeper       // nil: results are kept in memory only
}

// crossGoroutine is shared with callbacks and other goroutines; each field is safe for concurrent use.
type crossGoroutine struct {
	limits  Limits // immutable
	log     *logrus.Logger
	events  chan event
	pool    bufferPool
	workers workers
	busy    atomic.Int64 // writers that are sending
}

// configuration is the node's configuration; reloads and policy versions change parts of it between rounds.
type configuration struct {
	startup  *StartupFile // the start-up file
	settings *settings.Startup
	names    []string // names of handlers by index
}

// decisions is the controller and its rounds.
type decisions struct {
	controller  *admission.Controller // nil until the kernel is up
	pools       *pools.Pools          // nil: no pools
	rounds      [2]admission.Round    // one is filled while the controller decides on the other
	filling     int                   // index of the round being filled
	wakePending bool                  // a wake-up waits for its gauges
}

// clients is the state of client connections.
type clients struct {
	listener       *listener
	accepting      bool // the listener accepts connections
	connections    table[connection]
	idleTimeout    admission.Time // connections idle for longer are closed
	lastRequest    admission.Time // when the last request was read
	lastConnection admission.Time // when the last connection was opened; its first request may be on its way
}

// inFlightRequests is the state of requests in progress and of idempotency keys.
type inFlightRequests struct {
	requests      table[request]
	byRequestID   map[string]handle
	maybeFinished []handle // to be released after the round if they are over
	idempotency   idempotencyTable
}

// upstreams are the outgoing connections.
type upstreams struct {
	dialTo          dialer
	kernel          kernelLink
	reconnectKernel bool // reopen the kernel's link after the round
	store           storeConnections
	discovery       discoveryLink
}

// readiness is the node's state as reported to clients and service discovery.
type readiness struct {
	ready             bool // as reported
	controllerReady   bool // according to the controller, without the fleet agent
	overloadSignal    float64
	hasOverloadSignal bool // overloadSignal is set and goes into each response
}

// post queues an event for the loop; it blocks while the queue is full.
func (s *crossGoroutine) post(e event) { s.events <- e }

// nextRound returns the round that is being filled.
func (d *decisions) nextRound() *admission.Round { return &d.rounds[d.filling] }

// finishRound releases requests that are over, after the controller's last use of them, requests the response
// that commands wait for, and reopens the kernel's link if requested.
func (l *loop) finishRound() {
	l.releaseFinished()
	l.requestResponse()
	if l.reconnectKernel {
		l.reconnectKernel = false
		l.closeLink(&l.kernel.link, errStuck)
	}
}

// run handles events and timers until the drain is finished.
func (l *loop) run() {
	l.dial(&l.kernel.link)
	l.timers.set(l.now, timerReport, 0)
	l.timers.set(l.now+l.limits.SweepInterval, timerSweep, 0)
	for !l.finished() {
		l.waitForEvent()
		l.handleQueuedEvents()
		l.fireTimers()
		l.fleet.tick()
		l.decide()
		l.finishRound()
	}
	killIn := l.responseDeadline + l.killMargin - max(l.now, timeOf(l.clock.Now()))
	l.log.WithFields(l.counterFields()).WithField(logging.KillInMS, milliseconds(killIn)).Info(logCounters)
	l.logPools()
}

// waitForEvent waits for the next event, which it handles, or the next timer.
func (l *loop) waitForEvent() {
	wait := time.Hour
	if at, ok := l.timers.first(); ok {
		wait = durationOf(at) - l.clock.Now()
	}
	l.timer.Reset(wait)
	select {
	case e := <-l.events:
		l.updateTime()
		l.fleet.tick()
		l.handle(e)
	case <-l.timer.C:
		l.updateTime()
	}
}

// handleQueuedEvents handles the queued events, so that one round decides on them together. The limit keeps rounds
// short while events arrive faster than they are handled.
func (l *loop) handleQueuedEvents() {
	for n := 1; n < l.limits.EventsPerRound && len(l.events) > 0; n++ {
		l.handle(<-l.events)
	}
}

// fireTimers handles all timers that are due.
func (l *loop) fireTimers() {
	for {
		t, ok := l.timers.next(l.now)
		if !ok {
			return
		}
		l.fire(t)
	}
}

// fire handles one timer.
func (l *loop) fire(t timer) {
	switch t.kind {
	case timerWake:
		l.wakeUp(t.at)
	case timerGauges:
		l.gaugesTimedOut()
	case timerReplay:
		l.replayTimedOut(t.subject)
	case timerKernelMove:
		l.moveTimedOut(t.subject)
	case timerCommandGate:
		l.sendWaiting()
	case timerDoubt:
		l.resendOverStart(t.subject)
	case timerCall:
		l.callTimedOut(t.subject)
	case timerReport:
		l.sendReport()
		l.timers.set(l.nextReport(), timerReport, 0)
	case timerKernelDial:
		l.dial(&l.kernel.link)
	case timerDiscoveryDial:
		l.dial(&l.discovery.link)
	case timerSweep:
		l.sweep(t.at)
		l.closeIdleStoreConnections()
		l.results.sweep()
		l.timers.set(l.now+l.limits.SweepInterval, timerSweep, 0)
	case timerIdempotencyKey:
		l.keyExpired(t.subject)
	case timerDrain:
		l.drainTick()
	case timerResultStore:
		l.results.answerOverdue(t.subject)
	case timerFleet: // the fleet agent's tick handles what is due
	}
}

// lateWakeUp is the delay from which a wake-up counts as late.
const lateWakeUp = admission.Second / 100

// wakeUp requests the gauges for a wake-up of the controller.
func (l *loop) wakeUp(due admission.Time) {
	if l.now-due > lateWakeUp {
		l.counters.LateWakeUps++
	}
	l.counters.WakeUps++
	l.wakePending = true
	l.requestGauges()
}

// keyExpired expires an idempotency key. Requests that wait for its result get an error.
func (l *loop) keyExpired(h handle) {
	for _, waiter := range l.idempotency.expire(h, l.now, &l.timers) {
		l.sharedResultReady(waiter, false, nil)
	}
}

// decide lets the controller decide on rounds until its decisions produce no further events.
func (l *loop) decide() {
	for {
		r := l.nextRound()
		if isEmptyRound(r) {
			return
		}
		if l.controller == nil {
			*r = admission.Round{}
			return
		}
		l.filling = 1 - l.filling
		r.Now = l.now
		l.orderArrivals(r.Arrived)
		l.counters.Rounds++
		l.controller.Decide(r, l)
		*r = admission.Round{Arrived: r.Arrived[:0], CallEnds: r.CallEnds[:0], CallRequests: r.CallRequests[:0],
			RunEnds: r.RunEnds[:0], Disconnected: r.Disconnected[:0]}
	}
}

func isEmptyRound(r *admission.Round) bool {
	return len(r.Arrived)+len(r.CallEnds)+len(r.CallRequests)+len(r.RunEnds)+len(r.Disconnected) == 0 &&
		!r.TimerFired && !r.Drain
}
