package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// recentlyOutMS is how long a node that went out without leaving still counts as one of its zone's nodes. Most nodes
// of a zone that dies are counted out before its evacuation is applied.
const recentlyOutMS = 60_000

// Apply applies one operation from the log. A change of a zone is rejected if its epoch is not the current one, so of
// two leaders' decisions on the same state only one takes effect.
func (s *State) Apply(op *Op, fleet *membership.State, disabled Guard) Result {
	result := Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey, Epoch: s.Epoch}
	zone, err := s.apply(op.decode(), fleet, disabled)
	switch {
	case err != nil:
		result.Err = err.Error()
	case zone != nil:
		result.Epoch, result.Phase, result.Share = s.Epoch, zone.Phase, zone.Share
	}
	return result
}

// apply returns the zone that the operation changes, nil if it concerns several.
func (s *State) apply(o operation, fleet *membership.State, disabled Guard) (*Zone, error) {
	switch o := o.(type) {
	case *observation:
		s.storeCapacities(o, fleet)
		return nil, nil
	case *settlement:
		return nil, s.settle(o, fleet, disabled)
	}
	dest := o.appliesTo()
	zone := s.findOrAdd(dest.zone, fleet)
	if zone == nil || zone.Name == WholeFleet && evacuates(o) {
		return nil, rejectf(ErrUnknownZone, "found no zone %.50q, expected one that nodes are of", dest.zone)
	}
	if o, is := o.(*hold); is {
		zone.HeldUntilMS = fleet.ClockMS + o.durationMS
		zone.addEvent(fleet.ClockMS, s.Epoch, nil, "%s: nothing is decided by rules for %d ms", o.operator,
			o.durationMS)
		return zone, nil
	}
	if dest.epoch != s.Epoch {
		return nil, rejectf(ErrStaleEpoch, "decided in epoch %d, expected %d", dest.epoch, s.Epoch)
	}
	// Guards against exceeding the rate limit: nodes on an older epoch would keep their load while the newer epoch
	// gives it to others. Load is raised only once all nodes have promised the newest epoch.
	if raisesLoad(o) && !s.settled() && !disabled.Has(OneEpoch) {
		return nil, rejectf(ErrUnsettled, "epoch %d is not settled: some node may act on an older one", s.Epoch)
	}
	return zone, s.transition(zone, o, fleet)
}

// transition changes a zone's phase, share or rate limits.
func (s *State) transition(zone *Zone, o operation, fleet *membership.State) error {
	switch o := o.(type) {
	case *evacuation:
		return s.evacuate(zone, o, fleet)
	case *rampStep:
		return s.ramp(zone, o, fleet)
	case *quotaSplit:
		return s.resplitQuotas(zone, o, fleet)
	case *stepBack:
		return s.stepBack(zone, o, fleet)
	case *rampEnd:
		return s.endRamp(zone, o, fleet)
	}
	return rejectf(ErrUnknownOp, "op %.20q, expected leave, settle, step, split, in, back, bore or hold",
		o.encode().Kind)
}

// storeCapacities keeps the leader's observed capacities, so that a new leader has them.
func (s *State) storeCapacities(o *observation, fleet *membership.State) {
	for _, name := range sortedKeys(o.capacities) {
		if zone := s.findOrAdd(name, fleet); zone != nil {
			zone.Capacity = o.capacities[name]
		}
	}
}

// settle marks the current epoch as settled: no node acts on an older one. Evacuations are complete, and leases may
// use their full new quotas.
func (s *State) settle(o *settlement, fleet *membership.State, disabled Guard) error {
	if o.epoch != s.Epoch || s.settled() {
		return rejectf(ErrStaleEpoch, "epoch %d is settled or past", o.epoch)
	}
	if nodesBehind := fleet.NodesOnOlderZoneEpoch(s.Epoch); len(nodesBehind) > 0 && !disabled.Has(OneEpoch) {
		return rejectf(ErrUnsettled, "%d nodes may act on an older epoch", len(nodesBehind))
	}
	for _, zone := range s.Zones {
		zone.PreviousQuotas = nil
		if zone.Epoch > s.SettledEpoch {
			zone.SinceMS = fleet.ClockMS
		}
		if zone.Phase == Evacuating {
			zone.Phase = Evacuated
			zone.addEvent(fleet.ClockMS, s.Epoch, nil, "out: nobody acts on an older epoch")
		}
	}
	s.SettledEpoch = s.Epoch
	return nil
}

func (s *State) evacuate(zone *Zone, o *evacuation, fleet *membership.State) error {
	if zone.Phase == Evacuated && zone.Share <= o.share || zone.Phase == Evacuating {
		return rejectf(ErrWrongPhase, "zone %s is %s already", zone.Name, zone.Phase)
	}
	if !s.anotherInService(zone.Name, fleet) {
		return rejectf(ErrLastZone, "zone %s is the last that is in", zone.Name)
	}
	zone.FlapCount++
	if fleet.ClockMS-zone.InServiceSinceMS > flapWindowMS {
		zone.FlapCount = 0
	}
	if capacity, observed := o.capacities[zone.Name]; observed {
		zone.Capacity = capacity
	}
	zone.NodesBefore = zone.recentNodes(fleet)
	s.beginEpoch(zone, Evacuating, &o.limits, fleet)
	zone.Cause, zone.Operator, zone.RampNotBeforeMS = o.cause, o.operator, fleet.ClockMS+o.waitMS
	zone.DrillUntilMS = 0
	if o.drillMS > 0 {
		zone.DrillUntilMS = fleet.ClockMS + o.drillMS
	}
	summary := "left"
	if o.share > 0 {
		summary = fmt.Sprintf("left in part, keeps %d of %d by value", o.share, api.FullShare)
	}
	zone.addEvent(fleet.ClockMS, s.Epoch, &o.rationale, "%s: %s", summary, o.rationale.text())
	return nil
}

