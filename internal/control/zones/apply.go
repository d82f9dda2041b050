package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// recentlyOutMS: a node that was counted out for silence so lately counts as one that the zone had. A zone that dies has
// most of its nodes counted out while its evacuation is decided.
const recentlyOutMS = 60_000

// Apply plays one operation of the log. One that no longer holds is rejected: it names the epoch that it was decided
// in, so of two leaders' decisions about one picture one counts.
func (s *State) Apply(op *Op, fleet *membership.State, without Guard) Result {
	result := Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey, Epoch: s.Epoch}
	zone, err := s.apply(op, fleet, without)
	switch {
	case err != nil:
		result.Err = err.Error()
	case zone != nil:
		result.Epoch, result.Phase, result.Share = s.Epoch, zone.Phase, zone.Share
	}
	return result
}

// apply returns the zone that the operation is about, nil if it is about several.
func (s *State) apply(op *Op, fleet *membership.State, without Guard) (*Zone, error) {
	switch op.Kind {
	case OpObserve:
		s.storeCapacities(op, fleet)
		return nil, nil
	case OpSettle:
		return nil, s.settle(op, fleet, without)
	}
	zone := s.findOrAdd(op.Zone, fleet)
	if zone == nil || zone.Name == WholeFleet && op.evacuates() {
		return nil, rejected(ErrUnknownZone, "found no zone %.50q, expected one that nodes are of", op.Zone)
	}
	if op.Kind == OpHold {
		zone.HeldUntilMS = fleet.ClockMS + op.WaitMS
		zone.addEvent(fleet.ClockMS, s.Epoch, nil, "%s: nothing is decided by rules for %d ms", op.Operator, op.WaitMS)
		return zone, nil
	}
	if op.Epoch != s.Epoch {
		return nil, rejected(ErrStaleEpoch, "decided in epoch %d, expected %d", op.Epoch, s.Epoch)
	}
	// Guards against two epochs being acted on at once: nodes of the older one would take their load beside what the
	// newer returns to others, and the rate limit would be exceeded. Nothing is raised before all have promised the
	// newest.
	if op.raisesLoad() && !s.settled() && !without.Has(OneEpoch) {
		return nil, rejected(ErrUnsettled, "epoch %d is not settled: some node may act on an older one", s.Epoch)
	}
	return zone, s.transition(zone, op, fleet)
}

// transition moves a zone to its next phase, share or rate limit.
func (s *State) transition(zone *Zone, op *Op, fleet *membership.State) error {
	switch op.Kind {
	case OpEvacuate:
		return s.evacuate(zone, op, fleet)
	case OpRamp:
		return s.ramp(zone, op, fleet)
	case OpSplit:
		return s.splitAnew(zone, op, fleet)
	case OpStepBack:
		return s.stepBack(zone, op, fleet)
	case OpEndRamp:
		return s.endRamp(zone, op, fleet)
	}
	return rejected(ErrUnknownOp, "op %.20q, expected leave, settle, step, split, in, back, bore or hold", op.Kind)
}

// storeCapacities keeps what the leader observed, so that it outlives the leader.
func (s *State) storeCapacities(op *Op, fleet *membership.State) {
	for _, name := range sortedKeys(op.Capacities) {
		if zone := s.findOrAdd(name, fleet); zone != nil {
			zone.Capacity = op.Capacities[name]
		}
	}
}

