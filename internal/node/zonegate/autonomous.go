package zonegate

import "umberwinch/internal/control/api"

const (
	// minAutonomousStepMS is the shortest time between two changes of the share, for orders with a short time to live or
	// none.
	minAutonomousStepMS = 1000

	// autonomousFactor is the factor by which the share grows or shrinks in one step.
	autonomousFactor = 2

	// minAutonomousShare, of api.FullShare, is the share after the first growth: enough requests to judge by.
	minAutonomousShare = api.FullShare / 16
)

// AdjustAutonomousShare adjusts the share of a node without the control service and reports whether it changed. The last
// order holds for its time to live, or minAutonomousStepMS if longer. After each further such time the share doubles if
// the node's own requests are healthy, from at least minAutonomousShare, and halves otherwise, down to 1 of FullShare,
// also from 0. Guards against a zone that stays evacuated while the control service is down.
func (g *Gate) AdjustAutonomousShare(now uint64, healthy bool) (changed bool) {
	if !g.hasOrder || g.order.Share >= api.FullShare && g.order.PriorityCutoff == 0 && !g.order.RateLimited {
		return false
	}
	if g.autonomousSince == 0 {
		g.autonomousSince, g.adjustedAt = now, now
	}
	if now-g.adjustedAt < max(g.order.TTLMS, minAutonomousStepMS) {
		return false
	}
	g.adjustedAt = now
	g.order.PriorityCutoff, g.order.RetryBudget = 0, 0
	if healthy {
		g.grow(now)
	} else {
		g.shrink(now)
	}
	return true
}

func (g *Gate) shrink(now uint64) {
	order := &g.order
	order.Share = max(1, order.Share/autonomousFactor)
	order.RateLimit /= autonomousFactor
	order.ConnectRateLimit /= autonomousFactor
	g.growth = shareGrowth{steppedAt: now}
}

func (g *Gate) grow(now uint64) {
	order := &g.order
	previous := order.Share
	order.Share = min(api.FullShare, max(minAutonomousShare, autonomousFactor*order.Share))
	g.growth.record(now, previous, order.Share)
	order.RateLimit = max(1, autonomousFactor*order.RateLimit)
	order.ConnectRateLimit = max(1, autonomousFactor*order.ConnectRateLimit)
	if order.Share == api.FullShare {
		order.RateLimited = false
	}
}

// BeginAutonomousColdStart sets the first share, of api.FullShare, of a node that starts without the control service.
// AdjustAutonomousShare adjusts it every stepMS. Guards against a fleet that restarts as a whole and overloads
// dependencies that are warming up.
func (g *Gate) BeginAutonomousColdStart(now uint64, share int, stepMS uint64) {
	if !g.hasOrder {
		g.order = api.ZoneOrder{Share: api.FullShare}
	}
	g.hasOrder, g.autonomousSince, g.adjustedAt = true, now, now
	g.order.Share, g.order.TTLMS = min(g.order.Share, max(1, share)), stepMS
}
