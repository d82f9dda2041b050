package coordinator

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

// Ended reasons of a node's incarnation, as sent in responses.
const (
	endedLease      = "its lease ran out or its name began anew"
	endedGeneration = "it heard another generation of the group last"
)

// Heartbeat handles a node's heartbeat request. done is called exactly once: immediately, or when the heartbeat's batch
// is applied. Its error is ErrNotLeader, ErrStateLost, ErrBusy, an *api.FieldError of a join request or an internal
// error.
func (l *Leader) Heartbeat(s *State, r api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) {
	if err := l.checkHeartbeat(s, &r); err != nil {
		done(api.HeartbeatResponse{}, err)
		return
	}
	l.listening.recordHeartbeat(r.Name)
	if last := r.LastSeen; last != nil && last.Group != "" && last.Group != l.group {
		// A lease ID of another generation may belong to another node here. The response carries this group, its
		// generation and its predecessors; a node of a predecessor then joins this group.
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

// checkHeartbeat returns the error for which a heartbeat is rejected without any effect.
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

// handleLeaseHeartbeat handles a heartbeat that names a lease.
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

// needsEntry decides whether a heartbeat is written to the log or answered immediately. Renewals, leaves and promises
// that a policy change or a zone epoch waits for need an entry. n may be nil for a leave.
//
// A node that has received no response for the span of a lease is not renewed. Otherwise a node whose responses are
// lost, and so serves nothing, would stay in and block every change.
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

// blocksChange reports whether a decided change waits for a node's promise.
func blocksChange(c *policy.Change, n *membership.Node) bool {
	return c != nil && c.Step != policy.Preparing && n.Lease.MinVersion < c.Version
}

// enqueue adds a heartbeat to the next batch.
func (l *Leader) enqueue(r api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) {
	if err := l.heartbeats.add(r, done); err != nil {
		done(api.HeartbeatResponse{}, err)
	}
}
