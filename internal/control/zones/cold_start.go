package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/recovery"
)

// BeginColdStart begins a ramp of the whole fleet if at least half its nodes have just restarted, and reports whether it
// did. After a restart the services below are cold and without connections, and sustain only a part of their observed
// load.
//
// It is called while a batch of heartbeats is applied, so that the responses to that batch's joins already carry the
// reduced share. It does nothing unless the policy enables small_start and a capacity was observed.
func (s *State) BeginColdStart(fleet *membership.State, rules *api.ZoneRules, disabled Guard) (started bool) {
	if rules.Mode != api.ZoneModeAuto || !rules.ColdStart || disabled.Has(ColdStart) {
		return false
	}
	fleetZone := s.Find(WholeFleet)
	if fleetZone != nil && fleetZone.Phase != InService {
		return false
	}
	restarted, nodesIn := s.countRecentStarts(fleet, fleetZone)
	if !recovery.IsColdStart(restarted, nodesIn) {
		return false
	}
	capacity := s.fleetCapacity()
	if capacity.RunRate == 0 {
		return false
	}
	if fleetZone = s.findOrAdd(WholeFleet, fleet); fleetZone == nil {
		return false
	}
	fleetZone.Capacity, fleetZone.NodesBefore = capacity, nodesIn
	initialLimits := limits{share: max(1, rules.InitialShare)}
	initialLimits.rateLimit, initialLimits.connectRateLimit = fleetZone.rateLimits(initialLimits.share, nodesIn)
	s.beginEpoch(fleetZone, Ramping, &initialLimits, fleet)
	fleetZone.Cause = causeRestart
	fleetZone.addEvent(fleet.ClockMS, s.Epoch, nil,
		"%d of %d nodes began within %d s: returns at %d of %d, %.0f runs a second at most; "+
			"its services bore %.0f, %.1f under way, %.0f ms a call", restarted, nodesIn,
		recovery.ColdStartWindowMS/1000, fleetZone.Share, api.FullShare, fleetZone.RateLimit, capacity.RunRate,
		capacity.Concurrency, capacity.CallMS)
	return true
}

// countRecentStarts counts the nodes that are in, and those of them that started within the cold start window and
// after the last cold start's ramp ended.
func (s *State) countRecentStarts(fleet *membership.State, fleetZone *Zone) (restarted, nodesIn int) {
	lastRampEndMS := uint64(0)
	if fleetZone != nil {
		lastRampEndMS = fleetZone.InServiceSinceMS
	}
	for _, node := range fleet.Nodes() {
		if node.IsOut() {
			continue
		}
		nodesIn++
		uptime := node.UptimeMS(fleet.ClockMS)
		if uptime <= recovery.ColdStartWindowMS && (lastRampEndMS == 0 || uptime < fleet.ClockMS-lastRampEndMS) {
			restarted++
		}
	}
	return restarted, nodesIn
}

// fleetCapacity sums the zones' observed capacities; times are weighted by run rate.
func (s *State) fleetCapacity() (sum ObservedCapacity) {
	for _, zone := range s.Zones {
		if zone.Name == WholeFleet {
			continue
		}
		capacity := &zone.Capacity
		sum.RunRate += capacity.RunRate
		sum.Concurrency += capacity.Concurrency
		sum.ConnectionRate += capacity.ConnectionRate
		sum.RunMS += capacity.RunRate * capacity.RunMS
		sum.CallMS += capacity.RunRate * capacity.CallMS
	}
	if sum.RunRate > 0 {
		sum.RunMS /= sum.RunRate
		sum.CallMS /= sum.RunRate
	}
	return sum
}

// NewNode is a node that has just joined.
type NewNode struct {
	Zone     string
	UptimeMS uint64 // of its process
	ClockMS  uint64 // the group's clock
	NodesIn  int    // number of nodes of its zone that are in
}

// LimitNewNode limits the order of a node that has just started to the initial share and its part of the zone's
// observed capacity at that share. It reports whether it did.
//
// Guards against the first nodes of a cold start taking all load before the others have joined and the start is
// detected. It does nothing unless the policy enables small_start and the zone's capacity was observed.
func (s *State) LimitNewNode(order *api.ZoneOrder, node NewNode, rules *api.ZoneRules, disabled Guard) bool {
	zone, fleetZone := s.Find(node.Zone), s.Find(WholeFleet)
	switch {
	case rules.Mode != api.ZoneModeAuto || !rules.ColdStart || disabled.Has(ColdStart):
		return false
	case zone == nil || zone.Capacity.RunRate == 0 || order.Share <= rules.InitialShare:
		return false
	case fleetZone != nil && fleetZone.Phase == Ramping: // limited by the fleet's ramp
		return false
	// it was already up when the fleet's ramp ended
	case fleetZone != nil && fleetZone.InServiceSinceMS > 0 && node.UptimeMS >= node.ClockMS-fleetZone.InServiceSinceMS:
		return false
	}
	order.Share = max(1, rules.InitialShare)
	runs, connections := zone.rateLimits(order.Share, 0)
	nodes := float64(max(1, node.NodesIn))
	capRates(order, runs/nodes, connections/nodes)
	return true
}
