package consensus

import (
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
)

// maxTicksPerStep is how many ticks count at most for one step of the leader's time, however long the process stood
// still: nodes were not heard in a standstill, so their leases must not be held to it.
const maxTicksPerStep = 4

// tickLeader passes time, in ms, on to the coordinator.Leader and proposes the entries that it gives for the log.
func (g *Group) tickLeader(ms uint64) {
	r := g.replica
	fleet := r.stateMachine.fleet
	g.leader.SetRole(r.stateMachine.cluster, r.mayCoordinate(), r.node.BasicStatus().HardState.GetTerm())
	g.leader.Level = r.stateMachine.level
	g.logStateLoss()
	for _, e := range g.leader.Tick(fleet, ms) {
		if err := r.ProposeEntry(e.Kind, e.Body); err != nil {
			g.log.WithField(logging.Error, err).Debug("fleet entry not proposed")
		}
	}
}

// mayCoordinate tells whether this instance may act for the group. A new leader waits until it has applied an entry
// of its own term: until then its state may lack what an earlier leader told nodes, and it would contradict that.
func (r *Replica) mayCoordinate() bool {
	status := r.node.BasicStatus()
	m := r.stateMachine
	return status.Lead == r.ID() && m.term == status.HardState.GetTerm() && m.level >= LevelFleet && r.Barred() == ""
}

// logStateLoss logs once in a life that nodes have proved the group to lack state, also after a restart, when no entry
// tells of it any more.
func (g *Group) logStateLoss() {
	reason := g.replica.stateMachine.fleet.Fleet.LostState
	if reason == "" || g.stateLossLogged {
		return
	}
	g.stateLossLogged = true
	g.log.WithField(logging.Reason, reason).
		Error("the group has lost state that nodes know of, and grants nothing: see umberctl control recover")
}

// elapsedMS returns the ms since the last call, maxTicksPerStep ticks at most.
func (g *Group) elapsedMS() uint64 {
	ms := time.Since(g.leaderTickedAt).Milliseconds()
	g.leaderTickedAt = g.leaderTickedAt.Add(time.Duration(ms) * time.Millisecond)
	return uint64(min(ms, (maxTicksPerStep * g.control.Tick).Milliseconds()))
}

// operationsApplied logs what an operator should know of applied fleet entries and gives their outcomes to the
// coordinator.Leader, where callers may wait for them.
func (g *Group) operationsApplied(outcomes []coordinator.Outcome) {
	fleet := g.replica.stateMachine.fleet
	for _, outcome := range outcomes {
		switch o := outcome.(type) {
		case policy.Result:
			g.logPolicyChange(o)
		case zones.Result:
			g.logZoneChange(o)
		case coordinator.BatchApplied:
			if o.FleetRestarted {
				g.logZoneChange(zones.Result{Kind: "began", Zone: zones.WholeFleet, Phase: zones.Ramping,
					Epoch: fleet.Zones.Epoch})
			}
			if len(o.CountedOut) > 0 {
				g.log.WithField(logging.Nodes, policy.Summarize(o.CountedOut)).
					Warn("nodes counted out: no heartbeat for the time of a lease")
			}
		}
		g.leader.EntryApplied(fleet, outcome)
	}
}

// logPolicyChange logs a step of a policy change. The fault tests read message and fields.
func (g *Group) logPolicyChange(r policy.Result) {
	if r.Rejected() {
		g.log.WithFields(logrus.Fields{logging.Change: r.ChangeNumber, logging.Operation: r.Kind,
			logging.Reason: r.Rejection}).Debug("policy operation rejected")
		return
	}
	c := g.replica.stateMachine.fleet.Policy.Find(r.ChangeNumber)
	if c == nil {
		return
	}
	line := g.log.WithFields(logrus.Fields{
		logging.Change:        c.Number,
		logging.PolicyVersion: c.Version,
		logging.Step:          c.Step,
		logging.From:          c.PreviousVersion,
		logging.Exclusive:     c.Proposal.Exclusive,
	})
	if c.AbortReason != "" {
		line = line.WithField(logging.Reason, c.AbortReason)
	}
	line.Info("change of policy")
}

// logZoneChange logs a change of a zone. The fault tests read message and fields.
func (g *Group) logZoneChange(r zones.Result) {
	zone := g.replica.stateMachine.fleet.Zones.Find(r.Zone)
	switch {
	case r.Rejected():
		g.log.WithFields(logrus.Fields{logging.Zone: r.Zone, logging.Operation: r.Kind, logging.Reason: r.Err}).
			Debug("zone operation rejected")
	case zone != nil && r.Phase != "" && len(zone.Events) > 0:
		newest := zone.Events[len(zone.Events)-1]
		g.log.WithFields(logrus.Fields{
			logging.Zone:      zone.Name,
			logging.Step:      zone.Phase,
			logging.Share:     zone.Share,
			logging.Epoch:     r.Epoch,
			logging.Reason:    newest.Text,
			logging.Operation: r.Kind,
		}).Info("change of a zone")
	case r.Kind == zones.OpSettle:
		g.log.WithField(logging.Epoch, r.Epoch).Info("epoch of zones settled")
	}
}
