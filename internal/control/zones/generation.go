package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// BeginGeneration adapts a restored group's state to the nodes' records. epoch is the newest that any node has
// received; reducedShares has the shares of the zones that nodes had a reduced share of.
//
// Guards against an epoch of the lost generation being taken for one of this: epochs continue after the newest. The
// new epoch does not settle before the leases of the lost generation have expired, so rate limits are not exceeded.
// Zones with a reduced share are evacuated until they are healthy.
func (s *State) BeginGeneration(epoch uint64, reducedShares map[string]int, fleet *membership.State) {
	s.Epoch = max(s.Epoch, epoch) + 1
	s.SettledEpoch = s.Epoch - 1
	if s.Epoch == 1 {
		s.SettledEpoch = 1 // no node has received an epoch
	}
	s.RetryBudget, s.NoCapacityElsewhere = 0, false
	for _, name := range sortedKeys(reducedShares) {
		if zone := s.findOrAdd(name, fleet); zone != nil {
			zone.evacuateRestored(s.Epoch, reducedShares[name], fleet.ClockMS)
		}
	}
	for _, zone := range s.Zones {
		zone.reconcileRestored(reducedShares[zone.Name] != 0)
	}
	if !s.anyNodeInService(fleet) { // one zone must be in service; which one is unknown, so all are
		for _, zone := range s.Zones {
			zone.Phase, zone.Share = InService, api.FullShare
		}
	}
}

// evacuateRestored marks the zone as evacuated by the restoration, so that it ramps once it is healthy.
func (z *Zone) evacuateRestored(epoch uint64, share int, clock uint64) {
	z.Phase, z.Share, z.PriorityCutoff = Evacuated, 0, 0
	z.Epoch, z.SinceMS = epoch, clock
	z.Cause, z.Operator = causeRestored, ""
	z.clearLimits()
	z.DrillUntilMS, z.RampNotBeforeMS = 0, clock
	z.addEvent(clock, epoch, nil, "the group was restored; its nodes took %d of %d: out, and returns", share,
		api.FullShare)
}

// reconcileRestored corrects a zone's restored state, which may be older than the nodes' orders. A zone evacuated by
// an operator stays evacuated; another zone out of service returns to service unless nodes had a reduced share of it.
func (z *Zone) reconcileRestored(limited bool) {
	byOperator := (z.Phase == Evacuated || z.Phase == Evacuating) && z.Operator != ""
	switch {
	case byOperator:
		z.Phase, z.Share, z.DrillUntilMS = Evacuated, 0, 0
		z.clearLimits()
	case z.Phase != InService && !limited && z.Cause != causeRestored:
		z.Phase, z.Share = InService, api.FullShare
		z.clearLimits()
	}
}

func (z *Zone) clearLimits() {
	z.RateLimit, z.ConnectRateLimit, z.Quotas, z.PreviousQuotas = 0, 0, nil, nil
}

func (s *State) anyNodeInService(fleet *membership.State) bool {
	for _, node := range fleet.Nodes() {
		if s.inService(node.Zone) {
			return true
		}
	}
	return false
}
