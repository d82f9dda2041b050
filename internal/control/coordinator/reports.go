package coordinator

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

// nodeReports holds the nodes' latest reports to this leader, by node name.
type nodeReports map[string]*leaseReport

// leaseReport is a report with the lease ID of the incarnation that sent it.
type leaseReport struct {
	leaseID uint32
	policy.NodeReport
}

// record stores the report that a node's heartbeat carries.
func (r nodeReports) record(name string, h *api.HeartbeatRequest) {
	r[name] = &leaseReport{h.LeaseID, policy.NodeReport{
		PreparedVersion: h.PreparedVersion,
		RefusedVersion:  h.RefusedVersion,
		RefusedReason:   h.RefusedReason,
		ActiveVersion:   h.ActiveVersion,
		Fenced:          h.Fenced,
	}}
}

// report returns a node's report, or nil if its current incarnation has not reported to this leader.
//
// The report of a replaced incarnation is ignored: the node may have restarted without the version it had prepared.
func (l *Leader) report(n *membership.Node) *policy.NodeReport {
	r := l.reports[n.Name]
	if r == nil || r.leaseID != n.Lease.ID && !l.DisabledGuards.Has(policy.CurrentIncarnation) {
		return nil
	}
	return &r.NodeReport
}

// dropReportsOfEnded removes the reports of incarnations that are no longer in.
func (l *Leader) dropReportsOfEnded(s *State) {
	if l.DisabledGuards.Has(policy.CurrentIncarnation) {
		return
	}
	for name, r := range l.reports {
		if s.Fleet.LeaseHolder(r.leaseID) == nil {
			delete(l.reports, name)
		}
	}
}
