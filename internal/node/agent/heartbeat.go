package agent

import (
	"fmt"

	"umberwinch/internal/control/api"
)

const (
	// minHeartbeatInterval is the shortest interval between two heartbeats, so that a faulty instance can't cause a
	// flood.
	minHeartbeatInterval Milliseconds = 50
	// heartbeatTimeout is the longest response time. The leader commits a batch of renewals each second.
	heartbeatTimeout Milliseconds = 1500
	// minHeartbeatTimeout is the timeout under short leases.
	minHeartbeatTimeout Milliseconds = 800
)

// The maximum jitter is the heartbeat interval divided by jitterDivisor. It spreads nodes that start together.
const jitterDivisor = 8

// The heartbeat timeout is the lease duration divided by leaseTimeoutDivisor, within its bounds.
const leaseTimeoutDivisor = 4

// heartbeat is the state of the heartbeats to the control service: at most one request is in flight.
type heartbeat struct {
	nextAt   Milliseconds
	inFlight bool
	sequence uint64 // of the last request
	sentAt   Milliseconds
	sentTo   string
	renews   bool // it requests or renews a lease
	leaves   bool // it ends the lease
}

// isInFlight reports whether the request with this number is in flight.
func (h *heartbeat) isInFlight(sequence uint64) bool { return h.inFlight && sequence == h.sequence }

// HeartbeatTimeout is the longest response time: a quarter of the lease within bounds, so that the lease outlasts a
// lost heartbeat.
func (a *Agent) HeartbeatTimeout() Milliseconds {
	if a.lease.duration == 0 {
		return heartbeatTimeout
	}
	return min(max(a.lease.duration/leaseTimeoutDivisor, minHeartbeatTimeout), heartbeatTimeout)
}

// NextHeartbeat is when the next heartbeat is due, or the request in flight times out.
func (a *Agent) NextHeartbeat() Milliseconds {
	if a.left {
		return farFuture
	}
	if a.heartbeat.inFlight {
		return a.heartbeat.sentAt + a.HeartbeatTimeout()
	}
	return max(a.heartbeat.nextAt, a.instances.notBefore())
}

// Heartbeat returns the request to send now to ControlAddress and its sequence number, if one is due. The driver calls
// HandleResponse or HandleFailure within HeartbeatTimeout.
func (a *Agent) Heartbeat(now Milliseconds) (request api.HeartbeatRequest, sequence uint64, due bool) {
	if a.heartbeat.inFlight || a.left || a.instances.empty() || now < a.NextHeartbeat() {
		return request, 0, false
	}
	request = a.heartbeatRequest(now)
	h := &a.heartbeat
	h.inFlight, h.sentAt, h.sentTo = true, now, a.ControlAddress()
	h.sequence++
	h.renews, h.leaves = request.Renew || a.lease.id == 0, request.Leave
	return request, h.sequence, true
}

// heartbeatRequest returns the request to send. It promises that the node serves under no version older than MinVersion
// and no zone epoch older than MinZoneEpoch.
func (a *Agent) heartbeatRequest(now Milliseconds) api.HeartbeatRequest {
	v := &a.versions
	request := api.HeartbeatRequest{
		JoinRequest: api.JoinRequest{Name: a.config.Name, Zone: a.config.Zone, Addr: a.config.Address, Nonce: a.nonce(),
			UptimeMS: max(1, now-a.startedAt)},
		LeaseID: a.lease.id, LastClockMS: a.group.clock, MinVersion: v.min, ActiveVersion: v.active.Version,
		RefusedVersion: v.rejected.version, RefusedReason: v.rejected.reason, MinZoneEpoch: a.zone.epoch()}
	if a.group.lastSeen.Group != "" {
		seen := a.group.lastSeen
		seen.ActiveHash = v.active.Hash
		request.LastSeen = &seen
	}
	if v.proposed.Version != 0 && v.has(v.proposed) {
		request.PreparedVersion = v.proposed.Version
	}
	if ok, reason := a.MayServe(now); !ok {
		request.Fenced = reason
	}
	request.Leave = a.leaving
	request.Renew = !a.leaving && a.lease.needsRenewal(now)
	return request
}

// nonce identifies the incarnation.
func (a *Agent) nonce() string { return fmt.Sprintf("%s-%d", a.config.Nonce, a.incarnation) }

// HandleFailure reports that a heartbeat failed or its response could not be read.
func (a *Agent) HandleFailure(now Milliseconds, sequence uint64) {
	if a.heartbeat.isInFlight(sequence) {
		a.heartbeat.inFlight = false
		a.failOver(now, 0)
	}
}

// ExpireHeartbeat times out the heartbeat in flight, for a driver without timeouts of its own.
func (a *Agent) ExpireHeartbeat(now Milliseconds) {
	if a.heartbeat.inFlight && now >= a.heartbeat.sentAt+a.HeartbeatTimeout() {
		a.HandleFailure(now, a.heartbeat.sequence)
	}
}

// failOver backs off from the current instance (see instances.failOver) and schedules the next heartbeat to another one
// for as soon as that may be contacted.
func (a *Agent) failOver(now, minBackoff Milliseconds) {
	a.instances.failOver(now, minBackoff, &a.jitter)
	a.heartbeat.nextAt = now
}

// bringForward schedules the next heartbeat for at or before a time.
func (h *heartbeat) bringForward(at Milliseconds) { h.nextAt = min(h.nextAt, at) }
