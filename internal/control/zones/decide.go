package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// decider holds the inputs of one evaluation.
type decider struct {
	monitor  *Monitor
	now      uint64 // ms of the leader's monotonic clock
	state    *State
	fleet    *membership.State
	rules    *api.ZoneRules
	disabled Guard
}

// Decide returns the operation that the leader should append to the log, nil if there is none. now is in ms of the
// leader's monotonic clock. The next operation is decided only after this one was applied.
//
// The rules, in order: settle the epoch; step the ramp of the whole fleet (continueRamp); for each zone by name,
// evacuate one in service (evacuate), begin the ramp of an evacuated one (beginRamp) or step a ramp (continueRamp);
// store observed capacities.
func (m *Monitor) Decide(now uint64, state *State, fleet *membership.State, rules *api.ZoneRules, disabled Guard) *Op {
	if o := m.decide(now, state, fleet, rules, disabled); o != nil {
		return o.encode()
	}
	return nil
}

func (m *Monitor) decide(now uint64, state *State, fleet *membership.State, rules *api.ZoneRules, disabled Guard,
) operation {
	if !rules.Enabled() {
		return nil
	}
	if m.startedAt == 0 || now-m.evaluatedAt >= evaluationIntervalMS {
		m.evaluate(now, state, fleet, disabled)
	}
	d := &decider{monitor: m, now: now, state: state, fleet: fleet, rules: rules, disabled: disabled}
	if !state.settled() && (len(fleet.NodesOnOlderZoneEpoch(state.Epoch)) == 0 || disabled.Has(OneEpoch)) {
		return &settlement{target{epoch: state.Epoch}}
	}
	if fleetZone := state.Find(WholeFleet); fleetZone != nil && fleetZone.Phase == Ramping {
		if o := d.decideZone(fleetZone, m.fleetView); o != nil {
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

// decideZone returns the next operation on a zone, nil if there is none. zone is nil if the state has no entry for
// it.
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
		// A partially evacuated zone that is now dead serves nothing: the rest is evacuated even under api.ZoneModeManual.
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

// target returns the view's zone and the current epoch.
func (d *decider) target(view *View) target { return target{view.Zone, d.state.Epoch} }

// retryBudget returns the retry budget once the operation on view's zone is applied; see Monitor.retryBudget.
func (d *decider) retryBudget(view *View, next Phase, getsFirstAttempts bool) retryBudget {
	retries, noCapacity := d.monitor.retryBudget(d.state, view, next, getsFirstAttempts)
	return retryBudget{retries, noCapacity}
}

// mayRaiseLoad reports whether load may be raised: no node acts on an older epoch.
func (d *decider) mayRaiseLoad() bool { return d.state.settled() || d.disabled.Has(OneEpoch) }
