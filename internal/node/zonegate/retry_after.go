package zonegate

import (
	"math"

	"umberwinch/internal/control/api"
)

// shareGrowth is the last growth of the share: its factor, and the time since the step before.
type shareGrowth struct {
	steppedAt uint64 // ms
	interval  uint64 // ms between the last two steps, 0: not known
	factor    float64
}

// record records a change of the share. One that doesn't raise it resets the growth: the next step can't be predicted
// from it.
func (g *shareGrowth) record(now uint64, from, to int) {
	if from <= 0 || to <= from {
		*g = shareGrowth{steppedAt: now}
		return
	}
	if g.steppedAt != 0 {
		g.interval = max(now-g.steppedAt, 1)
	}
	g.steppedAt, g.factor = now, min(float64(to)/float64(from), api.MaxRampFactor)
}

// roundingMargin absorbs rounding errors where the share reaches a bucket exactly at a step: it would be counted one
// step later.
const roundingMargin = 1e-9

// RetryAfter estimates after how many ms the share will admit a request that it rejects now, from the factor and
// interval of the share's last growth; 0 if it can't be estimated. As the share admits by bucket, every earlier attempt
// would be rejected too.
func (g *Gate) RetryAfter(now uint64, request Request) uint64 {
	bucket, growth := request.bucket(), &g.growth
	known := g.hasOrder && g.order.Share > 0 && g.order.PriorityCutoff <= 0 && growth.interval != 0 &&
		growth.factor >= api.MinRampFactor
	if !known || bucket < g.order.Share {
		return 0
	}
	steps := math.Ceil(math.Log(float64(bucket+1)/float64(g.order.Share))/math.Log(growth.factor) - roundingMargin)
	reached := uint64(max(steps, 1) * float64(growth.interval))
	elapsed := now - min(now, growth.steppedAt)
	return reached - min(reached, elapsed)
}
