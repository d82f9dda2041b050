package consensus

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/config"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
	"umberwinch/internal/wal"
)

// Bounds of an instance.
const (
	maxInbox   = 1024 // messages of peers that wait; past it their connections are read no further
	maxAsked   = 1024 // clients' askings that wait; past it they are turned away
	maxWaiting = 4096 // puts or reads that wait for an end
	maxRound   = 512  // of either taken up before raft is asked for its work, so that one sync serves many
)

// Errors that clients see.
var (
	ErrBusy = errors.New("too much waits already; come again")
	ErrLate = errors.New("no answer in time; ask again under the same number")
	ErrGone = errors.New("this instance is ending")
)

// View is an instance's state as last published. Nothing in it changes.
type View struct {
	Status
	Members []Member
	Lines   [][]byte
	First   uint64
	At      time.Time
	Next    chan struct{} // closed when there is a newer view

	touch time.Duration
	tick  time.Duration
}

// Away gives for how long no leader was heard; Out tells whether that is past the operator's bound, so that
// what this instance holds may be old.
func (v *View) Away() time.Duration {
	return time.Duration(v.Alone)*v.tick + max(0, time.Since(v.At)-v.tick)
}

func (v *View) Out() bool { return v.Away() > v.touch || v.Barred != "" || v.Cluster == "" }

// Line gives a version's line, nil where it is not kept.
func (v *View) Line(number uint64) []byte {
	if number < v.First || number >= v.First+uint64(len(v.Lines)) {
		return nil
	}
	return v.Lines[number-v.First]
}

// Group is an instance at work: one goroutine owns the replica; all others hand it what they have and wait.
// It never waits for a peer or a client, only for its own disk.
type Group struct {
	control  *config.Control
	log      *logrus.Logger
	rep      *Replica
	net      *transport
	trust    *trust
	inbox    chan *pb.Message
	asks     chan func()
	notes    chan func() // of the transport: never turned away
	saves    chan saveEnd
	view     atomic.Pointer[View]
	done     chan struct{} // closed when the replica's goroutine ended
	quit     chan struct{}
	ended    sync.Once
	err      error
	meters   *meters
	steward  *coordinator.Leader
	steerAt  time.Time
	toldLost bool // it was logged that the group has lost state

	puts    map[putKey][]*waiter
	waiting int
	reads   map[uint64][]*waiter
	fresh   []*waiter // reads that came this round
	readID  uint64
	ticks   uint64
}

type putKey struct {
	session string
	seq     uint64
}

type waiter struct {
	put   *Put // nil for a read
	since uint64
	end   chan answered
	gone  atomic.Bool // whoever asked went
}

type answered struct {
	answer Answer
	err    error
}

type saveEnd struct {
	save *Save
	err  error
}

func drawID() uint64 {
	var raw [8]byte
	rand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint64(raw[:])
}

// PlanOf gives what an operator's file means to a replica.
func PlanOf(c *config.Control) Plan {
	bound := int64(c.DiskMB) << 20
	return Plan{Name: c.Name, Peer: c.Peer, Listen: c.Listen, Found: c.Start == "new", Elect: c.Elect,
		Snapshot: c.SnapMB << 20, Sizes: wal.Sizes{Segment: min(4<<20, bound/16), Bound: bound}, Draw: drawID}
}

// Faults are what the laboratory does to an instance on purpose; the zero value does nothing.
type Faults struct {
	Point func(step string)   // hears of each step of Work
	Disk  func(wal.FS) wal.FS // stands between the log and its folder
	Fleet policy.Guard        // guards about nodes that are taken out
	Zones zones.Guard         // and about zones
	Level int                 // of an older program; 0: this one's
}

