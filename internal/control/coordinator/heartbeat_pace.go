package coordinator

import "umberwinch/internal/control/zones"

const (
	// heartbeatsPerLease is the number of heartbeats per lease. Some may be lost without the lease expiring; more cost
	// the leader requests.
	heartbeatsPerLease = 4
	// changeHeartbeatMS is the minimum heartbeat interval during a policy change, in ms.
	changeHeartbeatMS = 200
	// maxHeartbeatsPerMS limits the heartbeats of a large fleet during a policy change, per ms.
	maxHeartbeatsPerMS = 5
	// newNodeHeartbeatMS is the minimum heartbeat interval of a limited new node, in ms, so that a single restart is
	// released within a second.
	newNodeHeartbeatMS = 250
	// newNodeIntervalDivisor divides the load report interval for a limited new node. So a fleet that restarts as a
	// whole sends twice as many heartbeats as usual at most.
	newNodeIntervalDivisor = 2
)

// heartbeatSchedule holds the inputs for a node's next heartbeat.
type heartbeatSchedule struct {
	leaseMS        uint64
	nodes          int  // number in the fleet
	zonesEnabled   bool // zones need load reports
	newNodeLimited bool // the node is not released to full load yet
	changeActive   bool // a policy change is in progress
}

// nextMS returns the time in ms until a node's next heartbeat, the shortest interval that applies. Intervals grow with
// the fleet to limit the leader's request rate.
func (h heartbeatSchedule) nextMS() uint64 {
	intervalMS := h.leaseMS / heartbeatsPerLease
	if h.zonesEnabled {
		intervalMS = min(intervalMS, zones.HeartbeatIntervalMS(h.nodes))
	}
	if h.newNodeLimited {
		intervalMS = min(intervalMS, max(newNodeHeartbeatMS, zones.HeartbeatIntervalMS(h.nodes)/newNodeIntervalDivisor))
	}
	if h.changeActive {
		intervalMS = min(intervalMS, max(changeHeartbeatMS, uint64(h.nodes)/maxHeartbeatsPerMS))
	}
	return intervalMS
}
