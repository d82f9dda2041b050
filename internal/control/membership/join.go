package membership

import (
	"fmt"
	"strings"

	"umberwinch/internal/control/api"
)

// join decides whether an incarnation may join. It is refused if the table is full or the name joins too often.
//
// The newest incarnation replaces the earlier one of its name, whose lease is kept until it expires, so that a policy
// change waits for both.
func (s *State) join(j *api.JoinRequest, terms LeaseTerms) JoinResult {
	n := s.byName[j.Name]
	if n != nil && n.Lease.Nonce == j.Nonce {
		return s.repeatJoin(n, j.Nonce, terms)
	}
	if n == nil {
		if len(s.nodes) >= MaxNodes && !s.evictLongestOut() {
			reason := fmt.Sprintf("%d nodes are known, expected at most %d", len(s.nodes)+1, MaxNodes)
			return JoinResult{Nonce: j.Nonce, RefusedReason: reason, RetryAfterMS: maxJoinBackoffMS}
		}
		n = &Node{Name: j.Name}
		s.insert(n)
	}
	if waitMS := s.joinBackoffMS(n); waitMS > 0 {
		reason := fmt.Sprintf("%q began %d times within %d s", j.Name, len(n.JoinTimesMS), joinWindowMS/1000)
		return JoinResult{Nonce: j.Nonce, RefusedReason: reason, RetryAfterMS: waitMS}
	}
	s.retireLease(n, terms)
	s.beginIncarnation(n, j, terms)
	return JoinResult{Nonce: j.Nonce, LeaseID: s.lastLeaseID, extended: true}
}

// repeatJoin handles a join request that is repeated under the same nonce because its response was lost.
//
// After the span of a lease it extends nothing. Otherwise a node that receives no responses, and so serves nothing,
// would stay in by repeating its request.
func (s *State) repeatJoin(n *Node, nonce string, terms LeaseTerms) JoinResult {
	if n.IsOut() {
		return JoinResult{Nonce: nonce, RefusedReason: "this incarnation was counted out; begin another"}
	}
	if s.ClockMS-n.JoinedAtMS > LeaseSpanMS(terms.LeaseMS) {
		return JoinResult{Nonce: nonce, LeaseID: n.Lease.ID}
	}
	n.LastHeartbeatMS = s.ClockMS
	promised := terms.PromisedBy(n.Lease.MinVersion, n.Lease.MinZoneEpoch)
	if promised {
		s.extend(&n.Lease, terms)
	}
	return JoinResult{Nonce: nonce, LeaseID: n.Lease.ID, extended: promised}
}

// retireLease moves the lease of the replaced incarnation to EarlierLeases if it is still live.
func (s *State) retireLease(n *Node, terms LeaseTerms) {
	if n.Lease.ID != 0 {
		replaced := n.Lease
		s.endAutonomy(&replaced, terms)
		if replaced.Live(s.ClockMS) {
			n.EarlierLeases = append(n.EarlierLeases, replaced)
		}
		delete(s.byLease, n.Lease.ID)
	}
	for i := range n.EarlierLeases {
		s.endAutonomy(&n.EarlierLeases[i], terms)
	}
}

// beginIncarnation grants the node a new lease. A joining node starts under the decided version and zone epoch, so its
// lease promises them.
func (s *State) beginIncarnation(n *Node, j *api.JoinRequest, terms LeaseTerms) {
	s.lastLeaseID++
	s.FleetEpoch++
	n.Zone, n.Addr = j.Zone, j.Addr
	n.OutReason, n.OutAtMS = "", 0
	n.Lease = Lease{ID: s.lastLeaseID, Nonce: j.Nonce, MinVersion: terms.DecidedVersion, MinZoneEpoch: terms.ZoneEpoch}
	s.extend(&n.Lease, terms)
	n.JoinedAtMS, n.LastHeartbeatMS, n.UptimeAtJoinMS = s.ClockMS, s.ClockMS, j.UptimeMS
	if !j.SameProcess {
		n.JoinTimesMS = append(n.JoinTimesMS, s.ClockMS)
		if len(n.JoinTimesMS) > maxJoinTimes {
			n.JoinTimesMS = n.JoinTimesMS[1:]
		}
	}
	s.byLease[s.lastLeaseID] = n
}

// refuseJoins refuses all join requests of a batch because the group has lost state.
func refuseJoins(b *HeartbeatBatch, lossProof string, result *BatchResult) {
	for i := range b.Joins {
		result.Joins = append(result.Joins, JoinResult{
			Nonce:         b.Joins[i].Nonce,
			RefusedReason: "the group has lost state: " + lossProof,
			RetryAfterMS:  maxJoinBackoffMS,
		})
	}
}

// IsSameProcess reports whether two nonces are of the same process. A nonce is a process identifier, a dash and a
// counter.
func IsSameProcess(earlier, later string) bool {
	i := strings.LastIndexByte(earlier, '-')
	return i > 0 && strings.HasPrefix(later, earlier[:i+1])
}