// Start opens the folder and begins to serve peers.
func Start(c *config.Control, log *logrus.Logger, faults Faults) (*Group, error) {
	dir, err := wal.MakeDir(c.Data)
	if err != nil {
		return nil, err
	}
	g := &Group{control: c, log: log, inbox: make(chan *pb.Message, maxInbox), asks: make(chan func(), maxAsked),
		notes: make(chan func(), maxInbox), saves: make(chan saveEnd, 1), done: make(chan struct{}),
		quit: make(chan struct{}), puts: map[putKey][]*waiter{}, reads: map[uint64][]*waiter{},
		steward: coordinator.NewLeader(faults.Fleet), steerAt: time.Now()}
	g.meters = newMeters(g)
	if g.trust, err = newTrust(c.Cert, c.Key, c.CA); err != nil {
		return nil, err
	}
	plan := PlanOf(c)
	plan.Logger, plan.Point, plan.Guards = raftLog{log}, faults.Point, faults.Fleet
	plan.Level, plan.Zones = faults.Level, faults.Zones
	g.steward.DisabledZoneGuards = faults.Zones
	var disk wal.FS = dir
	if faults.Disk != nil {
		disk = faults.Disk(dir)
	}
	g.rep, err = Open(timedFS{disk, g.meters}, plan)
	if err != nil {
		return nil, err
	}
	l, err := g.trust.listen(c.Bind)
	if err != nil {
		g.rep.Close()
		return nil, err
	}
	if f := g.rep.Found; f.Torn != "" {
		log.WithFields(logrus.Fields{"at": f.Torn, "bytes": f.Bytes}).Warn("cut off a tail that was never durable")
	}
	g.net = newTransport(g, g.trust, log, c.RateMB)
	g.publish()
	log.WithFields(logrus.Fields{logging.Node: c.Name, "id": fmt.Sprintf("%x", g.rep.ID()), "role": g.View().Role,
		logging.PolicyVersion: g.View().Version, logging.Index: g.View().Last}).Info("instance is up")
	go g.net.serve(l)
	go g.run()
	return g, nil
}

// View gives the state as last published.
func (g *Group) View() *View { return g.view.Load() }

// Done is closed when the instance has ended by itself or was stopped; Err tells why.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err gives what ended it, nil after Stop.
func (g *Group) Err() error { return g.err }

// Reload reads the certificates again.
func (g *Group) Reload() error { return g.trust.reload() }

// Stop hands the lead over if it has it, then ends.
func (g *Group) Stop(ctx context.Context) {
	if v := g.View(); v.Role == "leader" && len(v.Members) > 1 {
		g.ask(func() { g.rep.Transfer(0) })
		for v.Role == "leader" && ctx.Err() == nil {
			select {
			case <-v.Next:
			case <-ctx.Done():
			case <-g.done:
				return
			}
			v = g.View()
		}
	}
	g.ended.Do(func() { close(g.quit) })
	<-g.done
}

func (g *Group) run() {
	defer close(g.done)
	tick := time.NewTicker(g.control.Tick)
	defer tick.Stop()
	for {
		g.fresh = g.fresh[:0]
		select {
		case <-g.quit:
			g.end(nil)
			return
		case <-tick.C:
			g.tick()
		case m := <-g.inbox:
			g.rep.Step(m)
		case f := <-g.notes:
			f()
		case f := <-g.asks:
			f()
		case s := <-g.saves:
			if err := g.rep.Saved(s.save, s.err); err != nil {
				g.end(err)
				return
			}
		}
		g.more()
		if err := g.work(); err != nil {
			g.end(err)
			return
		}
	}
}

// more takes up what else waits, up to a bound.
func (g *Group) more() {
	for i := 0; i < maxRound; i++ {
		select {
		case m := <-g.inbox:
			g.rep.Step(m)
		case f := <-g.notes:
			f()
		case f := <-g.asks:
			f()
		default:
			return
		}
	}
}

func (g *Group) work() error {
	if len(g.fresh) > 0 {
		g.askRead(append([]*waiter(nil), g.fresh...))
	}
	out, err := g.rep.Work(g.net.send)
	if err != nil {
		return err
	}
	for _, r := range out.Results {
		g.meters.ends.WithLabelValues(r.Answer.End).Inc()
		key := putKey{r.Session, r.Seq}
		for _, w := range g.puts[key] {
			w.end <- answered{answer: r.Answer}
			g.waiting--
		}
		delete(g.puts, key)
	}
	g.told(out.Nodes)
	if out.Applied || len(out.Reads) > 0 {
		g.publish()
	}
	for _, id := range out.Reads {
		for _, w := range g.reads[id] {
			w.end <- answered{answer: Answer{Version: g.rep.machine.last()}}
			g.waiting--
		}
		delete(g.reads, id)
	}
	s, err := g.rep.Due()
	if s != nil && err == nil {
		go func() { g.saves <- saveEnd{s, s.Write()} }()
	}
	return err
}

