package pools

// minSamples is the number of recent runs from which the quantiles of a class's work are updated: the median of fewer
// varies by more than classes differ. The first estimate is made from any number.
const minSamples = 20

// Quantiles of work.
const (
	medianQuantile = 0.5
	highQuantile   = 0.95
)

// classCost is the work of a class's runs, in Time: the time of a run without its calls.
type classCost struct {
	history workHistory
	median  float64 // 0: no run has ended yet
	p95     float64
	mean    float64
}

// updateQuantiles updates median and p95 from recent runs. With too few of them the previous values stay.
func (c *classCost) updateQuantiles(now Time) {
	recent := c.history.merged(now)
	if recent.count >= minSamples || c.median == 0 && recent.count > 0 {
		c.median, c.p95 = recent.quantile(medianQuantile), recent.quantile(highQuantile)
	}
}

// updateMean updates the mean from workDone, the work of the runs that ended recently. The median is its lower bound:
// while costly runs have not ended yet, those that have are cheaper than the class.
func (c *classCost) updateMean(now Time, workDone float64) {
	c.mean = c.median
	if recent := c.history.merged(now); recent.count > 0 {
		c.mean = max(c.mean, workDone/float64(recent.count))
	}
}

// workHistory is the distribution of work over recent history: a ring of one sketch per step.
type workHistory struct {
	step    int64 // number of the newest step, counted from time 0
	buckets [historySteps]sketch
}

// advance drops expired steps and returns the sketch of the current one.
func (h *workHistory) advance(now Time) *sketch {
	step := int64(now / historyStep)
	if h.step == 0 || step-h.step >= historySteps {
		h.buckets, h.step = [historySteps]sketch{}, step
	}
	for h.step < step {
		h.step++
		h.buckets[h.step%historySteps] = sketch{}
	}
	return &h.buckets[h.step%historySteps]
}

func (h *workHistory) add(now Time, work float64) { h.advance(now).add(work) }

// merged returns the distribution over all recent steps.
func (h *workHistory) merged(now Time) sketch {
	h.advance(now)
	var s sketch
	for k := range h.buckets {
		s.merge(&h.buckets[k])
	}
	return s
}
