package membership

// OutReason is why a node is out, as stored and shown.
type OutReason string

// Reasons for which a node is out.
const (
	OutSilent OutReason = "silent" // no heartbeat for the span of a lease
	OutLeft   OutReason = "left"   // it drained and said so
)

// Node is one name of the fleet with its newest incarnation. Times are the group's, in ms.
type Node struct {
	Name            string    `json:"name"`
	Zone            string    `json:"zone"`
	Addr            string    `json:"addr"`
	Lease           Lease     `json:"lease"`
	JoinedAtMS      uint64    `json:"since"`           // of the incarnation
	UptimeAtJoinMS  uint64    `json:"up_ms,omitempty"` // of its process: one that joins anew may be warm
	LastHeartbeatMS uint64    `json:"seen"`
	OutReason       OutReason `json:"out,omitempty"` // empty: it is in
	OutAtMS         uint64    `json:"out_at,omitempty"`
	JoinTimesMS     []uint64  `json:"starts,omitempty"` // of its newest processes, the oldest first
	EarlierLeases   []Lease   `json:"old,omitempty"`    // of replaced incarnations, still live
}

// IsOut reports whether the node is counted out: for OutReason.
func (n *Node) IsOut() bool { return n.OutReason != "" }

// UptimeMS gives for how long the node's process has been up at a group's time, as far as it said, in ms.
func (n *Node) UptimeMS(clockMS uint64) uint64 {
	return clockMS - min(clockMS, n.JoinedAtMS) + n.UptimeAtJoinMS
}

// hasLease tells whether the node's lease or one of its earlier ones is as asked.
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
