package admission

import "math"

// warmUp is the way of a cold server to its full speed.
type warmUp struct {
	coldSpeed float64 // share of full speed at the start
	startedAt Time
	warmAt    Time
}

func newWarmUp(d *Deployment) warmUp {
	if d.ColdStart && d.ColdSpeed > 0 && d.ColdSpeed < 1 {
		return warmUp{coldSpeed: d.ColdSpeed, startedAt: d.Start, warmAt: d.Start + d.WarmUpTime}
	}
	return warmUp{coldSpeed: 1, startedAt: d.Start, warmAt: d.Start}
}

// speed is the least share of full speed that a server which warms up as promised has by now.
func (w *warmUp) speed(now Time) float64 {
	if now >= w.warmAt {
		return 1
	}
	return w.coldSpeed + (1-w.coldSpeed)*float64(now-w.startedAt)/float64(w.warmAt-w.startedAt)
}

// Terms of the platform's budget for servers that warm up ("slow start"): with few runs the noise is larger.
const (
	smallBudget            = 30 // runs
	smallBudgetSqrtFactor  = 3
	smallBudgetExtra       = 3
	normalBudgetSqrtFactor = 2
	normalBudgetExtra      = 2
)

// warmUpBudget is how many runs a server that warms up may have in progress where its speed allows n: n + 2 roots of
// n + 2, and for small n, n + 3 roots of n + 3. It binds on servers of many cores; with few cores it lies over the
// ceiling's margin. What is started under the looser bound of a small n must still be within the tighter one when n
// has grown, so the looser one is cut there.
func warmUpBudget(n float64) float64 {
	if n < smallBudget {
		return min(n+smallBudgetSqrtFactor*math.Sqrt(n)+smallBudgetExtra, warmUpBudget(smallBudget))
	}
	return n + normalBudgetSqrtFactor*math.Sqrt(n) + normalBudgetExtra
}
