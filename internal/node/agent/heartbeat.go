package agent

import (
	"fmt"

	"umberwinch/internal/control/api"
)

const (
	// minHeartbeatInterval is between two heartbeats: what has to be told at once goes out fast enough for a person who
	// watches a change, and a confused instance can't make a node flood it.
	minHeartbeatInterval Milliseconds = 50
	// heartbeatTimeout is how long a response may take. The leader appends a batch of renewals each second, and a
	// commit takes some ms: shorter would give up renewals that are about to be granted.
	heartbeatTimeout Milliseconds = 1500
	// minHeartbeatTimeout is the same under a short lease, of which a lost heartbeat may cost a quarter.
	minHeartbeatTimeout Milliseconds = 800
)

// jitterDivisor of the interval is left to chance: nodes that started together don't send together for good.
const jitterDivisor = 8

// leaseTimeoutDivisor has a response awaited for a quarter of a lease.
const leaseTimeoutDivisor = 4

// heartbeat is the exchange with the control service: at most one request is in flight.
type heartbeat struct {
	nextAt   Milliseconds
	inFlight bool
	sequence uint64 // of the last request: a response names the one that it answers
	sentAt   Milliseconds
	sentTo   string
	renews   bool // it asks for time
	leaves   bool // it ends the lease
}

// answers tells whether the request in flight has the number.
func (h *heartbeat) answers(sequence uint64) bool { return h.inFlight && sequence == h.sequence }

// HeartbeatTimeout is how long a response may take, in ms: a quarter of the lease within its bounds, so that a lost
// heartbeat leaves time for others.
func (a *Agent) HeartbeatTimeout() Milliseconds {
	if a.lease.duration == 0 {
		return heartbeatTimeout
	}
	return min(max(a.lease.duration/leaseTimeoutDivisor, minHeartbeatTimeout), heartbeatTimeout)
}

// NextHeartbeat is when Heartbeat has something to send, or the request in flight times out.
func (a *Agent) NextHeartbeat() Milliseconds {
	if a.left {
		return farFuture
	}
	if a.heartbeat.inFlight {
		return a.heartbeat.sentAt + a.HeartbeatTimeout()
	}
	return max(a.heartbeat.nextAt, a.instances.notBefore())
}

// Heartbeat gives the request to send now to ControlAddress with its number, if one is due. The driver hands what
// comes of it to HandleResponse or HandleFailure, within HeartbeatTimeout.
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

// heartbeatRequest is what the node tells the group. From its sending on the node holds to the versions and the zone
// epoch that it names.
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
	if v.preparing.Version != 0 && v.has(v.preparing) {
		request.PreparedVersion = v.preparing.Version
	}
	if ok, reason := a.MayServe(now); !ok {
		request.Fenced = reason
	}
	request.Leave = a.leaving
	request.Renew = !a.leaving && a.lease.needsRenewal(now)
	return request
}

// nonce names the incarnation.
func (a *Agent) nonce() string { return fmt.Sprintf("%s-%d", a.config.Nonce, a.incarnation) }

// HandleFailure tells that a heartbeat had no response that could be read.
func (a *Agent) HandleFailure(now Milliseconds, sequence uint64) {
	if a.heartbeat.answers(sequence) {
		a.heartbeat.inFlight = false
		a.failOver(now, 0)
	}
}

// ExpireHeartbeat gives up a heartbeat whose time is over, for a driver without a deadline of its own.
func (a *Agent) ExpireHeartbeat(now Milliseconds) {
	if a.heartbeat.inFlight && now >= a.heartbeat.sentAt+a.HeartbeatTimeout() {
		a.HandleFailure(now, a.heartbeat.sequence)
	}
}

// failOver goes on at another instance, at once if it may be contacted; the current one waits atLeast ms.
func (a *Agent) failOver(now, atLeast Milliseconds) {
	a.instances.failOver(now, atLeast, &a.jitter)
	a.heartbeat.nextAt = now
}

// bringForward sends the next heartbeat at now at the latest.
func (h *heartbeat) bringForward(now Milliseconds) { h.nextAt = min(h.nextAt, now) }
