package zonegate

import (
	"math"

	"umberwinch/internal/control/api"
)

// shareGrowth is how the share has grown lately: by which factor at the last step, and how long after the step before.
type shareGrowth struct {
	steppedAt uint64 // ms
	interval  uint64 // ms between the last two steps, 0: not known
	factor    float64
}

// record takes a change of the share. One that does not raise it says nothing of when the next one will.
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

// roundingSlack keeps a place that the share reaches exactly at a step from being counted one step later.
const roundingSlack = 1e-9

// RetryAfter decides after how many ms a request that the share leaves out may be admitted, 0 where nothing tells.
//
// Inputs: the request's place, the share, how the share grew at its last step and how long that took. The share
// admits by place, so every attempt before the share has reached this one is in vain: the time until then is that of
// as many steps like the last one as it takes. It acts while a share grows; it harms nobody but a caller that waits
// longer than the share would have taken.
func (g *Gate) RetryAfter(now uint64, request Request) uint64 {
	place, growth := request.bucket(), &g.growth
	known := g.hasOrder && g.order.Share > 0 && g.order.PriorityCutoff <= 0 && growth.interval != 0 &&
		growth.factor >= api.MinRampFactor
	if !known || place < g.order.Share {
		return 0
	}
	steps := math.Ceil(math.Log(float64(place+1)/float64(g.order.Share))/math.Log(growth.factor) - roundingSlack)
	reached := uint64(max(steps, 1) * float64(growth.interval))
	elapsed := now - min(now, growth.steppedAt)
	return reached - min(reached, elapsed)
}
