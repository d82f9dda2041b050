package membership

import "sort"

// MaxNodes is the maximum number of node names, which limits a snapshot to some megabytes.
const MaxNodes = 10000

// State is the replicated table of nodes. Use New to create one; the zero value is not usable.
type State struct {
	ClockMS          uint64 // the group's clock
	Batches          uint64 // batches applied so far
	FleetEpoch       uint64 // fleet epoch: joins so far; a decision about all nodes names the epoch it applies to
	Term             uint64 // of the leader of the last applied batch
	ListeningSinceMS uint64 // clock at the first batch of that leader's term
	// UnknownLeasesExpireMS is the clock at which the last lease expires that an earlier generation may have granted to
	// a node unknown to this one.
	UnknownLeasesExpireMS uint64
	// LostState is the proof that the group has lost state, or empty. While it is set, no lease is granted.
	LostState   string
	lastLeaseID uint32
	nodes       []*Node // sorted by name
	byName      map[string]*Node
	byLease     map[uint32]*Node // nodes that are in
}

// New returns an empty node table.
func New() *State { return &State{byName: map[string]*Node{}, byLease: map[uint32]*Node{}} }

// Nodes returns all nodes sorted by name. Callers must not keep or change them.
func (s *State) Nodes() []*Node { return s.nodes }

// Lookup returns the node of a name, or nil if the name is unknown.
func (s *State) Lookup(name string) *Node { return s.byName[name] }

// LeaseHolder returns the node that is in under a lease, or nil if the incarnation was replaced or marked out.
func (s *State) LeaseHolder(id uint32) *Node {
	n := s.byLease[id]
	if n == nil || n.IsOut() || n.Lease.ID != id {
		return nil
	}
	return n
}

// insertIndex returns the index of a name in the sorted nodes, or where it would be inserted.
func (s *State) insertIndex(name string) int {
	return sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].Name >= name })
}

// insert adds a node with a new name.
func (s *State) insert(n *Node) {
	at := s.insertIndex(n.Name)
	s.nodes = append(s.nodes, nil)
	copy(s.nodes[at+1:], s.nodes[at:])
	s.nodes[at] = n
	s.byName[n.Name] = n
}

// forget removes a name and all its leases, including live ones.
func (s *State) forget(name string) {
	n := s.byName[name]
	if n == nil {
		return
	}
	delete(s.byLease, n.Lease.ID)
	delete(s.byName, name)
	at := s.insertIndex(name)
	s.nodes = append(s.nodes[:at], s.nodes[at+1:]...)
}

// markOut marks a node out. Its lease may still be live.
func (s *State) markOut(n *Node, reason OutReason) {
	if !n.IsOut() {
		n.OutReason, n.OutAtMS = reason, s.ClockMS
	}
	delete(s.byLease, n.Lease.ID)
}
