package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// recentlyOutMS: a node that was counted out for silence so lately counts as one that the zone had. A zone that dies
// has most of its nodes counted out while its evacuation is decided.
const recentlyOutMS = 60_000

// Apply plays one operation of the log. One that no longer holds is rejected: it names the epoch that it was decided
// in, so of two leaders' decisions about one picture one counts.
func (s *State) Apply(op *Op, fleet *membership.State, without Guard) Result {
	result := Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey, Epoch: s.Epoch}
	zone, err := s.apply(op.decode(), fleet, without)
	switch {
	case err != nil:
		result.Err = err.Error()
	case zone != nil:
		result.Epoch, result.Phase, result.Share = s.Epoch, zone.Phase, zone.Share
	}
	return result
}

// apply returns the zone that the operation is about, nil if it is about several.
func (s *State) apply(o operation, fleet *membership.State, without Guard) (*Zone, error) {
	switch o := o.(type) {
	case *observation:
		s.storeCapacities(o, fleet)
		return nil, nil
	case *settlement:
		return nil, s.settle(o, fleet, without)
	}
	on := o.appliesTo()
	zone := s.findOrAdd(on.zone, fleet)
	if zone == nil || zone.Name == WholeFleet && evacuates(o) {
		return nil, rejectf(ErrUnknownZone, "found no zone %.50q, expected one that nodes are of", on.zone)
	}
	if o, is := o.(*hold); is {
		zone.HeldUntilMS = fleet.ClockMS + o.durationMS
		zone.addEvent(fleet.ClockMS, s.Epoch, nil, "%s: nothing is decided by rules for %d ms", o.operator, o.durationMS)
		return zone, nil
	}
	if on.epoch != s.Epoch {
		return nil, rejectf(ErrStaleEpoch, "decided in epoch %d, expected %d", on.epoch, s.Epoch)
	}
	// Guards against two epochs being acted on at once: nodes of the older one would take their load beside what the
	// newer returns to others, and the rate limit would be exceeded. Nothing is raised before all have promised the
	// newest.
	if raisesLoad(o) && !s.settled() && !without.Has(OneEpoch) {
		return nil, rejectf(ErrUnsettled, "epoch %d is not settled: some node may act on an older one", s.Epoch)
	}
	return zone, s.transition(zone, o, fleet)
}

// transition moves a zone to its next phase, share or rate limit.
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

// storeCapacities keeps what the leader observed, so that it outlives the leader.
func (s *State) storeCapacities(o *observation, fleet *membership.State) {
	for _, name := range sortedKeys(o.capacities) {
		if zone := s.findOrAdd(name, fleet); zone != nil {
			zone.Capacity = o.capacities[name]
		}
	}
}

// settle ends the time in which nodes may act on an older epoch: evacuations are complete, quotas that grew count.
func (s *State) settle(o *settlement, fleet *membership.State, without Guard) error {
	if o.epoch != s.Epoch || s.settled() {
		return rejectf(ErrStaleEpoch, "epoch %d is settled or past", o.epoch)
	}
	if older := fleet.NodesOnOlderZoneEpoch(s.Epoch); len(older) > 0 && !without.Has(OneEpoch) {
		return rejectf(ErrUnsettled, "%d nodes may act on an older epoch", len(older))
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
	if capacity, known := o.capacities[zone.Name]; known {
		zone.Capacity = capacity
	}
	zone.NodesBefore = zone.recentNodes(fleet)
	s.beginEpoch(zone, Evacuating, &o.limits, fleet)
	zone.Cause, zone.Operator, zone.RampNotBeforeMS = o.cause, o.operator, fleet.ClockMS+o.waitMS
	zone.DrillUntilMS = 0
	if o.drillMS > 0 {
		zone.DrillUntilMS = fleet.ClockMS + o.drillMS
	}
	what := "left"
	if o.share > 0 {
		what = fmt.Sprintf("left in part, keeps %d of %d by value", o.share, api.FullShare)
	}
	zone.addEvent(fleet.ClockMS, s.Epoch, &o.rationale, "%s: %s", what, o.rationale.text())
	return nil
}

// recentNodes counts the nodes that the zone has, or had until lately.
func (z *Zone) recentNodes(fleet *membership.State) (n int) {
	for _, node := range fleet.Nodes() {
		lately := node.OutReason == membership.OutSilent && fleet.ClockMS-node.OutAtMS < recentlyOutMS
		if node.Zone == z.Name && (!node.IsOut() || lately) {
			n++
		}
	}
	return n
}

func (s *State) ramp(zone *Zone, o *rampStep, fleet *membership.State) error {
	if zone.Phase != Evacuated && zone.Phase != Ramping {
		return rejectf(ErrWrongPhase, "zone %s is %s, expected it out or returning", zone.Name, zone.Phase)
	}
	takes := o.limits
	if takes.rateLimit == 0 { // an operator's has none
		takes.rateLimit, takes.connectRateLimit = zone.rateLimits(takes.share, zone.countNodesIn(fleet))
	}
	s.beginEpoch(zone, Ramping, &takes, fleet)
	zone.Operator = o.operator
	zone.addEvent(fleet.ClockMS, s.Epoch, &o.rationale, "returns at %d of %d, %.0f runs a second at most: %s", zone.Share,
		api.FullShare, zone.RateLimit, o.rationale.text())
	return nil
}

// resplitQuotas leaves all as it is but for the quotas.
func (s *State) resplitQuotas(zone *Zone, o *quotaSplit, fleet *membership.State) error {
	if err := zone.expectRamping(); err != nil {
		return err
	}
	same := limits{zone.Share, zone.PriorityCutoff, zone.RateLimit, zone.ConnectRateLimit, o.budget}
	since := zone.SinceMS
	s.beginEpoch(zone, Ramping, &same, fleet)
	zone.SinceMS = since
	return nil
}

func (s *State) stepBack(zone *Zone, o *stepBack, fleet *membership.State) error {
	if err := zone.expectRamping(); err != nil {
		return err
	}
	next := Ramping
	if o.share == 0 {
		next = Evacuating
		zone.FlapCount++
		zone.RampNotBeforeMS = fleet.ClockMS + o.waitMS
	}
	s.beginEpoch(zone, next, &o.limits, fleet)
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

// beginEpoch has a zone go on in a new epoch with what it takes from then on, and splits its rate limit among the
// leases.
func (s *State) beginEpoch(zone *Zone, next Phase, takes *limits, fleet *membership.State) {
	s.Epoch++
	previous := zone.Phase
	zone.Phase, zone.Share, zone.PriorityCutoff = next, takes.share, takes.priorityCutoff
	zone.Epoch, zone.SinceMS = s.Epoch, fleet.ClockMS
	zone.RateLimit, zone.ConnectRateLimit = takes.rateLimit, takes.connectRateLimit
	s.RetryBudget, s.NoCapacityElsewhere = takes.budget.retries, takes.budget.noCapacityElsewhere
	if s.allInService() {
		s.RetryBudget, s.NoCapacityElsewhere = 0, false
	}
	zone.PreviousQuotas = mergeQuotas(zone.PreviousQuotas, zone.Quotas)
	zone.Quotas = splitQuotas(zone, fleet)
	if previous == InService { // there was no limit before that nodes could exceed
		zone.PreviousQuotas = append([]LeaseQuota{}, zone.Quotas...)
	}
}
