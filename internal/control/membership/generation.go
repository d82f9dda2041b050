package membership

import "umberwinch/internal/control/api"

const (
	// leaseIDGap is the number of lease IDs skipped at the start of a generation. The earlier group may have granted
	// leases after the restored state was saved, and their IDs must not be reused.
	leaseIDGap = 1 << 20
	// earlierGenerationNonce is the nonce of placeholder leases for an earlier generation; no node sends it.
	earlierGenerationNonce = "before"
)

// BeginGeneration turns the state into the initial state of a restored group's next generation, and adds the recorded
// nodes that it lacks. longestLeaseMS is the longest lease that any node may hold; autonomous is whether the policy
// lets nodes serve without the group.
//
// Every lease of an earlier generation, known here or not, is assumed live for its full span and without promises.
// Otherwise a change could commit while a node still acts on a lease that the restored state lacks.
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
