package coordinator

import (
	"slices"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/recovery"
)

// fleetCountIntervalMS is how often nodes are counted while some have just begun, in ms. Each response would go through all
// nodes otherwise, and in a fleet of thousands that restarts the leader would do nothing else.
const fleetCountIntervalMS = 100

// coldStartLimits is what is known of nodes that have just begun and may be the first of a fleet that restarts as a
// whole.
type coldStartLimits struct {
	limitedSinceMS map[uint32]uint64 // by lease: when it was granted to a node that was not released to full load yet
	fleetCount     fleetCount
}

// fleetCount is a count of the nodes that are in.
type fleetCount struct {
	countedAtMS uint64
	valid       bool
	nodesIn     int
	byZone      map[string]int
	// warmHeartbeatsMS is when nodes that have been up for long were heard last, the earliest first.
	warmHeartbeatsMS []uint64
}

func (c *coldStartLimits) limit(lease uint32, nowMS uint64) {
	if len(c.limitedSinceMS) < membership.MaxNodes {
		c.limitedSinceMS[lease] = nowMS
	}
}

// release lets a node take its full load; it is not held again.
func (c *coldStartLimits) release(lease uint32) { delete(c.limitedSinceMS, lease) }

// dropEnded forgets leases whose incarnations are not in any more.
func (c *coldStartLimits) dropEnded(f *membership.State) {
	for lease := range c.limitedSinceMS {
		if f.LeaseHolder(lease) == nil {
			delete(c.limitedSinceMS, lease)
		}
	}
}

// countFleet counts the nodes that are in, at most every fleetCountIntervalMS.
func (l *Leader) countFleet(s *State) *fleetCount {
	c := &l.coldStart.fleetCount
	if c.valid && l.nowMS-c.countedAtMS < fleetCountIntervalMS {
		return c
	}
	*c = fleetCount{countedAtMS: l.nowMS, valid: true, byZone: map[string]int{}, warmHeartbeatsMS: c.warmHeartbeatsMS[:0]}
	for _, n := range s.Fleet.Nodes() {
		if n.IsOut() {
			continue
		}
		c.nodesIn++
		c.byZone[n.Zone]++
		lastHeartbeatMS := l.zoneMonitor.LastHeard(n)
		if lastHeartbeatMS > 0 && n.UptimeMS(s.Fleet.ClockMS) > recovery.ColdStartWindowMS {
			c.warmHeartbeatsMS = append(c.warmHeartbeatsMS, lastHeartbeatMS)
		}
	}
	slices.Sort(c.warmHeartbeatsMS)
	return c
}

// mayBeFleetRestart decides whether a node that has just begun may be the first of a fleet that restarts as a whole.
//
// It decides by the node's uptime in ms and by how many other nodes that have been up for long were heard since its
// lease was granted. Until half of them were, the node takes a share alone: the first nodes of a fleet that restarts
// would get all of its load, cold. A lone restart is held until the others' next heartbeats, about a second.
func (l *Leader) mayBeFleetRestart(s *State, n *membership.Node) bool {
	limitedSinceMS, limited := l.coldStart.limitedSinceMS[n.Lease.ID]
	if !limited || n.UptimeMS(s.Fleet.ClockMS) > recovery.ColdStartWindowMS {
		return false
	}
	c := l.countFleet(s)
	first, _ := slices.BinarySearch(c.warmHeartbeatsMS, limitedSinceMS)
	warm, others := len(c.warmHeartbeatsMS)-first, c.nodesIn-1
	return others > 0 && 2*warm < others
}
