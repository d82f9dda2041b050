// Package backend is the program on real sockets round the module.
//
// This file is the loop: the one goroutine that owns the module, the tables and the deadlines. Callbacks hand
// over what they read through one bounded queue, and wait where it is full; the loop takes what is there,
// makes one round of it, and carries out what the module decides. It must never wait for a socket.
package backend

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/clock"
	"umberwinch/internal/pools"
	"umberwinch/internal/profile"
	"umberwinch/internal/proto"
)

type eventKind uint8

const (
	eventOpen eventKind = iota
	eventRequest
	eventBad
	eventGone
	eventDialled
	eventDown
	eventNotice
	eventReply
	eventReport
	eventDrain
	eventCount
	eventReload
	eventFleet
	eventKept
	eventFlood    // more comes on a sealed connection than is borne
	eventNoAccept // the listener is closed, and what it had accepted was told before
)

// event is one thing handed over.
type event struct {
	kind    eventKind
	from    *peer
	line    *line
	conn    netpoll.Connection
	err     error
	buf     *buffer
	request proto.Request
	notice  *proto.Notice
	reply   proto.Reply
	status  proto.Response
	node    *Node
	job     *jobEnd
	then    func() // of the disk
}

type loop struct {
	pools    *pools.Pools // nil: none
	fleet    *fleetPart   // nil: the node serves alone
	kept     *keptPart    // nil: results are kept in memory alone
	lim      Limits
	log      *logrus.Logger
	in       chan event
	pool     pool
	workers  workers
	listener *listener
	accepts  bool         // the listener is open
	busy     atomic.Int64 // ways out that still have something to send
	timer    *time.Timer
	dialTo   dialer
	clock    *clock.Clock
	stamps   *clock.Stamps

	told  *Node // the start-up file
	prof  *profile.Profile
	names []string // of handlers
	ctl   *admission.Controller
	now   admission.Time
	gath  [2]admission.Round // one is filled while the other is decided on
	fill  int
	wakes bool // a wake-up is due and waits for its gauges

	conns     table[conn]
	requests  table[request]
	tasks     map[string]handle
	keys      keys
	due       deadlines
	kernel    kernel
	store     store
	control   control
	spent     []handle // reqs that may be over
	heldDials uint64   // connections to the store that the zone's order put off
	out       []byte   // what is being written
	relink    bool

	good   bool    // health checks are told
	health bool    // the module's word
	hint   float64 // the value that answers carry, once the module has said one
	says   bool
	idle   admission.Time
	drains bool
	stop   admission.Time // how long after the notice the kill comes
	kill   admission.Time
	before admission.Time // the kill comes so long after it
	since  admission.Time // when the notice came
	shut   admission.Time // idle connections were closed then; 0: not yet
	last   admission.Time // when a req last came
	met    admission.Time // when a connection last came: its first req may be on its way

	count   Counters
	debug   bool
	logged  int
	logFrom admission.Time
}

// timeUnit is one unit of admission.Time.
const timeUnit = time.Second / time.Duration(admission.Second)

func timeOf(d time.Duration) admission.Time     { return admission.Time(d / timeUnit) }
func durationOf(t admission.Time) time.Duration { return time.Duration(t) * timeUnit }

// startClock begins to measure time; requests are taken that reached the machine up to oldest ago.
func (l *loop) startClock(oldest admission.Time) {
	l.clock = clock.New()
	l.stamps = clock.NewStamps(l.clock.Read, durationOf(oldest))
	l.now = timeOf(l.clock.Now())
}

// lookAtClock brings the loop's time up to now, by the monotonic clock, and notices a step of the wall clock.
func (l *loop) lookAtClock() {
	now, step := l.stamps.Observe(l.clock.Read)
	if l.now = max(l.now, timeOf(now)); step != 0 {
		l.count.ClockSteps++
		l.log.Warnf("the wall clock was stepped by %v; times are measured without it", step.Round(time.Millisecond))
	}
}

