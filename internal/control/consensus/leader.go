package consensus

import (
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
)

// steer passes time on to the steward and proposes what it has for the log.
func (g *Group) tickLeader(ms uint64) {
	r := g.replica
	s := g.leader
	b := r.node.BasicStatus()
	// A leader acts once it has applied an entry of its own term: until then its state may lack what was told before.
	leads := b.Lead == r.ID() && r.stateMachine.term == b.HardState.GetTerm() && r.stateMachine.level >= LevelFleet &&
		r.Barred() == ""
	s.SetRole(r.stateMachine.cluster, leads, b.HardState.GetTerm())
	if lost := r.stateMachine.fleet.Fleet.LostState; lost != "" && !g.stateLossLogged { // also after a restart: no beat tells of it any more
		g.stateLossLogged = true
		g.log.WithField(logging.Reason, lost).Error("the group has lost state that nodes know of, and grants nothing: see umberctl " +
			"control recover")
	}
	s.Level = r.stateMachine.level
	for _, e := range s.Tick(r.stateMachine.fleet, ms) {
		if err := r.ProposeEntry(e.Kind, e.Body); err != nil {
			g.log.WithField(logging.Error, err).Debug("an entry about nodes was not proposed")
		}
	}
}

// passed gives the ms since it was last asked. A standstill of this process counts for little: nobody was heard in it,
// so nobody may be held to it.
func (g *Group) elapsedMS() uint64 {
	now := time.Now()
	d := now.Sub(g.leaderTickedAt)
	ms := d.Milliseconds()
	g.leaderTickedAt = g.leaderTickedAt.Add(time.Duration(ms) * time.Millisecond)
	return uint64(min(ms, (maxTicksPerStep * g.control.Tick).Milliseconds()))
}

// told tells the steward the ends of entries about nodes, and the log what an operator should know.
func (g *Group) operationsApplied(ends []any) {
	for _, e := range ends {
		switch e := e.(type) {
		case policy.Result:
			if c := g.replica.stateMachine.fleet.Policy.Find(e.ChangeNumber); c != nil && e.Rejection == "" {
				f := g.log.WithFields(logrus.Fields{"change": c.Number, logging.PolicyVersion: c.Version, "step": c.Step,
					"from": c.PreviousVersion, "exclusive": c.Proposal.Exclusive})
				if c.AbortReason != "" {
					f = f.WithField(logging.Reason, c.AbortReason)
				}
				f.Info("change of policy")
			} else if e.Rejection != "" {
				g.log.WithFields(logrus.Fields{"change": e.ChangeNumber, "step": e.Kind}).Debug(e.Rejection)
			}
		case zones.Result:
			g.logZoneChange(e)
		case coordinator.BatchApplied:
			if e.FleetRestarted {
				g.logZoneChange(zones.Result{Kind: "began", Zone: zones.WholeFleet, Phase: zones.Ramping, Epoch: g.replica.stateMachine.fleet.Zones.Epoch})
			}
			if len(e.CountedOut) > 0 {
				g.log.WithField("nodes", policy.Summarize(e.CountedOut)).Warn("counted out: silent for a lease's time")
			}
		}
		g.leader.EntryApplied(g.replica.stateMachine.fleet, e)
	}
}

// logZoneChange logs what an operator should know of a zone.
func (g *Group) logZoneChange(e zones.Result) {
	z := g.replica.stateMachine.fleet.Zones.Find(e.Zone)
	switch {
	case e.Err != "":
		g.log.WithFields(logrus.Fields{"zone": e.Zone, "step": e.Kind}).Debug(e.Err)
	case z != nil && e.Phase != "" && len(z.Events) > 0:
		last := z.Events[len(z.Events)-1]
		g.log.WithFields(logrus.Fields{"zone": z.Name, "step": z.Phase, "share": z.Share, "epoch": e.Epoch,
			logging.Reason: last.Text, "op": e.Kind}).Info("change of a zone")
	case e.Kind == zones.OpSettle:
		g.log.WithField("epoch", e.Epoch).Info("epoch of zones settled")
	}
}
