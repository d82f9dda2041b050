package coordinator

import (
	"slices"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/recovery"
)

// fleetCountIntervalMS is the minimum interval between counts of the fleet's nodes, in ms. Counting all nodes for each
// response would overload the leader when a fleet of thousands restarts.
const fleetCountIntervalMS = 100

// coldStartLimits tracks new nodes that may be the first of a cold start of the whole fleet and are not released to
// full load yet.
type coldStartLimits struct {
	limitedSinceMS map[uint32]uint64 // grant time by lease ID of each node that is not released
	fleetCount     fleetCount
}

// fleetCount is a cached count of the nodes that are in.
type fleetCount struct {
	countedAtMS uint64
	valid       bool
	nodesIn     int
	byZone      map[string]int
	// warmHeartbeatsMS are the times of the last heartbeats of nodes up longer than the cold-start window, sorted.
	warmHeartbeatsMS []uint64
}

func (c *coldStartLimits) limit(lease uint32, nowMS uint64) {
	if len(c.limitedSinceMS) < membership.MaxNodes {
		c.limitedSinceMS[lease] = nowMS
	}
}

// release ends a node's limit for good.
func (c *coldStartLimits) release(lease uint32) { delete(c.limitedSinceMS, lease) }

// dropEnded removes leases whose incarnations are no longer in.
func (c *coldStartLimits) dropEnded(f *membership.State) {
	for lease := range c.limitedSinceMS {
		if f.LeaseHolder(lease) == nil {
			delete(c.limitedSinceMS, lease)
		}
	}
}

// countFleet returns the count of the nodes that are in, at most fleetCountIntervalMS old.
func (l *Leader) countFleet(s *State) *fleetCount {
	c := &l.coldStart.fleetCount
	if c.valid && l.nowMS-c.countedAtMS < fleetCountIntervalMS {
		return c
	}
	*c = fleetCount{countedAtMS: l.nowMS, valid: true, byZone: map[string]int{},
		warmHeartbeatsMS: c.warmHeartbeatsMS[:0]}
	for _, n := range s.Fleet.Nodes() {
		if n.IsOut() {
			continue
		}
		c.nodesIn++
		c.byZone[n.Zone]++
		lastHeartbeatMS := l.zoneMonitor.LastHeartbeatAt(n)
		if lastHeartbeatMS > 0 && n.UptimeMS(s.Fleet.ClockMS) > recovery.ColdStartWindowMS {
			c.warmHeartbeatsMS = append(c.warmHeartbeatsMS, lastHeartbeatMS)
		}
	}
	slices.Sort(c.warmHeartbeatsMS)
	return c
}

// mayBeFleetRestart decides whether a new node may be among the first of a restart of the whole fleet, so that its
// share is limited: the first nodes would otherwise get the full load cold.
//
// The limit applies until half of the other nodes, each up longer than the cold-start window, have sent a heartbeat
// since the node's lease was granted. For a single restart that takes about a second.
func (l *Leader) mayBeFleetRestart(s *State, n *membership.Node) bool {
	limitedSinceMS, limited := l.coldStart.limitedSinceMS[n.Lease.ID]
	if !limited || n.UptimeMS(s.Fleet.ClockMS) > recovery.ColdStartWindowMS {
		return false
	}
	c := l.countFleet(s)
	firstSince, _ := slices.BinarySearch(c.warmHeartbeatsMS, limitedSinceMS)
	warm, others := len(c.warmHeartbeatsMS)-firstSince, c.nodesIn-1
	return others > 0 && 2*warm < others
}
