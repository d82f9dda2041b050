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
	maxInbox         = 1024 // messages of peers that wait; past it their connections are read no further
	maxRequests      = 1024 // clients' askings that wait; past it they are turned away
	maxWaiting       = 4096 // puts or reads that wait for an end
	maxTasksPerRound = 512  // of either taken up before raft is asked for its work, so that one sync serves many
)

// Errors that clients see.
var (
	ErrBusy    = errors.New("too much waits already; come again")
	ErrTimeout = errors.New("no answer in time; ask again under the same number")
	ErrStopped = errors.New("this instance is ending")
)

// View is an instance's state as last published. Nothing in it changes.
type View struct {
	Status
	Members      []Member
	Versions     [][]byte
	FirstVersion uint64
	PublishedAt  time.Time
	Superseded   chan struct{} // closed when there is a newer view

	contactTimeout time.Duration
	tick           time.Duration
}

// SinceLeader gives for how long no leader was heard; Out tells whether that is past the operator's bound, so that
// what this instance holds may be old.
func (v *View) SinceLeader() time.Duration {
	return time.Duration(v.TicksSinceLeader)*v.tick + max(0, time.Since(v.PublishedAt)-v.tick)
}

func (v *View) OutOfContact() bool {
	return v.SinceLeader() > v.contactTimeout || v.Barred != "" || v.Cluster == ""
}

// VersionJSON gives a version's line, nil where it is not kept.
func (v *View) VersionJSON(number uint64) []byte {
	if number < v.FirstVersion || number >= v.FirstVersion+uint64(len(v.Versions)) {
		return nil
	}
	return v.Versions[number-v.FirstVersion]
}

// Group is an instance at work: one goroutine owns the replica; all others hand it what they have and wait.
// It never waits for a peer or a client, only for its own disk.
type Group struct {
	control          *config.Control
	log              *logrus.Logger
	replica          *Replica
	transport        *transport
	trust            *credentials
	inbox            chan *pb.Message
	requests         chan func()
	events           chan func() // of the transport: never turned away
	snapshotsWritten chan snapshotWritten
	view             atomic.Pointer[View]
	done             chan struct{} // closed when the replica's goroutine ended
	stopping         chan struct{}
	stopOnce         sync.Once
	err              error
	meters           *metrics
	leader           *coordinator.Leader
	leaderTickedAt   time.Time
	stateLossLogged  bool // it was logged that the group has lost state

	puts     map[putKey][]*waiter
	waiting  int
	reads    map[uint64][]*waiter
	newReads []*waiter // reads that came this round
	readID   uint64
	ticks    uint64
}

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

func randomID() uint64 {
	var raw [8]byte
	rand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint64(raw[:])
}

// ConfigFrom gives what an operator's file means to a replica.
func ConfigFrom(c *config.Control) Config {
	bound := int64(c.DiskMB) << 20
	return Config{Name: c.Name, Peer: c.Peer, Listen: c.Listen, FoundGroup: c.Start == "new", ElectionTicks: c.Elect,
		SnapshotBytes: c.SnapMB << 20, Sizes: wal.Sizes{Segment: min(4<<20, bound/16), Bound: bound}, Random: randomID}
}

// Faults are what the laboratory does to an instance on purpose; the zero value does nothing.
type Faults struct {
	OnStep               func(step string)   // hears of each step of Work
	WrapDisk             func(wal.FS) wal.FS // stands between the log and its folder
	DisabledPolicyGuards policy.Guard        // guards about nodes that are taken out
	DisabledZoneGuards   zones.Guard         // and about zones
	Level                int                 // of an older program; 0: this one's
}

