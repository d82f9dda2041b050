package zones

import (
	"umberwinch/internal/control/api"
)

// Order returns what a zone's state means to a node that holds a lease.
func (s *State) Order(name string, lease uint32, rules *api.ZoneRules, without Guard) api.ZoneOrder {
	order := api.ZoneOrder{Epoch: s.Epoch, Share: api.FullShare, TTLMS: rules.OrderTTLMS,
		NoCapacityElsewhere: s.NoCapacityElsewhere}
	if !without.Has(RetryBudget) {
		order.RetryBudget = s.RetryBudget
	}
	zone := s.Find(name)
	if zone == nil {
		return order
	}
	order.Share, order.PriorityCutoff = zone.Share, zone.PriorityCutoff
	if zone.Phase != InService {
		order.RetryBudget = 0 // its share bounds what it takes
	}
	if zone.Phase != Ramping {
		return s.withFleetLimits(order, lease)
	}
	order.RateLimited = true
	if without.Has(LeaseQuotas) { // a part for whoever asks, as if nobody else had any
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

// withFleetLimits lays the limits of a fleet that starts cold over those of a node's zone: the smaller of the two.
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

// capRates limits an order's rates, in runs and connections a second, to the smaller of what it has and what is given.
func capRates(order *api.ZoneOrder, runs, connections float64) {
	if order.RateLimited {
		runs, connections = min(runs, order.RateLimit), min(connections, order.ConnectRateLimit)
	}
	order.RateLimited, order.RateLimit, order.ConnectRateLimit = true, runs, connections
}
