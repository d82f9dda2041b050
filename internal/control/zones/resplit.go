package zones

const (
	// minSplitIntervalMS is the least time between a change of the zone and a split, so that nodes that join shortly
	// one after another cause a single epoch.
	minSplitIntervalMS = 1000
	// minAllocatedFraction of a rate limit has to be held by unexpired leases; below it the limit is split again.
	minAllocatedFraction = 0.9
)

// needsSplit reports whether a rate limit is split again: a node that is in has no quota, or expired leases hold too
// much of the limit, which would be lost to the zone.
func (d *decider) needsSplit(zone *Zone) bool {
	if d.fleet.ClockMS-zone.SinceMS < minSplitIntervalMS {
		return false
	}
	allocated := 0.0
	for _, node := range d.fleet.Nodes() {
		if !zone.contains(node) {
			continue
		}
		for i := range node.EarlierLeases {
			lease := &node.EarlierLeases[i]
			if rate, found := findQuota(zone.Quotas, lease.ID); found && lease.Live(d.fleet.ClockMS) {
				allocated += rate
			}
		}
		rate, found := findQuota(zone.Quotas, node.Lease.ID)
		if !node.IsOut() && !found {
			return true
		}
		if node.Lease.Live(d.fleet.ClockMS) {
			allocated += rate
		}
	}
	return allocated < minAllocatedFraction*zone.RateLimit
}
