package agent

import "umberwinch/internal/control/api"

// zone is the order of the node's zone: what share of the traffic it takes.
type zone struct {
	order *api.ZoneOrder // nil: nothing is decided about zones
	// fromEarlierGeneration: an earlier generation of the group gave the order. It is acted on until the new one gives its own, but
	// its epoch means nothing to that one.
	fromEarlierGeneration bool
}

// epoch is that of the order, 0 where the group that is followed knows none.
func (z *zone) epoch() uint64 {
	if z.order == nil || z.fromEarlierGeneration {
		return 0
	}
	return z.order.Epoch
}

// update takes the order of an accepted response. One without a lease and without an order says nothing of zones.
func (z *zone) update(r *api.HeartbeatResponse) {
	if r.Zone != nil || r.LeaseID != 0 {
		z.order, z.fromEarlierGeneration = r.Zone, false
	}
}

// ZoneOrder gives the last order of the node's zone, nil where nothing is decided about zones.
func (a *Agent) ZoneOrder() *api.ZoneOrder { return a.zone.order }

// StoredZoneOrder gives the order as it is to be stored: that of an earlier generation without its epoch.
func (a *Agent) StoredZoneOrder() *api.ZoneOrder {
	if a.zone.order == nil || !a.zone.fromEarlierGeneration {
		return a.zone.order
	}
	order := *a.zone.order
	order.Epoch = 0
	return &order
}
