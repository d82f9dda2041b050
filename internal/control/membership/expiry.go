package membership

// expire decides who is counted out for silence, and drops earlier leases that have run out.
//
// It decides by the group's time of each node's last heartbeat, the time since the leader listens and the terms of
// leases, all in ms. A node that was silent for the span of a lease may be gone, and a change of policy must not wait
// for it for ever. It acts with each batch. It never counts out a node whose lease is live by its time, and never
// holds the time of a leader's absence against a node: after a failover all nodes would be counted out at once.
func (s *State) expire(result *BatchResult, terms LeaseTerms) {
	span := LeaseSpanMS(terms.LeaseMS)
	for _, n := range s.nodes {
		silentSince := max(n.LastHeartbeatMS, s.ListeningSinceMS)
		if !n.IsOut() && s.ClockMS > silentSince+span && s.ClockMS >= n.Lease.ExpiresAtMS {
			s.markOut(n, OutSilent)
			result.CountedOut = append(result.CountedOut, n.Name)
		}
		live := n.EarlierLeases[:0]
		for _, l := range n.EarlierLeases {
			if l.Live(s.ClockMS) {
				live = append(live, l)
			}
		}
		n.EarlierLeases = live
	}
}

// evictLongestOut frees a place of the table: of the nodes that are out and hold no live lease, the one that has been
// out for longest goes. It gives false where there is none: a node that may still serve is never forgotten.
func (s *State) evictLongestOut() bool {
	var longest *Node
	for _, n := range s.nodes {
		gone := n.IsOut() && len(n.EarlierLeases) == 0 && !n.Lease.Live(s.ClockMS)
		if gone && (longest == nil || n.OutAtMS < longest.OutAtMS) {
			longest = n
		}
	}
	if longest != nil {
		s.forget(longest.Name)
	}
	return longest != nil
}
