package agent

import "umberwinch/internal/control/api"

// leaseRenewalDivisor has a lease renewed once a quarter of it is over: three more heartbeats may be lost before it
// expires. A later renewal would make one lost heartbeat cost the lease; an earlier one costs the group entries of
// its log.
const leaseRenewalDivisor = 4

// lease is the node's permission to serve, as the group granted it.
type lease struct {
	id       uint32 // 0: none
	expiry   Milliseconds
	duration Milliseconds
	renewAt  Milliseconds // a heartbeat asks for more time from then on
}

// holds tells whether the lease runs at now.
func (l *lease) holds(now Milliseconds) bool { return l.id != 0 && now < l.expiry }

// needsRenewal tells whether the next heartbeat has to ask for more time.
func (l *lease) needsRenewal(now Milliseconds) bool { return l.id != 0 && now >= l.renewAt }

// grant takes time that a response grants. It counts from the sending of the heartbeat, which the group has seen later:
// so the node's lease has ended by the time that the group takes it for ended. A policy with a shorter lease takes time
// back at once.
func (l *lease) grant(id uint32, duration, sentAt Milliseconds) {
	l.id, l.duration = id, duration
	l.expiry = sentAt + duration
	l.renewAt = sentAt + duration/leaseRenewalDivisor
}

// updateLease takes what an accepted response says of the lease.
func (a *Agent) updateLease(now Milliseconds, r *api.HeartbeatResponse, newGeneration bool) {
	switch {
	case a.leaving && (a.heartbeat.leaves || r.EndedReason != ""):
		a.lease.id, a.lease.expiry, a.left = 0, 0, true
	case r.EndedReason != "":
		a.beginIncarnation(now, r, newGeneration)
	case r.LeaseMS > 0:
		a.lease.grant(r.LeaseID, r.LeaseMS, a.heartbeat.sentAt)
	case r.LeaseID != 0 && a.lease.id == 0: // taken in without time: the next heartbeat asks for some
		a.lease.id = r.LeaseID
	}
}

// beginIncarnation joins anew, as the group has counted this incarnation out. What the incarnation was granted counts
// no more, but for the rest of a lease of an earlier generation.
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