// placeStamp gives the time at which a request reached the machine, by the Unix time that it states. Where the wall
// clock was stepped there may be two; the true one is not before earliest and not after latest.
func (l *loop) placeStamp(unixMilliseconds int64) (earliest, latest admission.Time, ok bool) {
	const most = int64(1<<62) / int64(time.Millisecond) // past the year 2100
	if unixMilliseconds > most {
		return 0, 0, false
	}
	stamp := time.Duration(unixMilliseconds) * time.Millisecond
	from, to, ok := l.stamps.Place(durationOf(l.now), stamp, durationOf(l.lim.FutureMost))
	return timeOf(from), timeOf(to), ok
}

// put hands an event over; it waits while the queue is full.
func (l *loop) put(e event) { l.in <- e }

// next is the round that is being filled.
func (l *loop) next() *admission.Round { return &l.gath[l.fill] }

// logf writes a line, but only a few in a second.
func (l *loop) logf(format string, args ...any) {
	if l.now-l.logFrom >= l.lim.LogEvery {
		if l.logged > 20 {
			l.log.Warnf("%d more lines were left out", l.logged-20)
		}
		l.logFrom, l.logged = l.now, 0
	}
	if l.logged++; l.logged <= 20 {
		l.log.Infof(format, args...)
	}
}

// trace writes what happens to one req, when asked to by the log's level.
func (l *loop) trace(r *request, what string, args ...any) {
	if l.debug {
		l.log.WithField("req", r.task).Debugf(what, args...)
	}
}

// Signals are what the program is told while it serves, each by a channel of its own, so that no number of one
// kind takes the place of another. Read reads the start-up file anew.
type Signals struct {
	Drain, Count, Reload <-chan os.Signal
	Read                 func() (*Node, error)
}

// NotifySignals subscribes to the signals. It is called before anything else, as a signal that comes before it
// ends the program.
func NotifySignals(drain, count, reload os.Signal) Signals {
	// One signal that waits stands for all that come meanwhile.
	subscribe := func(s os.Signal) <-chan os.Signal {
		c := make(chan os.Signal, 1)
		signal.Notify(c, s)
		return c
	}
	return Signals{Drain: subscribe(drain), Count: subscribe(count), Reload: subscribe(reload)}
}

// forward hands the signals over. A start-up file that is slow to read holds up no other signal.
func (l *loop) forward(signals Signals) {
	events := func(c <-chan os.Signal, make func() event) {
		for range c {
			l.put(make())
		}
	}
	go events(signals.Drain, func() event { return event{kind: eventDrain} })
	go events(signals.Count, func() event { return event{kind: eventCount} })
	go events(signals.Reload, func() event {
		next, err := signals.Read()
		return event{kind: eventReload, node: next, err: err}
	})
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
		c.Limits.Cores, lim.MemoryMB, c.Limits.Sockets, lim.Conns, lim.Wires)
	l := newLoop(c, lim, log)
	l.workers = workers
	if err := l.joinFleet(); err != nil {
		return err
	}
	ln, err := listenPatiently(c.Listen, lim, func(err error) { log.Warnf("listen on %s: %v; tried again", c.Listen, err) })
	if err != nil {
		return fmt.Errorf("listen on %s: %w", c.Listen, err)
	}
	l.keepResults()
	l.serve(ln)
	l.forward(signals)
	l.run()
	l.closeKept()
	return nil
}

