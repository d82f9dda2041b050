package admission

import "math"

// warmUp models the rise of a cold server to its full speed.
type warmUp struct {
	coldSpeed float64 // initial speed as a fraction of full speed
	startedAt Time
	warmAt    Time
}

func newWarmUp(d *Deployment) warmUp {
	if d.ColdStart && d.ColdSpeed > 0 && d.ColdSpeed < 1 {
		return warmUp{coldSpeed: d.ColdSpeed, startedAt: d.Start, warmAt: d.Start + d.WarmUpTime}
	}
	return warmUp{coldSpeed: 1, startedAt: d.Start, warmAt: d.Start}
}

// speed returns the minimum speed at a time as a fraction of full speed.
func (w *warmUp) speed(now Time) float64 {
	if now >= w.warmAt {
		return 1
	}
	return w.coldSpeed + (1-w.coldSpeed)*float64(now-w.startedAt)/float64(w.warmAt-w.startedAt)
}

// Parameters of the platform's limit on runs during warm-up (slow start): with few runs their number varies more.
const (
	smallBudget            = 30 // runs
	smallBudgetSqrtFactor  = 3
	smallBudgetExtra       = 3
	normalBudgetSqrtFactor = 2
	normalBudgetExtra      = 2
)

// warmUpBudget returns the maximum number of runs in progress during warm-up at a speed that allows n: n + 2 sqrt(n)
// + 2, and n + 3 sqrt(n) + 3 for small n. The limit for small n never exceeds that at smallBudget, since runs
// started under it must still be within the limit when n has grown.
func warmUpBudget(n float64) float64 {
	if n < smallBudget {
		return min(n+smallBudgetSqrtFactor*math.Sqrt(n)+smallBudgetExtra, warmUpBudget(smallBudget))
	}
	return n + normalBudgetSqrtFactor*math.Sqrt(n) + normalBudgetExtra
}