// settle ends the time in which nodes may act on an older epoch: evacuations are complete, quotas that grew count.
func (s *State) settle(op *Op, fleet *membership.State, without Guard) error {
	if op.Epoch != s.Epoch || s.settled() {
		return rejected(ErrStaleEpoch, "epoch %d is settled or past", op.Epoch)
	}
	if older := fleet.NodesOnOlderZoneEpoch(s.Epoch); len(older) > 0 && !without.Has(OneEpoch) {
		return rejected(ErrUnsettled, "%d nodes may act on an older epoch", len(older))
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

func (s *State) evacuate(zone *Zone, op *Op, fleet *membership.State) error {
	if zone.Phase == Evacuated && zone.Share <= op.Share || zone.Phase == Evacuating {
		return rejected(ErrWrongPhase, "zone %s is %s already", zone.Name, zone.Phase)
	}
	if !s.anotherInService(zone.Name, fleet) {
		return rejected(ErrLastZone, "zone %s is the last that is in", zone.Name)
	}
	zone.FlapCount++
	if fleet.ClockMS-zone.InServiceSinceMS > flapWindowMS {
		zone.FlapCount = 0
	}
	if capacity, known := op.Capacities[zone.Name]; known {
		zone.Capacity = capacity
	}
	zone.NodesBefore = zone.recentNodes(fleet)
	s.beginEpoch(zone, Evacuating, op, fleet)
	zone.Cause, zone.Operator, zone.RampNotBeforeMS = op.Cause, op.Operator, fleet.ClockMS+op.WaitMS
	zone.DrillUntilMS = 0
	if op.DrillMS > 0 {
		zone.DrillUntilMS = fleet.ClockMS + op.DrillMS
	}
	what := "left"
	if op.Share > 0 {
		what = fmt.Sprintf("left in part, keeps %d of %d by value", op.Share, api.FullShare)
	}
	zone.addEvent(fleet.ClockMS, s.Epoch, op, "%s: %s", what, op.grounds())
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

func (s *State) ramp(zone *Zone, op *Op, fleet *membership.State) error {
	if zone.Phase != Evacuated && zone.Phase != Ramping {
		return rejected(ErrWrongPhase, "zone %s is %s, expected it out or returning", zone.Name, zone.Phase)
	}
	step := *op
	if op.RateLimit == 0 { // an operator's has none
		step.RateLimit, step.ConnectRateLimit = zone.rateLimits(op.Share, zone.nodesIn(fleet))
	}
	s.beginEpoch(zone, Ramping, &step, fleet)
	zone.Operator = op.Operator
	zone.addEvent(fleet.ClockMS, s.Epoch, op, "returns at %d of %d, %.0f runs a second at most: %s", zone.Share,
		api.FullShare,
		zone.RateLimit, op.grounds())
	return nil
}

// splitAnew leaves all as it is but for the quotas.
func (s *State) splitAnew(zone *Zone, op *Op, fleet *membership.State) error {
	if err := zone.expectRamping(); err != nil {
		return err
	}
	same := *op
	same.Share, same.PriorityCutoff = zone.Share, zone.PriorityCutoff
	same.RateLimit, same.ConnectRateLimit = zone.RateLimit, zone.ConnectRateLimit
	since := zone.SinceMS
	s.beginEpoch(zone, Ramping, &same, fleet)
	zone.SinceMS = since
	return nil
}

func (s *State) stepBack(zone *Zone, op *Op, fleet *membership.State) error {
	if err := zone.expectRamping(); err != nil {
		return err
	}
	next := Ramping
	if op.Share == 0 {
		next = Evacuating
		zone.FlapCount++
		zone.RampNotBeforeMS = fleet.ClockMS + op.WaitMS
	}
	s.beginEpoch(zone, next, op, fleet)
	zone.Cause, zone.Operator = op.Cause, op.Operator
	zone.addEvent(fleet.ClockMS, s.Epoch, op, "back to %d of %d: %s", zone.Share, api.FullShare, op.grounds())
	return nil
}

func (s *State) endRamp(zone *Zone, op *Op, fleet *membership.State) error {
	if err := zone.expectRamping(); err != nil {
		return err
	}
	full := *op
	full.Share = api.FullShare
	s.beginEpoch(zone, InService, &full, fleet)
	zone.Cause, zone.Operator = "", ""
	zone.PriorityCutoff, zone.RateLimit, zone.ConnectRateLimit = 0, 0, 0
	zone.Quotas, zone.DrillUntilMS = nil, 0
	zone.InServiceSinceMS = fleet.ClockMS
	zone.addEvent(fleet.ClockMS, s.Epoch, op, "in again: %s", op.grounds())
	return nil
}

func (z *Zone) expectRamping() error {
	if z.Phase != Ramping {
		return rejected(ErrWrongPhase, "zone %s is %s, expected it returning", z.Name, z.Phase)
	}
	return nil
}

// beginEpoch has a zone go on by an operation in a new epoch, and splits its rate limit among the leases.
func (s *State) beginEpoch(zone *Zone, next Phase, op *Op, fleet *membership.State) {
	s.Epoch++
	previous := zone.Phase
	zone.Phase, zone.Share, zone.PriorityCutoff = next, op.Share, op.PriorityCutoff
	zone.Epoch, zone.SinceMS = s.Epoch, fleet.ClockMS
	zone.RateLimit, zone.ConnectRateLimit = op.RateLimit, op.ConnectRateLimit
	s.RetryBudget, s.NoCapacityElsewhere = op.RetryBudget, op.NoCapacityElsewhere
	if s.allInService() {
		s.RetryBudget, s.NoCapacityElsewhere = 0, false
	}
	zone.PreviousQuotas = mergeQuotas(zone.PreviousQuotas, zone.Quotas)
	zone.Quotas = splitQuotas(zone, fleet)
	if previous == InService { // there was no limit before that nodes could exceed
		zone.PreviousQuotas = append([]LeaseQuota{}, zone.Quotas...)
	}
}

// grounds returns who decided the operation, if an operator did, and why.
func (op *Op) grounds() string {
	reason := op.Reason
	if len(reason) > maxEventBytes {
		reason = reason[:maxEventBytes] + "..."
	}
	if op.Operator == "" {
		return reason
	}
	return op.Operator + ": " + reason
}
