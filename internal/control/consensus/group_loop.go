package consensus

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/logging"
)

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
			w.done <- outcome{result: PutResult{Version: g.replica.stateMachine.Last()}}
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
	g.transport.setPeers(g.replica.Contacts(), g.replica.stateMachine.members.removed, s.ID)
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
