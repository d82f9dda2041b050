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

// loop is what the one goroutine owns, by concern. All else reaches it by events alone, but for what is shared. What
// needs one concern only is a method of that; what ties several together, such as the end of a call, is the loop's.
type loop struct {
	crossGoroutine
	configuration
	loopTime
	logLimit
	counters Counters
	scratch  []byte // the message that is being written

	decisions
	clients
	requestsInHand
	upstreams
	readiness
	drainState

	retryTimes retryafter.Spreader // spreads Retry-After of requests that the loop rejects without the controller
	fleet      *fleetAgent         // nil: the node serves alone
	results    *resultKeeper       // nil: results are kept in memory alone
}

// crossGoroutine is what callbacks of connections, dials and other goroutines use too; each field is safe for any of
// them.
type crossGoroutine struct {
	limits  Limits // never change
	log     *logrus.Logger
	events  chan event
	pool    bufferPool
	workers workers
	busy    atomic.Int64 // writers that still have something to send
}

// configuration is what the node was told: at its start, and anew while it serves.
type configuration struct {
	startup  *Node // the start-up file
	settings *settings.Startup
	names    []string // of handlers, by their index
}

// decisions is the controller and the rounds that it is given.
type decisions struct {
	controller  *admission.Controller // nil until the kernel is up
	pools       *pools.Pools          // nil: none
	rounds      [2]admission.Round    // one is filled while the other is decided on
	filling     int
	wakePending bool // a wake-up is due and waits for its gauges
}

// clients is what is known of clients' connections.
type clients struct {
	listener       *listener
	accepting      bool // the listener is open
	connections    table[connection]
	idleTimeout    admission.Time // connections idle for so long are closed
	lastRequest    admission.Time // when the last one was read
	lastConnection admission.Time // when the last one was opened: its first request may be on its way
}

// requestsInHand is what is known of requests, and of keys that their repeats share.
type requestsInHand struct {
	requests      table[request]
	byRequestID   map[string]handle
	maybeFinished []handle // looked at once the round is decided
	idempotency   idempotencyTable
}

// upstreams are the connections that the server opens itself.
type upstreams struct {
	dialTo          dialer
	kernel          kernelLink
	reconnectKernel bool // once the round is decided
	store           storeConnections
	discovery       discoveryLink
}

// readiness is what clients and service discovery learn of the node's state.
type readiness struct {
	ready             bool // as health checks say
	controllerReady   bool // by the controller alone, whatever the fleet agent says
	overloadSignal    float64
	hasOverloadSignal bool // the controller has given a signal, which each response carries
}

// post hands an event over; it waits while the queue is full.
func (s *crossGoroutine) post(e event) { s.events <- e }

// nextRound is the round that is being filled.
func (d *decisions) nextRound() *admission.Round { return &d.rounds[d.filling] }

// finishRound lets go of what is over, now that the controller names it no more.
func (l *loop) finishRound() {
	l.releaseFinished()
	if l.reconnectKernel {
		l.reconnectKernel = false
		l.closeLink(&l.kernel.link, errStuck)
	}
}

// run takes events and timers until all is answered and the drain is over.
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
	killIn := l.answerBy + l.killMargin - max(l.now, timeOf(l.clock.Now()))
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
		l.lookAtClock()
		l.fleet.tick()
		l.handle(e)
	case <-l.timer.C:
		l.lookAtClock()
	}
}

// handleQueuedEvents handles what waits already, so that one round decides on all of it. The bound keeps a round short
// while events come faster than they are handled.
func (l *loop) handleQueuedEvents() {
	for n := 1; n < l.limits.EventsPerRound && len(l.events) > 0; n++ {
		l.handle(<-l.events)
	}
}

// fireTimers deals with every timer that is due.
func (l *loop) fireTimers() {
	for {
		t, ok := l.timers.next(l.now)
		if !ok {
			return
		}
		l.fire(t)
	}
}

// fire deals with one timer.
func (l *loop) fire(t timer) {
	switch t.kind {
	case timerWake:
		l.wakeUp(t.at)
	case timerGauges:
		l.gaugesTimedOut()
	case timerReplay:
		l.replayTimedOut(t.subject)
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
		l.results.answerLate(t.subject)
	case timerFleet: // whatever is due is seen by tick
	}
}

// lateWakeUp is how late a wake-up may be before it is counted as slow.
const lateWakeUp = admission.Second / 100

// wakeUp asks for the gauges that a wake-up of the controller comes with.
func (l *loop) wakeUp(due admission.Time) {
	if l.now-due > lateWakeUp {
		l.counters.LateWakeUps++
	}
	l.counters.WakeUps++
	l.wakePending = true
	l.requestGauges()
}

// keyExpired ends what is known of an idempotency key.
func (l *loop) keyExpired(h handle) {
	for _, waiter := range l.idempotency.expire(h, l.now, &l.timers) {
		l.sharedResultReady(waiter, false, nil)
	}
}

// decide has the controller decide round after round, until its decisions bring about nothing more to decide on.
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
