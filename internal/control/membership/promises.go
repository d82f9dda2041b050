package membership

// UnknownNodes is the entry in a list of names for nodes that this generation does not know, but that may hold leases
// of an earlier one.
const UnknownNodes = "nodes of the generation before"

// MayServeOlder reports whether any incarnation of a node may still serve under a version older than the given one.
//
// A policy change waits until no node may: for at most the span of a lease or, for an autonomous holder, until the
// node sends a heartbeat, rejoins or is forgotten.
func (s *State) MayServeOlder(n *Node, version uint64) bool {
	return n.hasLease(func(l *Lease) bool { return l.Live(s.ClockMS) && l.MinVersion < version })
}

// NodesServingOlder returns the names of the nodes that may serve under a version older than the given one.
func (s *State) NodesServingOlder(version uint64) (names []string) {
	for _, n := range s.nodes {
		if s.MayServeOlder(n, version) {
			names = append(names, n.Name)
		}
	}
	return s.withUnknown(names)
}

// NodesOnOlderZoneEpoch returns the names of the nodes with an unexpired lease of any incarnation that may act on an
// older zone epoch. An autonomous node past its lease is left out: its quota of a zone's rate limit counts as spent
// instead.
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
