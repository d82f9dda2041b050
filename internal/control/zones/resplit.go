package zones

const (
	// minSplitIntervalMS between two splits of a rate limit: nodes that join one after the other get one split, not an epoch
	// each.
	minSplitIntervalMS = 1000
	// minAllocatedFraction: a limit is split anew where live leases hold less than this part of it. Less often would leave a
	// part of the zone's capacity unused, more often would cost an epoch for rounding.
	minAllocatedFraction = 0.9
)

// needsSplit decides whether a rate limit is split anew: a node without a quota is in, or a quota has come free.
//
// Inputs: the zone's quotas in runs a second, its nodes' leases, the time since the last change in ms. Without it a
// node that joins in the middle of a ramp takes nothing, and what leases held that have run out is lost to the zone.
func (d *decider) needsSplit(zone *Zone) bool {
	if d.fleet.ClockMS-zone.SinceMS < minSplitIntervalMS {
		return false
	}
	held := 0.0
	for _, node := range d.fleet.Nodes() {
		if !zone.contains(node) {
			continue
		}
		for i := range node.EarlierLeases {
			lease := &node.EarlierLeases[i]
			if rate, has := findQuota(zone.Quotas, lease.ID); has && lease.Live(d.fleet.ClockMS) {
				held += rate
			}
		}
		rate, has := findQuota(zone.Quotas, node.Lease.ID)
		if !node.IsOut() && !has {
			return true
		}
		if node.Lease.Live(d.fleet.ClockMS) {
			held += rate
		}
	}
	return held < minAllocatedFraction*zone.RateLimit
}