// tick passes time on and asks again for what has waited for an election's time: a forwarded asking may be
// lost.
func (g *Group) tick() {
	g.ticks++
	g.rep.Tick()
	g.steer(g.passed())
	again := uint64(g.control.Elect)
	var late []*waiter
	for id, ws := range g.reads {
		if g.ticks-ws[0].since >= again {
			late = append(late, ws...)
			delete(g.reads, id)
		}
	}
	if late = g.alive(late); len(late) > 0 {
		g.askRead(late)
	}
	for key, ws := range g.puts {
		if g.ticks-ws[0].since < again {
			continue
		}
		if ws = g.alive(ws); len(ws) == 0 {
			delete(g.puts, key)
			continue
		}
		ws[0].since = g.ticks
		g.puts[key] = ws
		p := *ws[0].put
		g.rep.Propose(&p)
	}
	g.publish()
}

// alive leaves out waiters whose client went.
func (g *Group) alive(ws []*waiter) []*waiter {
	kept := ws[:0]
	for _, w := range ws {
		if w.gone.Load() {
			g.waiting--
		} else {
			kept = append(kept, w)
		}
	}
	return kept
}

func (g *Group) askRead(ws []*waiter) {
	g.readID++
	for _, w := range ws {
		w.since = g.ticks
	}
	g.reads[g.readID] = ws
	g.rep.Read(g.readID) // without a leader it is asked again
}

func (g *Group) publish() {
	s := g.rep.Status()
	was := g.view.Load()
	lines, first := g.rep.Lines()
	v := &View{Status: s, Members: g.rep.Members(), Lines: lines, First: first, At: time.Now(),
		Next: make(chan struct{}), touch: g.control.Touch, tick: g.control.Tick}
	g.view.Store(v)
	if was != nil {
		if was.Role != s.Role || was.Term != s.Term || was.Leader != s.Leader {
			g.log.WithFields(logrus.Fields{"role": s.Role, logging.Term: s.Term, "leader": fmt.Sprintf("%x", s.Leader)}).
				Info("role")
		}
		if was.Version != s.Version {
			g.log.WithFields(logrus.Fields{logging.PolicyVersion: s.Version, logging.Index: s.Applied}).Info("version in force")
		}
		if !was.Out() && v.Out() {
			g.log.WithField("away", v.Away().Round(time.Millisecond)).Warn("out of touch with a majority")
		}
		close(was.Next)
	}
	g.net.know(g.rep.Known(), g.rep.machine.removed, s.ID)
}

// end lets all go that wait. An error means that the process has to end: it is logged by whoever runs it.
func (g *Group) end(err error) {
	g.err = err
	for key, ws := range g.puts {
		for _, w := range ws {
			w.end <- answered{err: ErrGone}
		}
		delete(g.puts, key)
	}
	for id, ws := range g.reads {
		for _, w := range ws {
			w.end <- answered{err: ErrGone}
		}
		delete(g.reads, id)
	}
	closing := make(chan struct{})
	go func() { g.net.close(); close(closing) }()
	for { // the transport's goroutines may wait for an answer of ours
		select {
		case <-g.inbox:
		case f := <-g.notes:
			f()
		case f := <-g.asks:
			f()
		case <-closing:
			if g.rep.saving { // the folder is let go of once nobody writes to it
				<-g.saves
			}
			if e := g.rep.Close(); e != nil && g.err == nil {
				g.err = e
			}
			return
		}
	}
}

// ask has something done on the replica's goroutine, without waiting for it.
func (g *Group) ask(f func()) error {
	select {
	case <-g.done:
		return ErrGone
	default:
	}
	select {
	case g.asks <- f:
		return nil
	case <-g.done:
		return ErrGone
	default:
		return ErrBusy
	}
}

