package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// BeginGeneration makes the state that of a restored group. epoch is the newest that any node was told; evacuated has
// the zones of which nodes were told to take a share only, with that share.
//
// Guards against an epoch of the lost generation being taken for one of this: epochs go on after the newest. Until
// the leases of the lost generation have run out none settles here, so its rate limits are not exceeded. Zones that
// nodes take a share of only are evacuated until they show that they are healthy.
func (s *State) BeginGeneration(epoch uint64, evacuated map[string]int, fleet *membership.State) {
	s.Epoch = max(s.Epoch, epoch) + 1
	s.SettledEpoch = s.Epoch - 1
	if s.Epoch == 1 {
		s.SettledEpoch = 1 // nobody was told anything about zones
	}
	s.RetryBudget, s.NoCapacityElsewhere = 0, false
	for _, name := range sortedKeys(evacuated) {
		if zone := s.findOrAdd(name, fleet); zone != nil {
			zone.evacuateRestored(s.Epoch, evacuated[name], fleet.ClockMS)
		}
	}
	for _, zone := range s.Zones {
		zone.reconcileRestored(evacuated[zone.Name] != 0)
	}
	if !s.anyNodeInService(fleet) { // one zone is always in service, and nothing tells which: all are
		for _, zone := range s.Zones {
			zone.Phase, zone.Share = InService, api.FullShare
		}
	}
}

func (z *Zone) evacuateRestored(epoch uint64, share int, clock uint64) {
	z.Phase, z.Share, z.PriorityCutoff = Evacuated, 0, 0
	z.Epoch, z.SinceMS = epoch, clock
	z.Cause, z.Operator = causeRestored, ""
	z.clearLimits()
	z.DrillUntilMS, z.RampNotBeforeMS = 0, clock
	z.addEvent(clock, epoch, nil, "the group was restored; its nodes took %d of %d: out, and returns", share,
		api.FullShare)
}

// reconcileRestored corrects what the state of a group says that was restored from an older one. What an operator evacuated
// stays so until he takes it back; what else is not in service was not told to any node any more.
func (z *Zone) reconcileRestored(told bool) {
	operators := (z.Phase == Evacuated || z.Phase == Evacuating) && z.Operator != ""
	switch {
	case operators:
		z.Phase, z.Share, z.DrillUntilMS = Evacuated, 0, 0
		z.clearLimits()
	case z.Phase != InService && !told && z.Cause != causeRestored:
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
