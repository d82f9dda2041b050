package consensus

import (
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/logging"
)

// run is the event loop that owns the replica until the instance ends.
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
			err = g.processReady()
		}
		if err != nil {
			g.shutDown(err)
			return
		}
	}
}

// drainQueues handles further queued work, so that one sync serves it all.
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

// processReady runs the replica's ready cycle and completes the puts and reads that it finished.
func (g *Group) processReady() error {
	if len(g.waiters.newReads) > 0 {
		g.requestRead(append([]*waiter(nil), g.waiters.newReads...))
	}
	result, err := g.replica.ProcessReady(g.transport.send)
	if err != nil {
		return err
	}
	g.handleOutcomes(result.Outcomes)
	if result.Applied || len(result.Reads) > 0 {
		g.publish() // before puts and reads complete: response headers and reads use the view
	}
	for i := range result.Puts {
		g.metrics.outcomes.WithLabelValues(string(result.Puts[i].Result.Outcome)).Inc()
		g.waiters.completePut(&result.Puts[i])
	}
	for _, id := range result.Reads {
		g.waiters.completeRead(id, g.replica.stateMachine.Last())
	}
	return g.snapshotIfDue()
}

// snapshotIfDue starts writing a due snapshot on its own goroutine, which sends one result; shutDown waits for it.
func (g *Group) snapshotIfDue() error {
	s, err := g.replica.SnapshotIfDue()
	if s != nil && err == nil {
		go func() { g.snapshotResults <- snapshotResult{s, s.Write()} }()
	}
	return err
}

// tick advances the replica and the leader's clock. It proposes and requests again what has waited for an election
// timeout: a follower forwards requests to the leader in messages, which may be lost.
func (g *Group) tick() {
	g.ticks++
	g.replica.Tick()
	g.tickCoordinator(g.elapsedMS())
	retryAfter := uint64(g.control.ElectionTicks)
	if overdue := g.waiters.overdueReads(g.ticks, retryAfter); len(overdue) > 0 {
		g.requestRead(overdue)
	}
	for _, p := range g.waiters.overduePuts(g.ticks, retryAfter) {
		g.replica.Propose(&p)
	}
	g.publish()
}

// requestRead requests one linearizable read for all given waiters. Without a leader it fails, and tick requests it
// again.
func (g *Group) requestRead(list []*waiter) {
	g.waiters.lastReadID++
	for _, w := range list {
		w.sinceTick = g.ticks
	}
	g.waiters.reads[g.waiters.lastReadID] = list
	g.replica.Read(g.waiters.lastReadID)
}

// publish replaces the view and wakes its watchers.
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
	// OutOfContact of the previous view changes with time, so g.outOfContact keeps the state that was logged.
	wasOutOfContact := g.outOfContact
	if g.outOfContact = v.OutOfContact(); g.outOfContact && !wasOutOfContact {
		g.log.WithField(logging.SilentMS, v.SinceLeader().Milliseconds()).Warn("out of contact with a majority")
	}
}

// shutDown fails all waiters and closes transport and folder. A non-nil err becomes Err; the process that runs the
// instance logs it.
func (g *Group) shutDown(err error) {
	g.err = err
	g.waiters.failAll(ErrStopped)
	closed := make(chan struct{})
	go func() { g.transport.close(); close(closed) }()
	for { // keeps serving the queues, as goroutines of the transport may wait for a result
		select {
		case <-g.inbox:
		case f := <-g.events:
			f()
		case f := <-g.requests:
			f()
		case <-closed:
			if g.replica.snapshotting { // no write may reach the folder after another process has opened it
				<-g.snapshotResults
			}
			if err := g.replica.Close(); err != nil && g.err == nil {
				g.err = err
			}
			return
		}
	}
}
