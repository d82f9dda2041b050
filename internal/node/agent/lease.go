package agent

import "umberwinch/internal/control/api"

// A lease is renewed after its duration divided by leaseRenewalDivisor, so that it outlasts a few lost heartbeats. Each
// renewal costs the group an entry of its log.
const leaseRenewalDivisor = 4

// lease is the node's lease from the group. The node may serve while it runs.
type lease struct {
	id       uint32 // 0: none
	expiry   Milliseconds
	duration Milliseconds
	renewAt  Milliseconds // heartbeats from then on renew the lease
}

// holds reports whether the lease runs at now.
func (l *lease) holds(now Milliseconds) bool { return l.id != 0 && now < l.expiry }

// needsRenewal reports whether the next heartbeat has to renew the lease.
func (l *lease) needsRenewal(now Milliseconds) bool { return l.id != 0 && now >= l.renewAt }

// grant sets the lease from a response. It runs from the sending of the heartbeat, so that it expires at the node
// before it expires at the group. A shorter lease duration applies at once.
func (l *lease) grant(id uint32, duration, sentAt Milliseconds) {
	l.id, l.duration = id, duration
	l.expiry = sentAt + duration
	l.renewAt = sentAt + duration/leaseRenewalDivisor
}

// updateLease updates the lease from an accepted response.
func (a *Agent) updateLease(now Milliseconds, r *api.HeartbeatResponse, newGeneration bool) {
	switch {
	case a.leaving && (a.heartbeat.leaves || r.EndedReason != ""):
		a.lease.id, a.lease.expiry, a.left = 0, 0, true
	case r.EndedReason != "":
		a.beginIncarnation(now, r, newGeneration)
	case r.LeaseMS > 0:
		a.lease.grant(r.LeaseID, r.LeaseMS, a.heartbeat.sentAt)
	case r.LeaseID != 0 && a.lease.id == 0: // joined without a lease span: the next heartbeat renews
		a.lease.id = r.LeaseID
	}
}

// beginIncarnation schedules a join under a new incarnation after the group has ended the current one; a join that was
// deferred (RetryAfterMS) keeps its incarnation. The lease ends, except for the rest of one from an earlier generation.
func (a *Agent) beginIncarnation(now Milliseconds, r *api.HeartbeatResponse, newGeneration bool) {
	if a.lease.id != 0 || r.RetryAfterMS == 0 {
		a.incarnation++
	}
	if !newGeneration && !a.servesBetweenGenerations(now) {
		a.lease.expiry = 0
	}
	a.lease.id = 0
	a.heartbeat.nextAt = now + max(minHeartbeatInterval, r.RetryAfterMS)
}