// recentNodes counts the zone's nodes that are in, or went out as silent within recentlyOutMS.
func (z *Zone) recentNodes(fleet *membership.State) (n int) {
	for _, node := range fleet.Nodes() {
		recentlySilent := node.OutReason == membership.OutSilent && fleet.ClockMS-node.OutAtMS < recentlyOutMS
		if node.Zone == z.Name && (!node.IsOut() || recentlySilent) {
			n++
		}
	}
	return n
}

func (s *State) ramp(zone *Zone, o *rampStep, fleet *membership.State) error {
	if zone.Phase != Evacuated && zone.Phase != Ramping {
		return rejectf(ErrWrongPhase, "zone %s is %s, expected it out or returning", zone.Name, zone.Phase)
	}
	stepLimits := o.limits
	if stepLimits.rateLimit == 0 { // operators don't set rate limits
		stepLimits.rateLimit, stepLimits.connectRateLimit = zone.rateLimits(stepLimits.share, zone.countNodesIn(fleet))
	}
	s.beginEpoch(zone, Ramping, &stepLimits, fleet)
	zone.Operator = o.operator
	zone.addEvent(fleet.ClockMS, s.Epoch, &o.rationale, "returns at %d of %d, %.0f runs a second at most: %s",
		zone.Share, api.FullShare, zone.RateLimit, o.rationale.text())
	return nil
}

// resplitQuotas begins an epoch that splits the rate limit again, without a change of the share, the limits or the
// time of the last step.
func (s *State) resplitQuotas(zone *Zone, o *quotaSplit, fleet *membership.State) error {
	if err := zone.expectRamping(); err != nil {
		return err
	}
	unchanged := limits{zone.Share, zone.PriorityCutoff, zone.RateLimit, zone.ConnectRateLimit, o.budget}
	stepStart := zone.SinceMS
	s.beginEpoch(zone, Ramping, &unchanged, fleet)
	zone.SinceMS = stepStart
	return nil
}

func (s *State) stepBack(zone *Zone, o *stepBack, fleet *membership.State) error {
	if err := zone.expectRamping(); err != nil {
		return err
	}
	nextPhase := Ramping
	if o.share == 0 {
		nextPhase = Evacuating
		zone.FlapCount++
		zone.RampNotBeforeMS = fleet.ClockMS + o.waitMS
	}
	s.beginEpoch(zone, nextPhase, &o.limits, fleet)
	zone.Cause, zone.Operator = o.cause, o.operator
	zone.addEvent(fleet.ClockMS, s.Epoch, &o.rationale, "back to %d of %d: %s", zone.Share, api.FullShare,
		o.rationale.text())
	return nil
}

func (s *State) endRamp(zone *Zone, o *rampEnd, fleet *membership.State) error {
	if err := zone.expectRamping(); err != nil {
		return err
	}
	s.beginEpoch(zone, InService, &limits{share: api.FullShare, budget: o.budget}, fleet)
	zone.Cause, zone.Operator = "", ""
	zone.Quotas, zone.DrillUntilMS = nil, 0
	zone.InServiceSinceMS = fleet.ClockMS
	zone.addEvent(fleet.ClockMS, s.Epoch, &o.rationale, "in again: %s", o.rationale.text())
	return nil
}

func (z *Zone) expectRamping() error {
	if z.Phase != Ramping {
		return rejectf(ErrWrongPhase, "zone %s is %s, expected it returning", z.Name, z.Phase)
	}
	return nil
}

// beginEpoch increments the epoch, sets the zone's phase and limits, and splits its rate limit among the leases.
func (s *State) beginEpoch(zone *Zone, nextPhase Phase, newLimits *limits, fleet *membership.State) {
	s.Epoch++
	previousPhase := zone.Phase
	zone.Phase, zone.Share, zone.PriorityCutoff = nextPhase, newLimits.share, newLimits.priorityCutoff
	zone.Epoch, zone.SinceMS = s.Epoch, fleet.ClockMS
	zone.RateLimit, zone.ConnectRateLimit = newLimits.rateLimit, newLimits.connectRateLimit
	s.RetryBudget, s.NoCapacityElsewhere = newLimits.budget.retries, newLimits.budget.noCapacityElsewhere
	if s.allInService() {
		s.RetryBudget, s.NoCapacityElsewhere = 0, false
	}
	zone.PreviousQuotas = mergeQuotas(zone.PreviousQuotas, zone.Quotas)
	zone.Quotas = splitQuotas(zone, fleet)
	if previousPhase == InService { // was unlimited, so the new quotas may be used at once
		zone.PreviousQuotas = append([]LeaseQuota{}, zone.Quotas...)
	}
}
