package consensus

import (
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/logging"
)

// run owns the replica until the instance ends.
func (g *Group) run() {
	defer close(g.done)
	tick := time.NewTicker(g.control.Tick)
	defer tick.Stop()
	for {
		g.waiters.newReads = g.waiters.newReads[:0]
		var err error
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
		case s := <-g.snapshotResults:
			err = g.replica.SnapshotWritten(s.snapshot, s.err)
		}
		if err == nil {
			g.drainQueues()
			err = g.work()
		}
		if err != nil {
			g.shutDown(err)
			return
		}
	}
}

// drainQueues takes up what else is queued, so that one sync serves it all.
func (g *Group) drainQueues() {
	for range maxTasksPerRound {
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

// work has the replica do what raft has ready and answers whom that serves.
func (g *Group) work() error {
	if len(g.waiters.newReads) > 0 {
		g.requestRead(append([]*waiter(nil), g.waiters.newReads...))
	}
	result, err := g.replica.Work(g.transport.send)
	if err != nil {
		return err
	}
	g.operationsApplied(result.Operations)
	if result.Applied || len(result.Reads) > 0 {
		g.publish() // before puts and reads are answered: the headers of an answer, and reads, go by the view
	}
	for i := range result.Puts {
		g.metrics.outcomes.WithLabelValues(string(result.Puts[i].Result.Outcome)).Inc()
		g.waiters.finishPut(&result.Puts[i])
	}
	for _, id := range result.Reads {
		g.waiters.finishRead(id, g.replica.stateMachine.Last())
	}
	return g.snapshotIfDue()
}

// snapshotIfDue has a snapshot written by a goroutine of its own, which ends with its one message; shutDown waits for
// it.
func (g *Group) snapshotIfDue() error {
	s, err := g.replica.SnapshotIfDue()
	if s != nil && err == nil {
		go func() { g.snapshotResults <- snapshotResult{s, s.Write()} }()
	}
	return err
}

// tick passes time on. What has waited for the time of an election is asked again: a follower forwards a request to the
// leader by a message, and one that is lost would have the caller wait until its timeout.
func (g *Group) tick() {
	g.ticks++
	g.replica.Tick()
	g.tickLeader(g.elapsedMS())
	retryAfter := uint64(g.control.ElectionTicks)
	if overdue := g.waiters.overdueReads(g.ticks, retryAfter); len(overdue) > 0 {
		g.requestRead(overdue)
	}
	for _, p := range g.waiters.overduePuts(g.ticks, retryAfter) {
		g.replica.Propose(&p)
	}
	g.publish()
}

// requestRead asks raft for one read that serves all of some waiters. Without a leader it fails and is asked again by
// tick.
func (g *Group) requestRead(list []*waiter) {
	g.waiters.lastReadID++
	for _, w := range list {
		w.sinceTick = g.ticks
	}
	g.waiters.reads[g.waiters.lastReadID] = list
	g.replica.Read(g.waiters.lastReadID)
}

// publish makes a new view and tells all who wait for one.
func (g *Group) publish() {
	status := g.replica.Status()
	versions, first := g.replica.Versions()
	v := &View{
		Status:         status,
		Members:        g.replica.Members(),
		Versions:       versions,
		FirstVersion:   first,
		PublishedAt:    time.Now(),
		Superseded:     make(chan struct{}),
		contactTimeout: g.control.ContactTimeout,
		tick:           g.control.Tick,
	}
	previous := g.view.Swap(v)
	if previous == nil {
		g.outOfContact = v.OutOfContact()
	} else {
		g.logChanges(previous, v)
		close(previous.Superseded)
	}
	g.transport.setPeers(g.replica.Contacts(), g.replica.stateMachine.members.removed, status.ID)
}

func (g *Group) logChanges(previous, v *View) {
	if previous.Role != v.Role || previous.Term != v.Term || previous.Leader != v.Leader {
		g.log.WithFields(logrus.Fields{logging.Role: v.Role, logging.Term: v.Term, logging.Leader: idText(v.Leader)}).
			Info("role changed")
	}
	if previous.Version != v.Version {
		g.log.WithFields(logrus.Fields{logging.PolicyVersion: v.Version, logging.Index: v.Applied}).
			Info("new version committed")
	}
	// The previous view ages on, so it may be out of contact by now too: what was logged is held beside it.
	wasOutOfContact := g.outOfContact
	if g.outOfContact = v.OutOfContact(); g.outOfContact && !wasOutOfContact {
		g.log.WithField(logging.SilentMS, v.SinceLeader().Milliseconds()).Warn("out of touch with a majority")
	}
}

// shutDown ends all waits and closes transport and folder. An error means that the process has to end: whoever runs it
// logs it.
func (g *Group) shutDown(err error) {
	g.err = err
	g.waiters.failAll(ErrStopped)
	closed := make(chan struct{})
	go func() { g.transport.close(); close(closed) }()
	for { // the transport's goroutines may wait for a result of this one
		select {
		case <-g.inbox:
		case f := <-g.events:
			f()
		case f := <-g.requests:
			f()
		case <-closed:
			if g.replica.snapshotting { // nobody may write to a folder that another process has opened
				<-g.snapshotResults
			}
			if err := g.replica.Close(); err != nil && g.err == nil {
				g.err = err
			}
			return
		}
	}
}
