package membership

import (
	"fmt"
	"strings"

	"umberwinch/internal/control/api"
)

// join decides whether an incarnation may join.
//
// It decides by the name's newest incarnation, the time in ms since the name's last joins and the number of known
// names. The newest incarnation stands for a name; what an earlier one may still do is kept until its lease has run
// out, so that a change of policy waits for both. It acts on each request without a lease. It may keep a node out
// that restarts over and over, or one more than MaxNodes.
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

// repeatJoin answers a request to join that was sent again because its answer was lost.
//
// It guards against a node whose requests arrive and that hears no answer: it serves nothing, and must not stay in by
// sending on. Past the span of a lease the request extends nothing, so the node is counted out for silence.
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

// retireLease puts the lease of the incarnation that is replaced among the earlier ones, while it is live.
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

// beginIncarnation gives the node a new lease. A join begins with what was decided, so it promises that.
func (s *State) beginIncarnation(n *Node, j *api.JoinRequest, terms LeaseTerms) {
	s.lastLeaseID++
	s.Epoch++
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

// refuseJoins refuses all requests to join of a batch, as the group has lost state.
func refuseJoins(b *HeartbeatBatch, lost string, result *BatchResult) {
	for i := range b.Joins {
		result.Joins = append(result.Joins, JoinResult{
			Nonce:         b.Joins[i].Nonce,
			RefusedReason: "the group has lost state: " + lost,
			RetryAfterMS:  maxJoinBackoffMS,
		})
	}
}

// IsSameProcess tells by two incarnations' nonces whether one process began both: a nonce is the process's own word, a
// dash and a count.
func IsSameProcess(earlier, later string) bool {
	i := strings.LastIndexByte(earlier, '-')
	return i > 0 && strings.HasPrefix(later, earlier[:i+1])
}
