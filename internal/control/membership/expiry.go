package membership

// expire marks nodes out that have been silent for the span of a lease, and drops expired earlier leases.
//
// A silent node stays in until ExpiresAtMS of its lease, also an autonomous one. Silence counts only from the first batch of
// the leader's term; otherwise a failover would mark all nodes out at once.
func (s *State) expire(result *BatchResult, terms LeaseTerms) {
	spanMS := LeaseSpanMS(terms.LeaseMS)
	for _, n := range s.nodes {
		silentSinceMS := max(n.LastHeartbeatMS, s.ListeningSinceMS)
		if !n.IsOut() && s.ClockMS > silentSinceMS+spanMS && s.ClockMS >= n.Lease.ExpiresAtMS {
			s.markOut(n, OutSilent)
			result.MarkedOut = append(result.MarkedOut, n.Name)
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

// evictLongestOut removes the node that has been out longest, among those without a live lease. It returns false if
// there is none: a node that may still serve is never removed.
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