func newLoop(c *Node, lim Limits, log *logrus.Logger) *loop {
	prof := c.prof
	late := admission.Time(0)
	for _, h := range prof.Deployment.Handlers {
		late = max(late, h.Timeout)
	}
	l := &loop{lim: lim, log: log, dialTo: dialTCP, debug: log.IsLevelEnabled(logrus.DebugLevel),
		in: make(chan event, lim.HandOver), pool: pool{most: lim.Buffers}, timer: time.NewTimer(time.Hour),
		told: c, prof: prof,
		names: make([]string, len(prof.Deployment.Handlers)),
		conns: newTable[conn](lim.Conns + 8), requests: newTable[request](lim.Reqs), tasks: map[string]handle{},
		keys: newKeys(lim.Entries, lim.Results, late), good: true, health: true,
		// Sidecars close idle connections by themselves; until the module says more this only ends dead ones.
		idle: 2 * max(prof.Idle, 30*admission.Second), stop: admission.Time(c.StopMS) * 10}
	l.startClock(2 * late)
	for name, i := range prof.Handlers {
		l.names[i] = name
	}
	bounds := lim.Line
	l.kernel.link = link{which: toKernel, what: "kernel", addr: c.Kernel, retry: dueKernel,
		parser: func(b []byte) (e event, n int, err error) {
			line, n, err := proto.Line(b, bounds.Head)
			if n == 0 || err != nil {
				return e, 0, err
			}
			note, err := proto.ParseNotice(line)
			return event{kind: eventNotice, notice: &note}, n, err
		}}
	l.store = store{addr: c.Store, wires: newTable[wire](lim.Wires),
		parser: func(b []byte) (e event, n int, err error) {
			e.kind = eventReply
			e.reply, n, err = proto.ParseReply(b, bounds)
			return e, n, err
		}}
	l.control = control{name: c.Name, ready: true, link: link{which: toControl, what: "control", addr: c.Control,
		retry: dueControl, parser: func(b []byte) (e event, n int, err error) {
			e.kind = eventReport
			e.status, n, err = proto.ParseResponse(b, bounds)
			return e, n, err
		}}}
	return l
}

func (l *loop) run() {
	l.dial(&l.kernel.link)
	l.due.set(l.now, dueReport, 0)
	l.due.set(l.now+l.lim.Sweep, dueSweep, 0)
	for !l.finished() {
		wait := time.Hour
		if at, ok := l.due.first(); ok {
			wait = durationOf(at) - l.clock.Now()
		}
		l.timer.Reset(wait)
		select {
		case e := <-l.in:
			l.lookAtClock()
			l.steer()
			l.handle(e)
		case <-l.timer.C:
			l.lookAtClock()
		}
		for n := 1; n < l.lim.PerRound && len(l.in) > 0; n++ {
			l.handle(<-l.in)
		}
		l.fire()
		l.steer()
		l.decide()
	}
	l.log.WithFields(l.fields()).WithField("kill_in_ms", inMS(l.kill+l.before-max(l.now, timeOf(l.clock.Now())))).Info("counters")
	l.showPools()
}

// handle takes one event.
func (l *loop) handle(e event) {
	switch e.kind {
	case eventOpen:
		l.opened(e.from)
	case eventRequest, eventBad:
		if e.kind == eventRequest {
			l.last = l.now
		}
		l.came(e)
		return // the message's buffer goes with the req
	case eventGone:
		l.left(e.from)
	case eventFlood:
		l.flooded(e.from)
	case eventNoAccept:
		l.accepts = false
	case eventDrain:
		l.drain()
	case eventCount:
		l.log.WithFields(l.fields()).Info("counters")
		l.showPools()
	case eventReload:
		l.reload(e.node, e.err)
	case eventFleet:
		l.fleetNews(e.job)
	case eventKept:
		e.then()
	default:
		l.lined(e)
	}
	l.pool.put(e.buf)
}

// fire deals with every deadline that has come.
func (l *loop) fire() {
	for {
		d, ok := l.due.next(l.now)
		if !ok {
			return
		}
		switch d.wh {
		case dueWake:
			if l.now-d.at > admission.Second/100 {
				l.count.Slow++
			}
			l.count.Wakes++
			l.wakes = true
			l.ask()
		case dueGauge:
			if l.now >= l.kernel.askBy {
				l.ungauged()
			}
		case dueReplay:
			l.unreplayed(d.who)
		case dueCall:
			l.callLate(d.who)
		case dueReport:
			l.report()
			l.due.set(l.now+l.lim.Report, dueReport, 0)
		case dueKernel:
			l.dial(&l.kernel.link)
		case dueControl:
			l.dial(&l.control.link)
		case dueSweep:
			l.sweep(d.at)
			l.sweepWires()
			l.sweepKept()
			l.due.set(l.now+l.lim.Sweep, dueSweep, 0)
		case dueKey:
			for _, h := range l.keys.expire(d.who, l.now, &l.due) {
				l.shareEnded(h, false, nil)
			}
		case dueLeave:
			l.leave()
		case dueKept:
			l.keptLate(d.who)
		case dueFleet: // whatever has come is seen by steer
		}
	}
}

