package pools

// minSamples is the runs of a class from which its usual work is known anew: a median of fewer swings by more than the
// distance between classes. Until the first so many, what there is has to do.
const minSamples = 20

// Quantiles of work that are read.
const (
	medianQuantile = 0.5
	highQuantile   = 0.95
)

// classCost is what the runs of one class cost: the time of a run less its calls.
type classCost struct {
	history workHistory
	median  float64 // kept while nothing runs; 0 while no run has been seen
	p95     float64
	mean    float64
}

// updateQuantiles reads the quantiles of recent runs.
func (c *classCost) updateQuantiles(now Time) {
	recent := c.history.merged(now)
	if recent.count >= minSamples || c.median == 0 && recent.count > 0 {
		c.median, c.p95 = recent.quantile(medianQuantile), recent.quantile(highQuantile)
	}
}

// updateMean takes the mean work of the runs that ended lately; it is no less than the median, which the few costly
// runs that have not ended yet can't hide.
func (c *classCost) updateMean(now Time, workDone float64) {
	c.mean = c.median
	if recent := c.history.merged(now); recent.count > 0 {
		c.mean = max(c.mean, workDone/float64(recent.count))
	}
}

// workHistory is a sketch of recent work: a ring of sketches, the oldest of which is dropped as time goes on.
type workHistory struct {
	step    int64
	buckets [historySteps]sketch
}

func (h *workHistory) advance(now Time) *sketch {
	slot := int64(now / historyStep)
	if h.step == 0 || slot-h.step >= historySteps {
		h.buckets, h.step = [historySteps]sketch{}, slot
	}
	for h.step < slot {
		h.step++
		h.buckets[h.step%historySteps] = sketch{}
	}
	return &h.buckets[h.step%historySteps]
}

func (h *workHistory) add(now Time, work float64) { h.advance(now).add(work) }

func (h *workHistory) merged(now Time) sketch {
	h.advance(now)
	var s sketch
	for k := range h.buckets {
		s.merge(&h.buckets[k])
	}
	return s
}
