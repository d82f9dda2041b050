package coordinator

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

// Reasons for which a node's incarnation has ended, as it is told.
const (
	endedLease      = "its lease ran out or its name began anew"
	endedGeneration = "it heard another generation of the group last"
)

// Heartbeat takes what a node sends. done is called once: at once, or when the batch that the heartbeat goes into is
// applied. Its error is ErrNotLeader, ErrStateLost, ErrBusy or an *api.FieldError of a request to join.
func (l *Leader) Heartbeat(s *State, r api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) {
	if err := l.checkHeartbeat(s, &r); err != nil {
		done(api.HeartbeatResponse{}, err)
		return
	}
	l.listening.recordHeartbeat(r.Name)
	if last := r.LastSeen; last != nil && last.Group != "" && last.Group != l.cluster {
		// The number of a lease of another generation may be that of another node's lease here. The response names this
		// group, its generation and its predecessors; a node that followed a predecessor joins this group.
		response := l.completeResponse(s, api.HeartbeatResponse{EndedReason: endedGeneration})
		response.Predecessors = s.Predecessors
		done(response, nil)
		return
	}
	l.recordLossEvidence(s, &r)
	if l.Level < LevelGenerations {
		r.UptimeMS = 0
	}
	if r.LeaseID == 0 {
		known := s.Fleet.Lookup(r.Name)
		r.SameProcess = l.Level >= LevelSameProcess && known != nil &&
			membership.IsSameProcess(known.Lease.Nonce, r.Nonce)
		l.enqueue(r, done)
		return
	}
	l.handleLeaseHeartbeat(s, r, done)
}

// checkHeartbeat gives the error that a heartbeat is answered with before anything of it counts.
func (l *Leader) checkHeartbeat(s *State, r *api.HeartbeatRequest) error {
	if !l.leading {
		return ErrNotLeader
	}
	if r.LeaseID == 0 {
		if err := r.JoinRequest.Validate(); err != nil {
			return err
		}
	}
	if s.Fleet.LostState != "" {
		return ErrStateLost
	}
	return nil
}

// handleLeaseHeartbeat takes the heartbeat of a node that names a lease.
func (l *Leader) handleLeaseHeartbeat(s *State, r api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) {
	n := s.Fleet.LeaseHolder(r.LeaseID)
	if n == nil && !r.Leave {
		done(l.completeResponse(s, api.HeartbeatResponse{EndedReason: endedLease}), nil)
		return
	}
	if n != nil {
		if s.Policy.ActiveRules().Zones.Enabled() {
			l.zoneMonitor.Record(l.nowMS, n, r.Load, r.Peers)
		}
		l.reports.record(n.Name, &r)
	}
	if needsEntry(s, n, &r) {
		l.enqueue(r, done)
		return
	}
	done(l.completeResponse(s, api.HeartbeatResponse{LeaseID: r.LeaseID}), nil)
}

// needsEntry decides whether a heartbeat goes into the log or is answered at once from the leader's state.
//
// It decides by what the heartbeat asks and promises against what the state has of the node, which is nil for one
// that leaves and is not in. Renewals and leaves go into the log, and promises that a change of policy or a step of
// zones waits for. Anything else costs no entry.
//
// A node that has not had a response for the span of a lease is answered at once, and nothing of it is extended. This
// guards against a node whose requests arrive while the answers are lost: it serves nothing, and renewals would keep
// it in for ever, with every change waiting for it.
func needsEntry(s *State, n *membership.Node, r *api.HeartbeatRequest) bool {
	if r.Leave {
		return true
	}
	if s.Fleet.ClockMS > r.LastClockMS+membership.LeaseSpanMS(s.leaseTerms().LeaseMS) {
		return false
	}
	return r.Renew ||
		n.Lease.MinVersion < r.MinVersion && blocksChange(s.Policy.Current, n) ||
		n.Lease.MinZoneEpoch < r.MinZoneEpoch && s.Zones.SettledEpoch < s.Zones.Epoch
}

// blocksChange tells whether a change that is decided waits for a node's promise.
func blocksChange(c *policy.Change, n *membership.Node) bool {
	return c != nil && c.Step != policy.Preparing && n.Lease.MinVersion < c.Version
}

// enqueue lets a heartbeat wait for the next batch.
func (l *Leader) enqueue(r api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) {
	if err := l.heartbeats.add(r, done); err != nil {
		done(api.HeartbeatResponse{}, err)
	}
}
