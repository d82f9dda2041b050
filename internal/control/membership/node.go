package membership

// OutReason is the reason for which a node is out. Its values are stored and displayed.
type OutReason string

// Values of OutReason.
const (
	OutSilent OutReason = "silent" // no heartbeat for the span of a lease
	OutLeft   OutReason = "left"   // it drained and sent a leave
)

// Node is a name of the fleet with its newest incarnation. Times are of the group's clock, in ms.
type Node struct {
	Name            string    `json:"name"`
	Zone            string    `json:"zone"`
	Addr            string    `json:"addr"`
	Lease           Lease     `json:"lease"`
	JoinedAtMS      uint64    `json:"since"`           // of the incarnation
	UptimeAtJoinMS  uint64    `json:"up_ms,omitempty"` // of its process, which may have been up before it joined
	LastHeartbeatMS uint64    `json:"seen"`
	OutReason       OutReason `json:"out,omitempty"` // empty: the node is in
	OutAtMS         uint64    `json:"out_at,omitempty"`
	JoinTimesMS     []uint64  `json:"starts,omitempty"` // recent joins of new processes, oldest first
	EarlierLeases   []Lease   `json:"old,omitempty"`    // of replaced incarnations, still live
}

// IsOut reports whether the node is out.
func (n *Node) IsOut() bool { return n.OutReason != "" }

// UptimeMS returns the uptime of the node's process at the given group clock, in ms, from the uptime it reported when
// it joined.
func (n *Node) UptimeMS(clockMS uint64) uint64 {
	return clockMS - min(clockMS, n.JoinedAtMS) + n.UptimeAtJoinMS
}

// hasLease reports whether the node's lease or one of its earlier leases matches.
func (n *Node) hasLease(match func(*Lease) bool) bool {
	if match(&n.Lease) {
		return true
	}
	for i := range n.EarlierLeases {
		if match(&n.EarlierLeases[i]) {
			return true
		}
	}
	return false
}
