package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// decider is what the rules go by at one evaluation: plain inputs, and the evidence as of now.
type decider struct {
	monitor  *Monitor
	now      uint64 // ms of the leader's clock
	state    *State
	fleet    *membership.State
	rules    *api.ZoneRules
	disabled Guard
}

// Decide returns the operation that the leader should add to the log, nil if there is none. now is in ms of the
// leader's monotonic clock. One operation at a time: the next is decided once this one was applied.
//
// The rules, in order: settle an epoch; the ramp of the whole fleet (continueRamp); for each zone by name: evacuate
// one in service (evacuate), begin the ramp of an evacuated one (beginRamp), go on with a ramp (continueRamp); keep
// observed capacities.
func (m *Monitor) Decide(now uint64, state *State, fleet *membership.State, rules *api.ZoneRules, without Guard) *Op {
	if o := m.decide(now, state, fleet, rules, without); o != nil {
		return o.encode()
	}
	return nil
}

func (m *Monitor) decide(now uint64, state *State, fleet *membership.State, rules *api.ZoneRules, without Guard,
) operation {
	if !rules.Enabled() {
		return nil
	}
	if m.startedAt == 0 || now-m.evaluatedAt >= evaluationIntervalMS {
		m.evaluate(now, state, fleet, without)
	}
	d := &decider{monitor: m, now: now, state: state, fleet: fleet, rules: rules, disabled: without}
	if !state.settled() && (len(fleet.NodesOnOlderZoneEpoch(state.Epoch)) == 0 || without.Has(OneEpoch)) {
		return &settlement{target{epoch: state.Epoch}}
	}
	if whole := state.Find(WholeFleet); whole != nil && whole.Phase == Ramping {
		if o := d.decideZone(whole, m.fleetView); o != nil {
			return o
		}
	}
	for _, view := range m.views {
		if o := d.decideZone(state.Find(view.Zone), view); o != nil {
			return o
		}
	}
	return m.capacitiesToStore(now)
}

// decideZone returns the next operation about a zone; zone is nil if nothing was ever decided about it.
func (d *decider) decideZone(zone *Zone, view *View) operation {
	if zone != nil && d.fleet.ClockMS < zone.HeldUntilMS {
		return nil
	}
	automatic := d.rules.Mode == api.ZoneModeAuto
	phase, _ := d.state.PhaseOf(view.Zone)
	switch phase {
	case InService:
		if automatic {
			return d.evacuate(view)
		}
	case Evacuated:
		// It was evacuated in part, and now it is dead: the rest is evacuated by the rules, under decide = ask too, as
		// nothing is left there to serve what stayed.
		if zone.Share > 0 && view.FailureScore >= evacuateScore && view.silent() {
			return d.evacuate(view)
		}
		if automatic && zone.Operator == "" || d.shouldEndDrill(zone) {
			return d.beginRamp(zone, view)
		}
	case Ramping:
		return d.continueRamp(zone, view)
	}
	return nil
}

// target is the zone of a view, for an operation that is decided now.
func (d *decider) target(view *View) target { return target{view.Zone, d.state.Epoch} }

// retryBudget decides what the zones in service may admit of retries once an operation is applied.
func (d *decider) retryBudget(view *View, next Phase, listed bool) retryBudget {
	retries, noCapacity := d.monitor.retryBudget(d.state, view, next, listed)
	return retryBudget{retries, noCapacity}
}

// mayRaiseLoad reports whether load may be raised: nobody acts on an older epoch.
func (d *decider) mayRaiseLoad() bool { return d.state.settled() || d.disabled.Has(OneEpoch) }