// Start opens the folder and begins to serve peers.
func Start(c *config.Control, log *logrus.Logger, faults Faults) (*Group, error) {
	dir, err := wal.MakeDir(c.Data)
	if err != nil {
		return nil, err
	}
	g := &Group{control: c, log: log, inbox: make(chan *pb.Message, maxInbox), requests: make(chan func(), maxRequests),
		events: make(chan func(), maxInbox), snapshotsWritten: make(chan snapshotWritten, 1), done: make(chan struct{}),
		stopping: make(chan struct{}), puts: map[putKey][]*waiter{}, reads: map[uint64][]*waiter{},
		leader: coordinator.NewLeader(faults.DisabledPolicyGuards), leaderTickedAt: time.Now()}
	g.meters = newMetrics(g)
	if g.trust, err = loadCredentials(c.Cert, c.Key, c.CA); err != nil {
		return nil, err
	}
	plan := ConfigFrom(c)
	plan.Logger, plan.OnStep, plan.DisabledPolicyGuards = raftLog{log}, faults.OnStep, faults.DisabledPolicyGuards
	plan.Level, plan.DisabledZoneGuards = faults.Level, faults.DisabledZoneGuards
	g.leader.DisabledZoneGuards = faults.DisabledZoneGuards
	var disk wal.FS = dir
	if faults.WrapDisk != nil {
		disk = faults.WrapDisk(dir)
	}
	g.replica, err = Open(timedFS{disk, g.meters}, plan)
	if err != nil {
		return nil, err
	}
	l, err := g.trust.listen(c.Bind)
	if err != nil {
		g.replica.Close()
		return nil, err
	}
	if f := g.replica.LogRepair; f.Torn != "" {
		log.WithFields(logrus.Fields{"at": f.Torn, "bytes": f.Bytes}).Warn("cut off a tail that was never durable")
	}
	g.transport = newTransport(g, g.trust, log, c.RateMB)
	g.publish()
	log.WithFields(logrus.Fields{logging.Node: c.Name, "id": fmt.Sprintf("%x", g.replica.ID()), "role": g.View().Role,
		logging.PolicyVersion: g.View().Version, logging.Index: g.View().LastIndex}).Info("instance is up")
	go g.transport.serve(l)
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
		g.enqueue(func() { g.replica.Transfer(0) })
		for v.Role == "leader" && ctx.Err() == nil {
			select {
			case <-v.Superseded:
			case <-ctx.Done():
			case <-g.done:
				return
			}
			v = g.View()
		}
	}
	g.stopOnce.Do(func() { close(g.stopping) })
	<-g.done
}

func (g *Group) run() {
	defer close(g.done)
	tick := time.NewTicker(g.control.Tick)
	defer tick.Stop()
	for {
		g.newReads = g.newReads[:0]
		select {
		case <-g.stopping:
			g.shutDown(nil)
			return
		case <-tick.C:
			g.tick()
		case m := <-g.inbox:
			g.replica.Step(m)
		case f := <-g.events:
			f()
		case f := <-g.requests:
			f()
		case s := <-g.snapshotsWritten:
			if err := g.replica.SnapshotWritten(s.snapshot, s.err); err != nil {
				g.shutDown(err)
				return
			}
		}
		g.drainQueues()
		if err := g.work(); err != nil {
			g.shutDown(err)
			return
		}
	}
}

// more takes up what else waits, up to a bound.
func (g *Group) drainQueues() {
	for i := 0; i < maxTasksPerRound; i++ {
		select {
		case m := <-g.inbox:
			g.replica.Step(m)
		case f := <-g.events:
			f()
		case f := <-g.requests:
			f()
		default:
			return
		}
	}
}

func (g *Group) work() error {
	if len(g.newReads) > 0 {
		g.requestRead(append([]*waiter(nil), g.newReads...))
	}
	out, err := g.replica.Work(g.transport.send)
	if err != nil {
		return err
	}
	for _, r := range out.Puts {
		g.meters.ends.WithLabelValues(r.Result.Outcome).Inc()
		key := putKey{r.Session, r.Seq}
		for _, w := range g.puts[key] {
			w.done <- outcome{result: r.Result}
			g.waiting--
		}
		delete(g.puts, key)
	}
	g.operationsApplied(out.Operations)
	if out.Applied || len(out.Reads) > 0 {
		g.publish()
	}
	for _, id := range out.Reads {
		for _, w := range g.reads[id] {
			w.done <- outcome{result: PutResult{Version: g.replica.stateMachine.lastVersion()}}
			g.waiting--
		}
		delete(g.reads, id)
	}
	s, err := g.replica.SnapshotIfDue()
	if s != nil && err == nil {
		go func() { g.snapshotsWritten <- snapshotWritten{s, s.Write()} }()
	}
	return err
}

// tick passes time on and asks again for what has waited for an election's time: a forwarded asking may be
// lost.
func (g *Group) tick() {
	g.ticks++
	g.replica.Tick()
	g.tickLeader(g.elapsedMS())
	again := uint64(g.control.Elect)
	var late []*waiter
	for id, ws := range g.reads {
		if g.ticks-ws[0].sinceTick >= again {
			late = append(late, ws...)
			delete(g.reads, id)
		}
	}
	if late = g.dropAbandoned(late); len(late) > 0 {
		g.requestRead(late)
	}
	for key, ws := range g.puts {
		if g.ticks-ws[0].sinceTick < again {
			continue
		}
		if ws = g.dropAbandoned(ws); len(ws) == 0 {
			delete(g.puts, key)
			continue
		}
		ws[0].sinceTick = g.ticks
		g.puts[key] = ws
		p := *ws[0].put
		g.replica.Propose(&p)
	}
	g.publish()
}

