package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

const (
	// maxRejectedRatio is the highest ratio of rejections to first attempts at which a ramp ends: the retries then
	// fit into the capacity above maxUtilization.
	maxRejectedRatio = 0.1
	// maxLimitFactor is the largest factor by which one step raises the rate limit.
	maxLimitFactor = 1.15
	// minLimitFactor is the smallest factor that is worth an epoch.
	minLimitFactor = 1.02
	// maxLimitRatio is the rate limit from which it is no longer raised, as a multiple of the observed run rate.
	maxLimitRatio = 1.5
	// maxFinalStepMS is the longest time at full share and one rate limit. The ramp then ends, and the nodes shed the
	// excess themselves.
	maxFinalStepMS = 30_000
)

// finishRamp decides how the ramp of a zone at full share ends. While many attempts are rejected the rate limit is
// raised instead, as all of those callers would retry at once if the limit were removed. stepAgeMS is the time at
// this limit.
func (d *decider) finishRamp(zone *Zone, view *View, stepAgeMS uint64) operation {
	manyRejected := view.RejectedRate > maxRejectedRatio*view.FirstAttemptRate
	if manyRejected && zone.RateLimit < maxLimitRatio*zone.Capacity.RunRate && stepAgeMS < maxFinalStepMS {
		return d.raiseLimit(zone, view)
	}
	reason := fmt.Sprintf("%.0f runs under way of %.0f it bore", view.Concurrency, zone.Capacity.Concurrency)
	return &rampEnd{d.target(view), rationale{reason: reason}, d.retryBudget(view, InService, true)}
}

// raiseLimit returns the operation that raises the rate limit of a zone at full share, nil if its load is too high.
func (d *decider) raiseLimit(zone *Zone, view *View) operation {
	factor := maxLimitFactor
	if load := view.highestLoad(); load > 0 {
		factor = min(factor, stepBackLoad/load) // a little above the observed load, to reject less
	}
	if factor < minLimitFactor {
		view.Note = fmt.Sprintf("takes all, and still turns %.0f a second away: held, "+
			"%.0f runs under way of %.0f it bore", view.RejectedRate, view.Concurrency, zone.Capacity.Concurrency)
		return nil
	}
	stepLimits := limits{
		share:            api.FullShare,
		rateLimit:        zone.RateLimit * factor,
		connectRateLimit: zone.ConnectRateLimit * factor,
		budget:           d.retryBudget(view, Ramping, true),
	}
	basis := rationale{operator: zone.Operator,
		reason: fmt.Sprintf("takes all, and still turns %.0f a second away", view.RejectedRate)}
	return &rampStep{d.target(view), stepLimits, basis}
}
