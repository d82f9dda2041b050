package zones

import (
	"umberwinch/internal/control/api"
)

// Order returns the order for a node of the named zone that holds the lease: share, rate limits and retry budget.
func (s *State) Order(name string, lease uint32, rules *api.ZoneRules, disabled Guard) api.ZoneOrder {
	order := api.ZoneOrder{Epoch: s.Epoch, Share: api.FullShare, TTLMS: rules.OrderTTLMS,
		NoCapacityElsewhere: s.NoCapacityElsewhere}
	if !disabled.Has(RetryBudget) {
		order.RetryBudget = s.RetryBudget
	}
	zone := s.Find(name)
	if zone == nil {
		return order
	}
	order.Share, order.PriorityCutoff = zone.Share, zone.PriorityCutoff
	if zone.Phase != InService {
		order.RetryBudget = 0 // not in service: its share limits the load
	}
	if zone.Phase != Ramping {
		return s.withFleetLimits(order, lease)
	}
	order.RateLimited = true
	if disabled.Has(LeaseQuotas) { // an equal part for each node, regardless of other leases' quotas
		nodes := float64(max(1, zone.NodesBefore))
		order.RateLimit, order.ConnectRateLimit = zone.RateLimit/nodes, zone.ConnectRateLimit/nodes
		return order
	}
	order.RateLimit = s.effectiveQuota(zone, lease)
	if n := len(zone.Quotas); n > 0 {
		order.ConnectRateLimit = zone.ConnectRateLimit / float64(n)
	}
	return s.withFleetLimits(order, lease)
}

// withFleetLimits applies the limits of a ramp of the whole fleet to a node's order, in addition to those of its
// zone.
func (s *State) withFleetLimits(order api.ZoneOrder, lease uint32) api.ZoneOrder {
	fleet := s.Find(WholeFleet)
	if fleet == nil || fleet.Phase != Ramping {
		return order
	}
	order.Share = min(order.Share, fleet.Share)
	order.RetryBudget = 0
	capRates(&order, s.effectiveQuota(fleet, lease), fleet.ConnectRateLimit/float64(max(1, len(fleet.Quotas))))
	return order
}

// capRates lowers an order's rate limits, in runs and connections a second, to the given ones.
func capRates(order *api.ZoneOrder, runs, connections float64) {
	if order.RateLimited {
		runs, connections = min(runs, order.RateLimit), min(connections, order.ConnectRateLimit)
	}
	order.RateLimited, order.RateLimit, order.ConnectRateLimit = true, runs, connections
}
