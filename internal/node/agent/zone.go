package agent

import "umberwinch/internal/control/api"

// zone holds the order of the node's zone: the share of requests that the node admits.
type zone struct {
	order *api.ZoneOrder // nil: the policy has no rules for zones
	// fromEarlierGeneration: the order is from an earlier generation of the group. It applies until the new generation
	// sends its own, but its epoch can't be compared with that generation's epochs.
	fromEarlierGeneration bool
}

// epoch is the epoch of the order, 0 without an order of the followed generation.
func (z *zone) epoch() uint64 {
	if z.order == nil || z.fromEarlierGeneration {
		return 0
	}
	return z.order.Epoch
}

// update sets the order from an accepted response. A response with neither a lease nor an order changes nothing.
func (z *zone) update(r *api.HeartbeatResponse) {
	if r.Zone != nil || r.LeaseID != 0 {
		z.order, z.fromEarlierGeneration = r.Zone, false
	}
}

// ZoneOrder returns the last order of the node's zone, nil if the policy has no rules for zones.
func (a *Agent) ZoneOrder() *api.ZoneOrder { return a.zone.order }

// StoredZoneOrder returns the order to store in the record: without its epoch if it is from an earlier generation.
func (a *Agent) StoredZoneOrder() *api.ZoneOrder {
	if a.zone.order == nil || !a.zone.fromEarlierGeneration {
		return a.zone.order
	}
	order := *a.zone.order
	order.Epoch = 0
	return &order
}