// alive leaves out waiters whose client went.
func (g *Group) dropAbandoned(ws []*waiter) []*waiter {
	kept := ws[:0]
	for _, w := range ws {
		if w.abandoned.Load() {
			g.waiting--
		} else {
			kept = append(kept, w)
		}
	}
	return kept
}

func (g *Group) requestRead(ws []*waiter) {
	g.readID++
	for _, w := range ws {
		w.sinceTick = g.ticks
	}
	g.reads[g.readID] = ws
	g.replica.Read(g.readID) // without a leader it is asked again
}

func (g *Group) publish() {
	s := g.replica.Status()
	was := g.view.Load()
	lines, first := g.replica.Versions()
	v := &View{Status: s, Members: g.replica.Members(), Versions: lines, FirstVersion: first, PublishedAt: time.Now(),
		Superseded: make(chan struct{}), contactTimeout: g.control.Touch, tick: g.control.Tick}
	g.view.Store(v)
	if was != nil {
		if was.Role != s.Role || was.Term != s.Term || was.Leader != s.Leader {
			g.log.WithFields(logrus.Fields{"role": s.Role, logging.Term: s.Term, "leader": fmt.Sprintf("%x", s.Leader)}).
				Info("role")
		}
		if was.Version != s.Version {
			g.log.WithFields(logrus.Fields{logging.PolicyVersion: s.Version, logging.Index: s.Applied}).Info("version in force")
		}
		if !was.OutOfContact() && v.OutOfContact() {
			g.log.WithField("away", v.SinceLeader().Round(time.Millisecond)).Warn("out of touch with a majority")
		}
		close(was.Superseded)
	}
	g.transport.setPeers(g.replica.Contacts(), g.replica.stateMachine.removed, s.ID)
}

// end lets all go that wait. An error means that the process has to end: it is logged by whoever runs it.
func (g *Group) shutDown(err error) {
	g.err = err
	for key, ws := range g.puts {
		for _, w := range ws {
			w.done <- outcome{err: ErrStopped}
		}
		delete(g.puts, key)
	}
	for id, ws := range g.reads {
		for _, w := range ws {
			w.done <- outcome{err: ErrStopped}
		}
		delete(g.reads, id)
	}
	closing := make(chan struct{})
	go func() { g.transport.close(); close(closing) }()
	for { // the transport's goroutines may wait for an answer of ours
		select {
		case <-g.inbox:
		case f := <-g.events:
			f()
		case f := <-g.requests:
			f()
		case <-closing:
			if g.replica.snapshotting { // the folder is let go of once nobody writes to it
				<-g.snapshotsWritten
			}
			if e := g.replica.Close(); e != nil && g.err == nil {
				g.err = e
			}
			return
		}
	}
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

// What the transport asks. Its askings wait their turn on the replica's goroutine.

func (g *Group) enqueueEvent(f func()) error {
	select {
	case g.events <- f:
		return nil
	case <-g.done:
		return ErrStopped
	}
}

func (g *Group) hello(to uint64) (Hello, error) {
	return callOn(g, g.enqueueEvent, func() Hello { return g.replica.HelloTo(to) })
}

func (g *Group) handshake(h Hello) (string, error) {
	type end struct {
		reason string
		err    error
	}
	e, ended := callOn(g, g.enqueueEvent, func() end {
		reason, err := g.replica.Handshake(h)
		return end{reason, err}
	})
	return e.reason, errors.Join(ended, e.err)
}

func (g *Group) bar(reason string) {
	g.enqueueEvent(func() {
		if g.replica.Barred() == "" {
			g.log.WithField(logging.Reason, reason).Error("this instance takes no part any more")
			if err := g.replica.Bar(reason); err != nil {
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

func (g *Group) reportUnreachable(to uint64) {
	g.enqueueEventAsync(func() { g.replica.ReportUnreachable(to) })
}
func (g *Group) reportSnapshot(to uint64, ok bool) {
	g.enqueueEventAsync(func() { g.replica.ReportSnapshot(to, ok) })
}

// tell is for what may come from the replica's own goroutine, which must not wait for itself.
func (g *Group) enqueueEventAsync(f func()) {
	select {
	case g.events <- f:
	default:
		go g.enqueueEvent(f)
	}
}

var _ messageHandler = (*Group)(nil)

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
