package membership

// expire decides who is counted out for silence, and drops earlier leases that have run out.
//
// It decides by the group's time of each node's last heartbeat, the time since the leader listens and the terms of
// leases, all in ms. A node that was silent for the span of a lease may be gone, and a change of policy must not wait
// for it for ever. It acts with each batch. It never counts out a node whose lease is live by its time, and never
// holds the time of a leader's absence against a node: after a failover all nodes would be counted out at once.
func (s *State) expire(result *BatchResult, terms LeaseTerms) {
	spanMS := LeaseSpanMS(terms.LeaseMS)
	for _, n := range s.nodes {
		silentSinceMS := max(n.LastHeartbeatMS, s.ListeningSinceMS)
		if !n.IsOut() && s.ClockMS > silentSinceMS+spanMS && s.ClockMS >= n.Lease.ExpiresAtMS {
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
	var oldest *Node
	for _, n := range s.nodes {
		evictable := n.IsOut() && len(n.EarlierLeases) == 0 && !n.Lease.Live(s.ClockMS)
		if evictable && (oldest == nil || n.OutAtMS < oldest.OutAtMS) {
			oldest = n
		}
	}
	if oldest != nil {
		s.forget(oldest.Name)
	}
	return oldest != nil
}
