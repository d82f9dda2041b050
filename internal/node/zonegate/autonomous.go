package zonegate

import "umberwinch/internal/control/api"

const (
	// minAutonomousStepMS, in ms: an order without a time to live, or with a tiny one, must not change the share at
	// every call.
	minAutonomousStepMS = 1000

	// autonomousFactor: the share doubles or halves a step. What it grows by at once is at most what it took and bore
	// before.
	autonomousFactor = 2

	// minAutonomousShare, of api.FullShare: a share that begins from nothing takes enough to show whether its
	// requests go well.
	minAutonomousShare = api.FullShare / 16
)

// ContinueAutonomously decides the share of a node without the control service. It reports whether the share has
// changed.
//
// Inputs: the time in ms, and whether the node's own requests go well (Meter.Healthy). The last order holds for its
// time to live. After that the share doubles each time that this time has passed while requests go well, and halves
// where they do not: a control service that is away for long must not keep a zone evacuated for ever, and its
// services below had that time to warm up. It may harm services below that are still cold: the share falls again
// then.
func (g *Gate) ContinueAutonomously(now uint64, healthy bool) (changed bool) {
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

// BeginAutonomousColdStart has the node begin with a share, of api.FullShare, by itself: it starts while the control
// service is away, and can't tell whether most of the fleet does so with it. From there ContinueAutonomously decides,
// each stepMS.
func (g *Gate) BeginAutonomousColdStart(now uint64, share int, stepMS uint64) {
	if !g.hasOrder {
		g.order = api.ZoneOrder{Share: api.FullShare}
	}
	g.hasOrder, g.autonomousSince, g.adjustedAt = true, now, now
	g.order.Share, g.order.TTLMS = min(g.order.Share, max(1, share)), stepMS
}
