package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

const (
	// maxRejectedRatio, of first attempts: a ramp does not end while more is rejected. What comes again beside the first
	// attempts then fits into what maxUtilization leaves.
	maxRejectedRatio = 0.1
	// maxLimitFactor a step: a larger one asks the services for more than they were seen to bear before that shows.
	maxLimitFactor = 1.15
	// minLimitFactor: a smaller step is not worth an epoch. A demand of nine tenths leaves a tenth for those who
	// wait, so small steps drain them.
	minLimitFactor = 1.02
	// maxLimitRatio, times the observed rate: by then the limit bounds nothing that matters.
	maxLimitRatio = 1.5
	// maxFinalStepMS at one rate limit: the zone is asked for more than it bears then, and its nodes shed that themselves.
	// Sooner, callers that were told to wait would all come at once.
	maxFinalStepMS = 30_000
)

// finishRamp decides how the ramp of a zone that takes all of its load ends.
//
// Inputs: the rates of attempts and of rejections, the rate limit and the observed rate in runs a second, the time at
// this limit in ms. While many attempts are rejected the rate limit grows in place of ending: who was rejected comes
// again, and all would come at once if the limit just ended. It may prolong the ramp by maxFinalStepMS at each limit.
func (d *decider) finishRamp(zone *Zone, view *View, shownMS uint64) operation {
	manyRejected := view.RejectedRate > maxRejectedRatio*view.FirstAttemptRate
	if manyRejected && zone.RateLimit < maxLimitRatio*zone.Capacity.RunRate && shownMS < maxFinalStepMS {
		return d.raiseLimit(zone, view)
	}
	reason := fmt.Sprintf("%.0f runs under way of %.0f it bore", view.Concurrency, zone.Capacity.Concurrency)
	return &rampEnd{d.target(view), rationale{reason: reason}, d.retryBudget(view, InService, true)}
}

// raiseLimit raises the rate limit of a zone that takes all of its load, nil if all that it bore is in flight.
func (d *decider) raiseLimit(zone *Zone, view *View) operation {
	factor := maxLimitFactor
	if load := view.highestLoad(); load > 0 {
		factor = min(factor, stepBackLoad/load) // a little more than was observed, or no fewer would be rejected
	}
	if factor < minLimitFactor {
		view.Note = fmt.Sprintf("takes all, and still turns %.0f a second away: held, "+
			"%.0f runs under way of %.0f it bore",
			view.RejectedRate, view.Concurrency, zone.Capacity.Concurrency)
		return nil
	}
	takes := limits{
		share:            api.FullShare,
		rateLimit:        zone.RateLimit * factor,
		connectRateLimit: zone.ConnectRateLimit * factor,
		budget:           d.retryBudget(view, Ramping, true),
	}
	why := rationale{operator: zone.Operator,
		reason: fmt.Sprintf("takes all, and still turns %.0f a second away", view.RejectedRate)}
	return &rampStep{d.target(view), takes, why}
}
