package coordinator

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

// nodeReports are what nodes told this leader, by name.
type nodeReports map[string]*leaseReport

// leaseReport is a report and the lease of the incarnation that it is of.
type leaseReport struct {
	leaseID uint32
	policy.NodeReport
}

// record keeps what a node's heartbeat says about versions.
func (r nodeReports) record(name string, h *api.HeartbeatRequest) {
	r[name] = &leaseReport{h.LeaseID, policy.NodeReport{
		PreparedVersion: h.PreparedVersion,
		RefusedVersion:  h.RefusedVersion,
		RefusedReason:   h.RefusedReason,
		ActiveVersion:   h.ActiveVersion,
		Fenced:          h.Fenced,
	}}
}

// report gives a node's report, nil where its present incarnation has told this leader none.
//
// It guards against a node that reported a version prepared and restarted without it: the report of a replaced
// incarnation would let the change be decided, and the node could not serve under it.
func (l *Leader) report(n *membership.Node) *policy.NodeReport {
	r := l.reports[n.Name]
	if r == nil || r.leaseID != n.Lease.ID && !l.DisabledGuards.Has(policy.Incarnation) {
		return nil
	}
	return &r.NodeReport
}

// dropReportsOfEnded forgets the reports of incarnations that are not in any more.
func (l *Leader) dropReportsOfEnded(s *State) {
	if l.DisabledGuards.Has(policy.Incarnation) {
		return
	}
	for name, r := range l.reports {
		if s.Fleet.LeaseHolder(r.leaseID) == nil {
			delete(l.reports, name)
		}
	}
}
