package consensus

import (
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
)

// maxTicksPerStep bounds the ticks that one step of the leader's clock advances, however long the process was paused:
// it received no heartbeats in the pause, so leases must not expire by it.
const maxTicksPerStep = 4

// tickCoordinator advances the coordinator.Leader by ms and proposes the entries that it returns.
func (g *Group) tickCoordinator(ms uint64) {
	r := g.replica
	fleet := r.stateMachine.fleet
	g.coordinator.SetRole(r.stateMachine.cluster, r.mayCoordinate(), r.node.BasicStatus().HardState.GetTerm())
	g.coordinator.Level = r.stateMachine.featureLevel
	g.logStateLoss()
	for _, e := range g.coordinator.Tick(fleet, ms) {
		if err := r.ProposeEntry(e.Kind, e.Body); err != nil {
			g.log.WithField(logging.Error, err).Debug("fleet entry not proposed")
		}
	}
}

// mayCoordinate reports whether this instance may act for the group. A new leader waits until it has applied an entry
// of its own term: until then its state may lack entries of the previous leader, and it could contradict that leader's
// responses to nodes.
func (r *Replica) mayCoordinate() bool {
	status := r.node.BasicStatus()
	m := r.stateMachine
	return status.Lead == r.ID() && m.term == status.HardState.GetTerm() && m.featureLevel >= LevelFleet &&
		r.Barred() == ""
}

// logStateLoss logs once per run that nodes have proven a loss of the group's state. It reads the state, so it logs
// after a restart too.
func (g *Group) logStateLoss() {
	reason := g.replica.stateMachine.fleet.Fleet.LostState
	if reason == "" || g.stateLossLogged {
		return
	}
	g.stateLossLogged = true
	g.log.WithField(logging.Reason, reason).
		Error("the group has lost state that nodes know of, and grants no leases: see umberctl control recover")
}

// elapsedMS returns the milliseconds since the last call, at most maxTicksPerStep ticks.
func (g *Group) elapsedMS() uint64 {
	ms := time.Since(g.coordinatorTickedAt).Milliseconds()
	g.coordinatorTickedAt = g.coordinatorTickedAt.Add(time.Duration(ms) * time.Millisecond)
	return uint64(min(ms, (maxTicksPerStep * g.control.Tick).Milliseconds()))
}

// handleOutcomes logs applied fleet entries for operators and passes their outcomes to the coordinator.Leader, where
// callers may wait for them.
func (g *Group) handleOutcomes(outcomes []coordinator.Outcome) {
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
			if len(o.MarkedOut) > 0 {
				g.log.WithField(logging.Nodes, policy.Summarize(o.MarkedOut)).
					Warn("nodes marked out: no heartbeat within the lease span")
			}
		}
		g.coordinator.EntryApplied(fleet, outcome)
	}
}

// logPolicyChange logs a step of a policy change. The fault tests match its message and fields.
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

// logZoneChange logs a change of a zone. The fault tests match its messages and fields.
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
