// Package server is the program on real sockets round the module.
//
// This file is the loop: the one goroutine that owns the module, the tables and the deadlines. Callbacks hand
// over what they read through one bounded queue, and wait where it is full; the loop takes what is there,
// makes one round of it, and carries out what the module decides. It must never wait for a socket.
package server

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/clock"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/pools"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/retryafter"
)

// loop is what the one goroutine owns. Callbacks reach it by events alone.
type loop struct {
	limits   Limits
	log      *logrus.Logger
	events   chan event
	pool     bufferPool
	workers  workers
	listener *listener
	accepts  bool         // the listener is open
	busy     atomic.Int64 // writers that still have something to send
	timer    *time.Timer
	dialTo   dialer
	clock    *clock.Clock
	stamps   *clock.Stamps

	pools   *pools.Pools  // nil: none
	fleet   *fleetAgent   // nil: the node serves alone
	results *resultKeeper // nil: results are kept in memory alone

	startup     *Node // the start-up file
	settings    *settings.Startup
	names       []string // of classes
	controller  *admission.Controller
	now         admission.Time
	rounds      [2]admission.Round // one is filled while the other is decided on
	filling     int
	wakePending bool // a wake-up is due and waits for its gauges

	connections     table[connection]
	requests        table[request]
	byRequestID     map[string]handle
	idempotency     idempotencyTable
	timers          timers
	kernel          kernelLink
	store           storeConnections
	discovery       discoveryLink
	maybeFinished   []handle            // that may be over
	refusals        retryafter.Spreader // by the loop itself
	deferredDials   uint64              // connections to the store that the zone's order put off
	scratch         []byte              // what is being written
	reconnectKernel bool

	ready             bool    // health checks are told
	moduleReady       bool    // what the module says of it
	overloadSignal    float64 // the value that answers carry, once the module has said one
	hasOverloadSignal bool
	idleClose         admission.Time

	drainState
	lastRequest    admission.Time // when one last came
	lastConnection admission.Time // when one last came: its first request may be on its way

	counters Counters
	debug    bool
	logged   int
	logFrom  admission.Time
}

// post hands an event over; it waits while the queue is full.
func (l *loop) post(e event) { l.events <- e }

// nextRound is the round that is being filled.
func (l *loop) nextRound() *admission.Round { return &l.rounds[l.filling] }

// maxLogLines of one interval are written; more are counted.
const maxLogLines = 20

// mayLog counts a line, and tells whether it is to be written: only a few are in each interval.
func (l *loop) mayLog() bool {
	if l.now-l.logFrom >= l.limits.LogInterval {
		if l.logged > maxLogLines {
			l.log.Warnf("%d more lines were left out", l.logged-maxLogLines)
		}
		l.logFrom, l.logged = l.now, 0
	}
	l.logged++
	return l.logged <= maxLogLines
}

// logf writes a line that may come often.
func (l *loop) logf(format string, args ...any) {
	if l.mayLog() {
		l.log.Infof(format, args...)
	}
}

// trace writes what happens to one req, when asked to by the log's level.
func (l *loop) trace(r *request, what string, args ...any) {
	if l.debug {
		l.log.WithField("req", r.id).Debugf(what, args...)
	}
}

// traceReason writes why a request gets no result.
func (l *loop) traceReason(r *request, what string, why admission.Reason) {
	if l.debug {
		l.log.WithField("req", r.id).WithField(logging.Reason, why.String()).Debug(what)
	}
}

// Run serves until the program is told to leave and all that was read is answered.
func Run(c *Node, log *logrus.Logger, signals Signals) error {
	lim := NewLimits(c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets)
	// Six tenths: the rest is for what is not Go's heap, and for peaks between collections.
	debug.SetMemoryLimit(int64(lim.MemoryMB) << 20 * 6 / 10)
	// What lives is a few MB: collections twice as often as usual cost no CPU that showed and keep the
	// memory level from early on (churn: 7.8, 8.4, 9.0 MB from half the day on; 8.4, 10.6, 10.9 as usual).
	debug.SetGCPercent(50)
	workers := newWorkers(lim.Workers)
	if err := netpoll.Configure(netpoll.Config{PollerNum: lim.Cores, LoggerOutput: &lines{log: log, clock: clock.New()},
		LoadBalance: netpoll.RoundRobin,
		Runner:      func(_ context.Context, f func()) { workers.run(f) }}); err != nil {
		return err
	}
	log.Infof("%s on %s: %g cores, %d MB, %d descriptors, %d connections, %d to the store", c.Name, c.Listen,
		c.Limits.Cores, lim.MemoryMB, c.Limits.Sockets, lim.Connections, lim.StoreConnections)
	l := newLoop(c, lim, log)
	l.workers = workers
	if err := l.joinFleet(); err != nil {
		return err
	}
	ln, err := listenPatiently(c.Listen, lim, func(err error) { log.Warnf("listen on %s: %v; tried again", c.Listen, err) })
	if err != nil {
		return fmt.Errorf("listen on %s: %w", c.Listen, err)
	}
	l.startResultKeeper()
	l.serve(ln)
	l.forward(signals)
	l.run()
	l.closeResults()
	return nil
}

