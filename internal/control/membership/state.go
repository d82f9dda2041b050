package membership

import "sort"

// MaxNodes bounds the names of a fleet: a snapshot of so many takes some megabytes.
const MaxNodes = 10000

// State is the replicated table of nodes. The zero value is not usable: New makes one.
type State struct {
	ClockMS          uint64 // the group's time
	Batches          uint64 // applied so far
	Epoch            uint64 // joins so far: a decision about all nodes names the one that it was made in
	Term             uint64 // of the leader whose batch was applied last
	ListeningSinceMS uint64 // from which on that leader hears nodes
	// UnknownLeasesExpireMS is when the last lease has run out that an earlier generation may have granted to a node
	// which this one does not know.
	UnknownLeasesExpireMS uint64
	// LostState is the proof that the group lost state, or empty. Nothing is granted under a state that lacks some.
	LostState   string
	lastLeaseID uint32
	nodes       []*Node // by name
	byName      map[string]*Node
	byLease     map[uint32]*Node // nodes that are in
}

// New gives an empty fleet.
func New() *State { return &State{byName: map[string]*Node{}, byLease: map[uint32]*Node{}} }

// Nodes gives all names in order. They belong to the state: callers neither keep nor change them.
func (s *State) Nodes() []*Node { return s.nodes }

// Lookup gives the node of a name, nil if it is not known.
func (s *State) Lookup(name string) *Node { return s.byName[name] }

// LeaseHolder gives the node that holds a lease and is in; nil where the incarnation was replaced or counted out.
func (s *State) LeaseHolder(id uint32) *Node {
	n := s.byLease[id]
	if n == nil || n.IsOut() || n.Lease.ID != id {
		return nil
	}
	return n
}

// insertIndex gives where a name stands or would stand among the nodes.
func (s *State) insertIndex(name string) int {
	return sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].Name >= name })
}

// insert adds a node whose name is not known.
func (s *State) insert(n *Node) {
	at := s.insertIndex(n.Name)
	s.nodes = append(s.nodes, nil)
	copy(s.nodes[at+1:], s.nodes[at:])
	s.nodes[at] = n
	s.byName[n.Name] = n
}

// forget removes a name with all leases that were waited for.
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

// markOut counts a node out. Its lease may be live still.
func (s *State) markOut(n *Node, reason OutReason) {
	if !n.IsOut() {
		n.OutReason, n.OutAtMS = reason, s.ClockMS
	}
	delete(s.byLease, n.Lease.ID)
}
