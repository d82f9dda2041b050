package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// maxPartialRampShare, of api.FullShare, is the highest share from which the ramp of a partially evacuated zone
// starts: what it still takes was its load of least weight.
const maxPartialRampShare = api.FullShare / 2

// beginRamp decides whether an evacuated zone starts to ramp, at the policy's initial share. The zone has to be
// ready, its delay over, and no lease may act on an older epoch. A partially evacuated zone continues from the load
// that it takes.
func (d *decider) beginRamp(zone *Zone, view *View) operation {
	if missing := readyToRamp(zone, view); missing != "" {
		view.Note = "out: " + missing
		return nil
	}
	if d.fleet.ClockMS < zone.RampNotBeforeMS {
		view.Note = fmt.Sprintf("out, well, and waits for %d ms more", zone.RampNotBeforeMS-d.fleet.ClockMS)
		return nil
	}
	if !d.mayRaiseLoad() {
		return nil
	}
	share := max(1, d.rules.InitialShare)
	if zone.Share > 0 && view.FirstAttemptRate > 0 {
		if !mayRampFromPartial(zone, view) {
			return nil
		}
		share = max(share, int(maxPartialRampShare*min(1, view.AdmittedRate/view.FirstAttemptRate)))
	}
	return d.rampStep(zone, view, share, rationale{reason: "its nodes and kernels are there"})
}

// readyToRamp returns what an evacuated zone lacks to take load, empty if nothing. At least half of its former nodes
// have to be present and most kernels connected; the load that a partially evacuated zone takes must not show
// failures.
func readyToRamp(zone *Zone, view *View) (missing string) {
	present := view.NodesIn - min(view.NodesIn, view.NodesSilent)
	switch {
	case view.silent() || view.NodesIn == 0:
		return "nobody of it is heard"
	case 2*present < zone.NodesBefore:
		return fmt.Sprintf("%d of the %d nodes it had are there", present, zone.NodesBefore)
	case !view.hasQuorum():
		return view.Note
	case !view.KernelsUp:
		return "most of its nodes have no kernel"
	case zone.Share > 0 && view.unhealthyRatio() > maxUnhealthyRatio:
		return fmt.Sprintf("%d of %d nodes heard are sick (%s)", view.NodesUnhealthy, view.NodesReporting, view.Symptom)
	}
	return ""
}

// mayRampFromPartial reports whether a partially evacuated zone has capacity for more than it takes.
func mayRampFromPartial(zone *Zone, view *View) bool {
	observed := zone.Capacity.Concurrency
	view.recordLoad(view.Concurrency / max(observed, minRate))
	if view.highestLoad() > targetLoad && !isWarm(view, &zone.Capacity) {
		view.Note = fmt.Sprintf("left in part, and held there: %.0f runs under way of %.0f it bore",
			view.Concurrency, observed)
		return false
	}
	return true
}

// rampStep returns a step of a ramp to a share, with that share's rate limits.
func (d *decider) rampStep(zone *Zone, view *View, share int, basis rationale) operation {
	if d.disabled.Has(PacedRamp) {
		share = api.FullShare
	}
	stepLimits := limits{share: share, budget: d.retryBudget(view, Ramping, true)}
	stepLimits.rateLimit, stepLimits.connectRateLimit = zone.rateLimits(share, view.NodesIn)
	return &rampStep{d.target(view), stepLimits, basis}
}
