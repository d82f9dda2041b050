package membership

// UnknownNodes stands in a list of names for nodes that may hold a lease of an earlier generation and are not known to
// this one.
const UnknownNodes = "nodes of the generation before"

// MayServeOlder decides whether any incarnation of a node may still serve under a version older than the one given.
//
// It decides by the node's leases that are live at the group's time and what their holders promised. A change of
// policy waits until no node may. It may hold a change up for the span of a lease, or, for a holder that may serve on
// without the group, until the node is heard, begins anew or is forgotten.
func (s *State) MayServeOlder(n *Node, version uint64) bool {
	return n.hasLease(func(l *Lease) bool { return l.Live(s.ClockMS) && l.MinVersion < version })
}

// NodesServingOlder names the nodes that may serve under a version older than the one given.
func (s *State) NodesServingOlder(version uint64) (names []string) {
	for _, n := range s.nodes {
		if s.MayServeOlder(n, version) {
			names = append(names, n.Name)
		}
	}
	return s.withUnknown(names)
}

// NodesOnOlderZoneEpoch names the nodes of which some incarnation has a lease and may act on an older epoch of the
// zones. A node that goes on past its lease without the group is not waited for here: its quota of a zone's rate
// limit counts as spent instead.
func (s *State) NodesOnOlderZoneEpoch(epoch uint64) (names []string) {
	for _, n := range s.nodes {
		if n.hasLease(func(l *Lease) bool { return l.ID != 0 && s.ClockMS < l.ExpiresAtMS && l.MinZoneEpoch < epoch }) {
			names = append(names, n.Name)
		}
	}
	return s.withUnknown(names)
}

func (s *State) withUnknown(names []string) []string {
	if s.ClockMS < s.UnknownLeasesExpireMS {
		names = append(names, UnknownNodes)
	}
	return names
}
