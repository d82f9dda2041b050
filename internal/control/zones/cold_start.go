package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/recovery"
)

// BeginColdStart decides, after a batch of heartbeats was applied, whether most of the fleet has just restarted, and
// begins the ramp of the whole fleet. It reports whether it did.
//
// Inputs: the nodes that are in with the time that their processes have been up, in ms; the policy's rules; the
// capacity observed for each zone. The reason: connections are gone and services below are cold, so they bear a part
// of the load they bore a minute ago. It is called while the log is applied, so that the answers to the joins of that
// batch have the share already and no node serves a moment without it. It acts only where the policy has small_start
// and something was observed. It may harm a fleet whose services are warm: that returns later than it could.
func (s *State) BeginColdStart(fleet *membership.State, rules *api.ZoneRules, without Guard) (began bool) {
	if rules.Mode != api.ZoneModeAuto || !rules.ColdStart || without.Has(ColdStart) {
		return false
	}
	whole := s.Find(WholeFleet)
	if whole != nil && whole.Phase != InService {
		return false
	}
	young, in := s.countRecentStarts(fleet, whole)
	if !recovery.IsColdStart(young, in) {
		return false
	}
	capacity := s.fleetCapacity()
	if capacity.RunRate == 0 {
		return false
	}
	if whole = s.findOrAdd(WholeFleet, fleet); whole == nil {
		return false
	}
	whole.Capacity, whole.NodesBefore = capacity, in
	takes := limits{share: max(1, rules.InitialShare)}
	takes.rateLimit, takes.connectRateLimit = whole.rateLimits(takes.share, in)
	s.beginEpoch(whole, Ramping, &takes, fleet)
	whole.Cause = causeRestart
	whole.addEvent(fleet.ClockMS, s.Epoch, nil,
		"%d of %d nodes began within %d s: returns at %d of %d, %.0f runs a second at most; "+
			"its services bore %.0f, %.1f under way, %.0f ms a call", young, in, recovery.ColdStartWindowMS/1000,
		whole.Share,
		api.FullShare, whole.RateLimit, capacity.RunRate, capacity.Concurrency, capacity.CallMS)
	return true
}

// countRecentStarts counts the nodes that are in, and those of them whose processes began lately and after the last cold
// start ended.
func (s *State) countRecentStarts(fleet *membership.State, whole *Zone) (young, in int) {
	lastStartEnded := uint64(0)
	if whole != nil {
		lastStartEnded = whole.InServiceSinceMS
	}
	for _, node := range fleet.Nodes() {
		if node.IsOut() {
			continue
		}
		in++
		uptime := node.UptimeMS(fleet.ClockMS)
		if uptime <= recovery.ColdStartWindowMS && (lastStartEnded == 0 || uptime < fleet.ClockMS-lastStartEnded) {
			young++
		}
	}
	return young, in
}

// fleetCapacity adds up the zones' observed capacities; times are weighted by runs, as in the view of the fleet.
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
	ClockMS  uint64 // the group's time
	NodesIn  int    // of its zone
}

// LimitNewNode decides whether a node that has just begun is limited while nobody can tell yet whether most of the
// fleet has begun with it, and lays that limit over its order: the initial share, and its part of that share of its
// zone's observed capacity. It reports whether it did.
//
// Guards against the first nodes of a restart taking all load for the second in which the others join. It acts only
// where the policy has small_start; a lone restart pays with a second at the initial share. A zone of which nothing
// was observed is not limited.
func (s *State) LimitNewNode(order *api.ZoneOrder, node NewNode, rules *api.ZoneRules, without Guard) bool {
	zone, whole := s.Find(node.Zone), s.Find(WholeFleet)
	switch {
	case rules.Mode != api.ZoneModeAuto || !rules.ColdStart || without.Has(ColdStart):
		return false
	case zone == nil || zone.Capacity.RunRate == 0 || order.Share <= rules.InitialShare:
		return false
	case whole != nil && whole.Phase == Ramping: // the fleet's own ramp limits it
		return false
	// and has ended since
	case whole != nil && whole.InServiceSinceMS > 0 && node.UptimeMS >= node.ClockMS-whole.InServiceSinceMS:
		return false
	}
	order.Share = max(1, rules.InitialShare)
	runs, connections := zone.rateLimits(order.Share, 0)
	nodes := float64(max(1, node.NodesIn))
	capRates(order, runs/nodes, connections/nodes)
	return true
}
