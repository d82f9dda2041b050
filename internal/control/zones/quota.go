package zones

import (
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// LeaseQuota is a lease's part of a rate limit, in runs a second.
type LeaseQuota struct {
	Lease uint32  `json:"lease"`
	Rate  float64 `json:"rate"`
}

// rateFloorDivisor bounds the floor of a rate limit: at most the observed run rate divided by this, so that cold
// services are not overloaded.
const rateFloorDivisor = 16

// rateLimits returns a zone's limits at a share, of api.FullShare, in runs and in connections a second: that part of
// the observed capacity, and at least a floor.
//
// The floor is one run a second per node, as fewer runs don't show whether the services are warm, but bounded by the
// observed capacity. The connection rate is at least the run rate: each request may need a connection of its own.
func (z *Zone) rateLimits(share, nodes int) (runs, connections float64) {
	fraction := float64(share) / api.FullShare
	floor := float64(max(1, nodes))
	if z.Capacity.RunRate > 0 {
		floor = min(floor, z.Capacity.RunRate/rateFloorDivisor)
	}
	runs = max(z.Capacity.RunRate*fraction, floor)
	return runs, max(z.Capacity.ConnectionRate*fraction, runs)
}

// findQuota returns a lease's quota. quotas is sorted by lease.
func findQuota(quotas []LeaseQuota, lease uint32) (rate float64, found bool) {
	i := sort.Search(len(quotas), func(i int) bool { return quotas[i].Lease >= lease })
	if i < len(quotas) && quotas[i].Lease == lease {
		return quotas[i].Rate, true
	}
	return 0, false
}

// mergeQuotas returns the larger quota of each lease.
func mergeQuotas(a, b []LeaseQuota) []LeaseQuota {
	largest := map[uint32]float64{}
	for _, quotas := range [][]LeaseQuota{a, b} {
		for _, quota := range quotas {
			largest[quota.Lease] = max(largest[quota.Lease], quota.Rate)
		}
	}
	merged := make([]LeaseQuota, 0, len(largest))
	for lease, rate := range largest {
		merged = append(merged, LeaseQuota{lease, rate})
	}
	sortQuotas(merged)
	return merged
}

func sortQuotas(quotas []LeaseQuota) {
	sort.Slice(quotas, func(i, k int) bool { return quotas[i].Lease < quotas[k].Lease })
}

// splitQuotas splits a ramping zone's rate limit among the leases of its nodes: those that are in get equal parts of
// what remains after the previous quotas in use.
//
// Guards against assigning the limit twice: a lease that has not expired, but whose node is not in or has a newer
// lease, keeps its previous quota even if its holder is unreachable. Otherwise a zone whose nodes restart during a
// ramp could take up to twice its limit.
func splitQuotas(zone *Zone, fleet *membership.State) (quotas []LeaseQuota) {
	if zone.Phase != Ramping {
		return nil
	}
	reserved := 0.0
	keepPrevious := func(lease *membership.Lease) {
		if rate, found := findQuota(zone.PreviousQuotas, lease.ID); found && lease.Live(fleet.ClockMS) {
			quotas = append(quotas, LeaseQuota{lease.ID, rate})
			reserved += rate
		}
	}
	var nodesIn []*membership.Node
	for _, node := range fleet.Nodes() {
		if !zone.contains(node) {
			continue
		}
		for i := range node.EarlierLeases {
			keepPrevious(&node.EarlierLeases[i])
		}
		if !node.IsOut() {
			nodesIn = append(nodesIn, node)
		} else {
			keepPrevious(&node.Lease)
		}
	}
	for _, node := range nodesIn {
		quotas = append(quotas, LeaseQuota{node.Lease.ID, max(0, zone.RateLimit-reserved) / float64(len(nodesIn))})
	}
	sortQuotas(quotas)
	return quotas
}

// effectiveQuota returns the quota that a lease may use now, in runs a second.
//
// Guards against exceeding the limit while an epoch settles: others may still use their previous quotas, so an
// increase counts only once no node acts on an older epoch.
func (s *State) effectiveQuota(zone *Zone, lease uint32) float64 {
	rate, _ := findQuota(zone.Quotas, lease)
	if zone.Epoch > s.SettledEpoch {
		previous, _ := findQuota(zone.PreviousQuotas, lease)
		rate = min(rate, previous)
	}
	return rate
}