// decide plays rounds until nothing more has come of them.
func (l *loop) decide() {
	for {
		r := l.next()
		if len(r.Arrived)+len(r.Returned)+len(r.Needs)+len(r.Ended)+len(r.Gone) == 0 && !r.Woke && !r.Drain {
			break
		}
		if l.ctl == nil {
			*r = admission.Round{}
			break
		}
		l.fill = 1 - l.fill
		r.Now = l.now
		l.arrange(r.Arrived)
		l.count.Rounds++
		l.ctl.Decide(r, l)
		*r = admission.Round{Arrived: r.Arrived[:0], Returned: r.Returned[:0], Needs: r.Needs[:0],
			Ended: r.Ended[:0], Gone: r.Gone[:0]}
	}
	l.free()
	if l.relink {
		l.relink = false
		l.linkDown(&l.kernel.link, errStuck)
	}
}

// drain takes the notice to leave.
func (l *loop) drain() {
	if l.drains {
		return
	}
	l.before = min(l.lim.LeaveBefore, l.stop/8)
	l.drains, l.since, l.kill = true, l.now, l.now+l.stop-l.before
	l.next().Drain, l.next().Kill = true, l.kill
	l.Health(false)
	l.due.set(l.now, dueLeave, 0)
	l.keptLeaves()
}

// leave sees whether nobody sends here any more, or the kill is near: then the listener takes what is complete
// and closes, idle connections are closed, what crosses that is still answered, and the loop ends. The listener
// stays open until then, as sidecars learn late that this server leaves.
func (l *loop) leave() {
	most := l.kill - admission.Second/20 // the module's last answers come after
	quiet := l.now-max(l.last, l.since) >= l.lim.LeaveQuiet && l.now-l.since >= 2*admission.Second
	if l.shut == 0 && (l.now >= most-l.lim.LeaveCrosses || quiet && l.owed() == 0) {
		l.shut = l.now
		if l.listener != nil {
			l.listener.stop()
		}
	}
	if l.shut != 0 {
		l.closeAllIdle(l.now >= most)
	}
	l.due.set(l.now+admission.Second/100, dueLeave, 0)
}

// closeAllIdle closes connections on which nothing is owed. A new one may be about to bring its first request.
func (l *loop) closeAllIdle(force bool) {
	for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
		c := l.conns.get(h)
		if force || c.usage != usedForNothing || l.now-c.since >= l.lim.LeaveCrosses {
			l.closeIdle(c, force)
		}
	}
}

// owed counts the connections on which an answer is owed.
func (l *loop) owed() (n int) {
	for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
		if l.conns.get(h).owes() {
			n++
		}
	}
	return n
}

// lingers tells whether a client may still be reading, or sending what crosses the end of its connection.
func (l *loop) lingers() bool {
	for h, i := l.conns.next(0); h != 0; h, i = l.conns.next(i) {
		c := l.conns.get(h)
		if !c.closing || l.now < c.until-l.lim.Linger+l.lim.LeaveCrosses {
			return true
		}
	}
	return false
}

// finished says whether all is said and sent.
func (l *loop) finished() bool {
	if !l.drains || l.shut == 0 || l.owed() > 0 || l.busy.Load() > 0 {
		return false // while anything is owed it's the kill that ends it
	}
	if l.now >= l.kill+l.before/2 {
		return true
	}
	return !l.accepts && !l.lingers() && l.now >= max(l.shut, l.met)+l.lim.LeaveCrosses
}

// lines carries netpoll's own log lines into the log, a few at a time.
type lines struct {
	log   *logrus.Logger
	clock *clock.Clock
	n     atomic.Int64
	sec   atomic.Int64
}

func (w *lines) Write(b []byte) (int, error) {
	if s := int64(w.clock.Now() / time.Second); w.sec.Swap(s) != s {
		w.n.Store(0)
	}
	if w.n.Add(1) <= 5 {
		w.log.Debug(string(b))
	}
	return len(b), nil
}
