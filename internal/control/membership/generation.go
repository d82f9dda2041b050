package membership

import "umberwinch/internal/control/api"

const (
	// leaseIDGap is added to the last lease number of a generation: the group may have granted so many more since the
	// state was saved that the next one begins with. None of those numbers may mean another lease in this generation.
	leaseIDGap = 1 << 20
	// earlierGenerationNonce is the nonce of leases that stand for an earlier generation's; no node sends it.
	earlierGenerationNonce = "before"
)

// BeginGeneration makes the state the first one of a restored group's next generation, with the nodes that are known
// and those in known that are not yet. longestLeaseMS is the longest lease that any node may hold, autonomous whether
// the policy lets nodes serve on without the group.
//
// It guards against a change that takes hold while a node still acts on a lease that the lost state had: every lease
// of an earlier generation, known here or not, is taken to be live for its whole length and to promise nothing.
func (s *State) BeginGeneration(longestLeaseMS uint64, autonomous bool, recorded []api.JoinRequest) {
	s.LostState, s.Term, s.ListeningSinceMS = "", 0, s.ClockMS
	s.UnknownLeasesExpireMS = s.ClockMS + LeaseSpanMS(longestLeaseMS)
	s.lastLeaseID += leaseIDGap
	for i := range recorded {
		j := &recorded[i]
		if s.byName[j.Name] == nil && len(s.nodes) < MaxNodes {
			s.insert(&Node{Name: j.Name, Zone: j.Zone, Addr: j.Addr})
		}
	}
	clear(s.byLease)
	for _, n := range s.nodes {
		if n.OutReason == OutLeft && !n.Lease.Live(s.ClockMS) && len(n.EarlierLeases) == 0 {
			continue
		}
		s.lastLeaseID++
		n.Lease = Lease{ID: s.lastLeaseID, Nonce: earlierGenerationNonce, ExpiresAtMS: s.UnknownLeasesExpireMS,
			Autonomous: autonomous || n.Lease.Autonomous}
		n.EarlierLeases, n.JoinTimesMS = nil, nil
		n.OutReason, n.OutAtMS = OutSilent, s.ClockMS
		n.JoinedAtMS, n.LastHeartbeatMS = s.ClockMS, s.ClockMS
	}
}
