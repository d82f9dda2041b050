package zones

import (
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// LeaseQuota is what a lease has of a rate limit, in runs a second.
type LeaseQuota struct {
	Lease uint32  `json:"lease"`
	Rate  float64 `json:"rate"`
}

// minLimitDivisor: no rate limit is under a sixteenth of the observed capacity. Less would show too few runs to tell
// whether the services are warm; more could be too much for a service that is cold by a factor of ten.
const minLimitDivisor = 16

// rateLimits decides how much a zone may take at a share, in runs and in connections a second.
//
// Inputs: the share of api.FullShare, the nodes that are in, the observed capacity. It is that share of the observed
// capacity; where nothing was observed, a run a second and node. A small zone may have a run a second and node in any
// case, or a small share would show nothing; of a large one's capacity that would be too much, so no more than a part
// of it. Connections are at least as many as runs: where requests come singly, each may need one. A limit that is too
// low prolongs a ramp, one that is too high overloads services that are still cold.
func (z *Zone) rateLimits(share, nodes int) (runs, connections float64) {
	part := float64(share) / api.FullShare
	least := float64(max(1, nodes))
	if z.Capacity.RunRate > 0 {
		least = min(least, z.Capacity.RunRate/minLimitDivisor)
	}
	runs = max(z.Capacity.RunRate*part, least)
	return runs, max(z.Capacity.ConnectionRate*part, runs)
}

// findQuota returns a lease's quota.
func findQuota(quotas []LeaseQuota, lease uint32) (rate float64, has bool) {
	i := sort.Search(len(quotas), func(i int) bool { return quotas[i].Lease >= lease })
	if i < len(quotas) && quotas[i].Lease == lease {
		return quotas[i].Rate, true
	}
	return 0, false
}

// mergeQuotas returns for each lease the most that it may still act on.
func mergeQuotas(a, b []LeaseQuota) []LeaseQuota {
	most := map[uint32]float64{}
	for _, quotas := range [][]LeaseQuota{a, b} {
		for _, quota := range quotas {
			most[quota.Lease] = max(most[quota.Lease], quota.Rate)
		}
	}
	merged := make([]LeaseQuota, 0, len(most))
	for lease, rate := range most {
		merged = append(merged, LeaseQuota{lease, rate})
	}
	sortQuotas(merged)
	return merged
}

func sortQuotas(quotas []LeaseQuota) {
	sort.Slice(quotas, func(i, k int) bool { return quotas[i].Lease < quotas[k].Lease })
}

// splitQuotas decides how a ramping zone's rate limit is divided among the leases of its nodes.
//
// Inputs: the rate limit in runs a second, the quotas that may still be acted on, the leases with the group's time.
// Each node that is in gets an equal part of what is left of the limit.
//
// Guards against the limit being given out twice: a lease that may still be acted on, but whose node is not in or has
// begun anew, keeps its previous quota and that counts as spent, also if its holder is out of reach. Without that a
// zone whose nodes restart in the middle of a ramp is asked for up to twice its limit.
func splitQuotas(zone *Zone, fleet *membership.State) (quotas []LeaseQuota) {
	if zone.Phase != Ramping {
		return nil
	}
	spent := 0.0
	keep := func(lease *membership.Lease) {
		if rate, had := findQuota(zone.PreviousQuotas, lease.ID); had && lease.Live(fleet.ClockMS) {
			quotas = append(quotas, LeaseQuota{lease.ID, rate})
			spent += rate
		}
	}
	var in []*membership.Node
	for _, node := range fleet.Nodes() {
		if !zone.contains(node) {
			continue
		}
		for i := range node.EarlierLeases {
			keep(&node.EarlierLeases[i])
		}
		if !node.IsOut() {
			in = append(in, node)
		} else {
			keep(&node.Lease)
		}
	}
	for _, node := range in {
		quotas = append(quotas, LeaseQuota{node.Lease.ID, max(0, zone.RateLimit-spent) / float64(len(in))})
	}
	sortQuotas(quotas)
	return quotas
}

// effectiveQuota returns what a lease may act on now, in runs a second.
//
// Guards against the limit being exceeded while an epoch settles: others may still act on their previous quotas, so
// one that grew, or is new, counts only once nobody acts on an older epoch.
func (s *State) effectiveQuota(zone *Zone, lease uint32) float64 {
	rate, _ := findQuota(zone.Quotas, lease)
	if zone.Epoch > s.SettledEpoch {
		previous, _ := findQuota(zone.PreviousQuotas, lease)
		rate = min(rate, previous)
	}
	return rate
}
