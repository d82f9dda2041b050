package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// maxPartialRampShare, of api.FullShare: a zone that was evacuated in part goes on from at most half, as what it still
// takes was its least valued load.
const maxPartialRampShare = api.FullShare / 2

// beginRamp decides whether load returns to an evacuated zone, with the smallest share.
//
// Inputs: the zone's state, its view, the policy's initial share. The zone has to be ready (readyToRamp), its wait
// has to be over, and no lease may act on an older epoch. It may harm the callers whose requests are in the share,
// should the zone fail again.
func (d *decider) beginRamp(zone *Zone, view *View) operation {
	if obstacle := readyToRamp(zone, view); obstacle != "" {
		view.Note = "out: " + obstacle
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

// readyToRamp decides whether an evacuated zone could take load again, and returns what it lacks, empty if nothing.
// Half of the nodes that it had have to be heard, and their kernels there; of a zone evacuated in part what it takes
// must not show failures.
func readyToRamp(zone *Zone, view *View) (obstacle string) {
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
	case zone.Share > 0 && view.unhealthyRatio() > healthyShare:
		return fmt.Sprintf("%d of %d nodes heard are sick (%s)", view.NodesUnhealthy, view.NodesReporting, view.Symptom)
	}
	return ""
}

// mayRampFromPartial reports whether a zone that was evacuated in part may go on from what it takes.
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

// rampStep returns a step of a ramp to a share, with the rate limits of that share.
func (d *decider) rampStep(zone *Zone, view *View, share int, why rationale) operation {
	if d.disabled.Has(PacedRamp) {
		share = api.FullShare
	}
	takes := limits{share: share, budget: d.retryBudget(view, Ramping, true)}
	takes.rateLimit, takes.connectRateLimit = zone.rateLimits(share, view.NodesIn)
	return &rampStep{d.target(view), takes, why}
}