func newLoop(c *Node, lim Limits, log *logrus.Logger) *loop {
	prof := c.settings
	late := admission.Time(0)
	for _, h := range prof.Deployment.Handlers {
		late = max(late, h.Timeout)
	}
	l := &loop{limits: lim, log: log, dialTo: dialTCP, debug: log.IsLevelEnabled(logrus.DebugLevel),
		events: make(chan event, lim.EventQueue), pool: bufferPool{capacity: lim.Buffers}, timer: time.NewTimer(time.Hour),
		startup: c, settings: prof,
		names:       make([]string, len(prof.Deployment.Handlers)),
		connections: newTable[connection](lim.Connections + 8), requests: newTable[request](lim.Requests), byRequestID: map[string]handle{},
		idempotency: newIdempotencyTable(lim.IdempotencyKeys, lim.ResultBytes, late), ready: true, moduleReady: true,
		// Sidecars close idle connections by themselves; until the module says more this only ends dead ones.
		idleClose: 2 * max(prof.IdleTimeout, 30*admission.Second), drainState: drainState{stopAfter: admission.Time(c.StopMS) * 10}}
	l.startClock(2 * late)
	for name, i := range prof.HandlerIndex {
		l.names[i] = name
	}
	l.kernel.link = link{peer: peerKernel, name: "kernel", addr: c.Kernel, retry: timerKernelDial,
		parser: kernelParser(lim.LinkBounds)}
	l.store = storeConnections{addr: c.Store, connections: newTable[storeConnection](lim.StoreConnections),
		parser: storeParser(lim.LinkBounds)}
	l.discovery = discoveryLink{name: c.Name, ready: true, link: link{peer: peerDiscovery, name: "control",
		addr: c.Control, retry: timerDiscoveryDial, parser: discoveryParser(lim.LinkBounds)}}
	return l
}

func (l *loop) run() {
	l.dial(&l.kernel.link)
	l.timers.set(l.now, timerReport, 0)
	l.timers.set(l.now+l.limits.SweepInterval, timerSweep, 0)
	for !l.finished() {
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
		for n := 1; n < l.limits.EventsPerRound && len(l.events) > 0; n++ {
			l.handle(<-l.events)
		}
		l.fireTimers()
		l.fleet.tick()
		l.decide()
	}
	l.log.WithFields(l.fields()).WithField("kill_in_ms", milliseconds(l.answerBy+l.killMargin-max(l.now, timeOf(l.clock.Now())))).Info("counters")
	l.showPools()
}

// fireTimers deals with every deadline that has come.
func (l *loop) fireTimers() {
	for {
		d, ok := l.timers.next(l.now)
		if !ok {
			return
		}
		switch d.kind {
		case timerWake:
			if l.now-d.at > admission.Second/100 {
				l.counters.Slow++
			}
			l.counters.Wakes++
			l.wakePending = true
			l.requestGauges()
		case timerGauges:
			if l.now >= l.kernel.gaugesBy {
				l.wakeWithoutGauges()
			}
		case timerReplay:
			l.replayTimedOut(d.subject)
		case timerCall:
			l.callTimedOut(d.subject)
		case timerReport:
			l.sendReport()
			l.timers.set(l.nextReport(), timerReport, 0)
		case timerKernelDial:
			l.dial(&l.kernel.link)
		case timerDiscoveryDial:
			l.dial(&l.discovery.link)
		case timerSweep:
			l.sweep(d.at)
			l.closeIdleStoreConnections()
			l.results.sweep()
			l.timers.set(l.now+l.limits.SweepInterval, timerSweep, 0)
		case timerIdempotencyKey:
			for _, h := range l.idempotency.expire(d.subject, l.now, &l.timers) {
				l.sharedResultReady(h, false, nil)
			}
		case timerDrain:
			l.drainTick()
		case timerResultStore:
			l.results.answerLate(d.subject)
		case timerFleet: // whatever has come is seen by tick
		}
	}
}

// decide plays rounds until nothing more has come of them.
func (l *loop) decide() {
	for {
		r := l.nextRound()
		if len(r.Arrived)+len(r.CallEnds)+len(r.CallRequests)+len(r.RunEnds)+len(r.Disconnected) == 0 && !r.TimerFired && !r.Drain {
			break
		}
		if l.controller == nil {
			*r = admission.Round{}
			break
		}
		l.filling = 1 - l.filling
		r.Now = l.now
		l.orderArrivals(r.Arrived)
		l.counters.Rounds++
		l.controller.Decide(r, l)
		*r = admission.Round{Arrived: r.Arrived[:0], CallEnds: r.CallEnds[:0], CallRequests: r.CallRequests[:0],
			RunEnds: r.RunEnds[:0], Disconnected: r.Disconnected[:0]}
	}
	l.releaseFinished()
	if l.reconnectKernel {
		l.reconnectKernel = false
		l.closeLink(&l.kernel.link, errStuck)
	}
}
