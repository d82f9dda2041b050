package coordinator

import (
	"slices"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/recovery"
)

// censusIntervalMS is how often nodes are counted while some have just begun, in ms. Each response would go through all
// nodes otherwise, and in a fleet of thousands that restarts the leader would do nothing else.
const censusIntervalMS = 100

// coldStartLimits is what is known of nodes that have just begun and may be the first of a fleet that restarts as a
// whole.
type coldStartLimits struct {
	limitedSinceMS map[uint32]uint64 // by lease: when it was granted to a node that was not released to full load yet
	census         fleetCensus
}

// fleetCensus is a count of the nodes that are in.
type fleetCensus struct {
	atMS   uint64
	taken  bool
	in     int
	byZone map[string]int
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

// census counts the nodes that are in, at most every censusIntervalMS.
func (l *Leader) census(s *State) *fleetCensus {
	c := &l.coldStart.census
	if c.taken && l.nowMS-c.atMS < censusIntervalMS {
		return c
	}
	*c = fleetCensus{atMS: l.nowMS, taken: true, byZone: map[string]int{}, warmHeartbeatsMS: c.warmHeartbeatsMS[:0]}
	for _, n := range s.Fleet.Nodes() {
		if n.IsOut() {
			continue
		}
		c.in++
		c.byZone[n.Zone]++
		heardMS := l.zoneMonitor.LastHeard(n)
		if heardMS > 0 && n.UptimeMS(s.Fleet.ClockMS) > recovery.ColdStartWindowMS {
			c.warmHeartbeatsMS = append(c.warmHeartbeatsMS, heardMS)
		}
	}
	slices.Sort(c.warmHeartbeatsMS)
	return c
}

// mayBeFirstOfMany decides whether a node that has just begun may be the first of a fleet that restarts as a whole.
//
// It decides by the node's uptime in ms and by how many other nodes that have been up for long were heard since its
// lease was granted. Until half of them were, the node takes a share alone: the first nodes of a fleet that restarts
// would get all of its load, cold. A lone restart is held until the others' next heartbeats, about a second.
func (l *Leader) mayBeFirstOfMany(s *State, n *membership.Node) bool {
	since, held := l.coldStart.limitedSinceMS[n.Lease.ID]
	if !held || n.UptimeMS(s.Fleet.ClockMS) > recovery.ColdStartWindowMS {
		return false
	}
	c := l.census(s)
	first, _ := slices.BinarySearch(c.warmHeartbeatsMS, since)
	warm, others := len(c.warmHeartbeatsMS)-first, c.in-1
	return others > 0 && 2*warm < others
}
