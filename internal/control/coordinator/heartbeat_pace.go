package coordinator

import "umberwinch/internal/control/zones"

const (
	// heartbeatsPerLease is how many heartbeats a node sends within a lease, so that some may be lost without the lease
	// running out. More cost the leader requests, fewer fence nodes over a lost packet.
	heartbeatsPerLease = 4
	// changeHeartbeatMS is the least time between heartbeats while a change is under way: those that it waits for are
	// heard soon.
	changeHeartbeatMS = 200
	// maxHeartbeatsPerMS bounds what a large fleet sends during a change, in heartbeats a ms.
	maxHeartbeatsPerMS = 5
	// newNodeHeartbeatMS is the least time for a node that has just begun, so that a lone restart is released
	// within a second.
	newNodeHeartbeatMS = 250
	// newNodeIntervalDivisor bounds what a fleet that restarts as a whole sends: twice as many heartbeats as ever at most.
	newNodeIntervalDivisor = 2
)

// heartbeatSchedule is what the time to a node's next heartbeat is decided by.
type heartbeatSchedule struct {
	leaseMS        uint64
	nodes          int  // of the fleet
	zonesEnabled   bool // zones are decided about, by load reports
	newNodeLimited bool // the node waits to be released to full load
	changeActive   bool // a change of policy is under way
}

// nextMS decides after how many ms a node sends its next heartbeat.
//
// It decides by the lease, the number of nodes and what waits for reports. Each reason bounds the time, and the
// shortest holds: a quarter of a lease, the interval of load reports, half of that for a new node that is limited, and
// soon while a change is under way. In larger fleets the times are longer, which bounds the requests that the leader
// gets and slows a change.
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