// Put asks for a version and waits for its end.
func (g *Group) Put(ctx context.Context, p Put) (Answer, error) {
	if err := p.valid(); err != nil {
		return Answer{}, err
	}
	w := &waiter{put: &p, end: make(chan answered, 1)}
	started := time.Now()
	a, err := g.wait(ctx, w, func() {
		if g.waiting >= maxWaiting {
			w.end <- answered{err: ErrBusy}
			return
		}
		w.since = g.ticks
		copied := p
		if err := g.rep.Propose(&copied); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
			w.end <- answered{err: err}
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

// Newest waits until the view is as new as any answer that was given before it was called.
func (g *Group) Newest(ctx context.Context) (*View, error) {
	w := &waiter{end: make(chan answered, 1)}
	_, err := g.wait(ctx, w, func() {
		if g.waiting >= maxWaiting {
			w.end <- answered{err: ErrBusy}
			return
		}
		g.waiting++
		g.fresh = append(g.fresh, w)
	})
	return g.View(), err
}

func (g *Group) wait(ctx context.Context, w *waiter, f func()) (Answer, error) {
	if err := g.ask(f); err != nil {
		return Answer{}, err
	}
	select {
	case a := <-w.end:
		return a.answer, a.err
	case <-g.done:
		return Answer{}, ErrGone
	case <-ctx.Done():
		w.gone.Store(true)
		return Answer{}, ErrLate
	}
}

// Change makes a change of members and waits until it shows, asking again where it was lost.
func (g *Group) Change(ctx context.Context, c Change, shows func([]Member) bool) error {
	for {
		err, ended := answerOf(g, g.ask, func() error { return g.rep.Change(c) })
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
			case <-v.Next:
			case <-pause.C:
				waiting = false
			case <-ctx.Done():
				return fmt.Errorf("%w: another change may be under way, or no leader", ErrLate)
			case <-g.done:
				return ErrGone
			}
		}
	}
}

// Transfer hands the lead to an instance; only the leader can.
func (g *Group) Transfer(to uint64) error {
	err, ended := answerOf(g, g.ask, func() error { return g.rep.Transfer(to) })
	return errors.Join(ended, err)
}

// SaveState gives a snapshot's bytes as `snapshot save` keeps them.
func (g *Group) SaveState() ([][]byte, error) {
	type end struct {
		parts [][]byte
		err   error
	}
	e, ended := answerOf(g, g.ask, func() end {
		meta, state, err := g.rep.state()
		if err == nil {
			state, err = snapshotParts(meta, state)
		}
		return end{state, err}
	})
	return e.parts, errors.Join(ended, e.err)
}

// answerOf has something done on the replica's goroutine, by one of its queues, and waits for what came of it; the
// error is the queue's or the group's end.
func answerOf[T any](g *Group, queue func(func()) error, f func() T) (answer T, err error) {
	got := make(chan T, 1)
	if err = queue(func() { got <- f() }); err != nil {
		return answer, err
	}
	select {
	case answer = <-got:
		return answer, nil
	case <-g.done:
		return answer, ErrGone
	}
}

// What the transport asks. Its askings wait their turn on the replica's goroutine.

func (g *Group) note(f func()) error {
	select {
	case g.notes <- f:
		return nil
	case <-g.done:
		return ErrGone
	}
}

func (g *Group) hello(to uint64) (Hello, error) {
	return answerOf(g, g.note, func() Hello { return g.rep.Hello(to) })
}

func (g *Group) meet(h Hello) (string, error) {
	type end struct {
		reason string
		err    error
	}
	e, ended := answerOf(g, g.note, func() end {
		reason, err := g.rep.Meet(h)
		return end{reason, err}
	})
	return e.reason, errors.Join(ended, e.err)
}

func (g *Group) bar(reason string) {
	g.note(func() {
		if g.rep.Barred() == "" {
			g.log.WithField(logging.Reason, reason).Error("this instance takes no part any more")
			if err := g.rep.Bar(reason); err != nil {
				g.log.WithField(logging.Error, err).Error("that could not be kept")
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

func (g *Group) lost(to uint64)             { g.tell(func() { g.rep.Lost(to) }) }
func (g *Group) snapped(to uint64, ok bool) { g.tell(func() { g.rep.Snapped(to, ok) }) }

// tell is for what may come from the replica's own goroutine, which must not wait for itself.
func (g *Group) tell(f func()) {
	select {
	case g.notes <- f:
	default:
		go g.note(f)
	}
}

var _ owner = (*Group)(nil)

// raftLog hands the core's remarks on: what it calls information is detail here.
type raftLog struct{ log *logrus.Logger }

func (l raftLog) Debug(v ...any)              { l.log.Trace(v...) }
func (l raftLog) Debugf(f string, v ...any)   { l.log.Tracef(f, v...) }
func (l raftLog) Info(v ...any)               { l.log.Debug(v...) }
func (l raftLog) Infof(f string, v ...any)    { l.log.Debugf(f, v...) }
func (l raftLog) Warning(v ...any)            { l.log.Debug(v...) }
func (l raftLog) Warningf(f string, v ...any) { l.log.Debugf(f, v...) }
func (l raftLog) Error(v ...any)              { l.log.Warn(v...) }
func (l raftLog) Errorf(f string, v ...any)   { l.log.Warnf(f, v...) }
func (l raftLog) Fatal(v ...any)              { l.log.Panic(v...) }
func (l raftLog) Fatalf(f string, v ...any)   { l.log.Panicf(f, v...) }
func (l raftLog) Panic(v ...any)              { l.log.Panic(v...) }
func (l raftLog) Panicf(f string, v ...any)   { l.log.Panicf(f, v...) }
