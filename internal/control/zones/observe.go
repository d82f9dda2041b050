package zones

const (
	// peakDecay of an evaluation: a peak falls by a tenth in a quarter of an hour, so that a fleet that shrank is not
	// asked for what it once sustained; faster, a quiet hour would make the next ramp slow.
	peakDecay = 0.99994
	// averageWeight of an evaluation: what is usual follows within half a minute. Faster, a failure would become usual
	// before it is found.
	averageWeight = 1.0 / 64
	// observationDelay, in evaluations: what is seen counts four seconds later, if the zone was healthy all the while.
	// The first seconds of a failure show runs that pile up before anything is unhealthy, and no service sustained
	// those.
	observationDelay = 8
	// maxWarmSlowdown: a service that takes no more than this of its usual time is warm. Less would never find a service
	// warm whose times vary by a tenth.
	maxWarmSlowdown = 1.3
)

// observe keeps what a healthy zone's services bear, and what is usual for it.
func (v *View) observe() {
	v.healthyHistory = append(v.healthyHistory, ObservedCapacity{RunRate: v.RunRate, Concurrency: v.Concurrency,
		RunMS:  v.RunMS,
		CallMS: v.CallMS, ConnectionRate: v.ConnectionRate, FirstAttemptRate: v.FirstAttemptRate})
	if len(v.healthyHistory) <= observationDelay {
		return
	}
	seen := v.healthyHistory[0]
	v.healthyHistory = append(v.healthyHistory[:0], v.healthyHistory[1:]...)
	v.observed.update(seen)
}

// update takes what was seen of a healthy zone. Peaks decay, what is usual follows slowly.
func (c *ObservedCapacity) update(seen ObservedCapacity) {
	seen.Concurrency = c.sustainedConcurrency(&seen)
	c.RunRate = max(c.RunRate*peakDecay, seen.RunRate)
	c.Concurrency = max(c.Concurrency*peakDecay, seen.Concurrency)
	c.ConnectionRate = max(c.ConnectionRate*peakDecay, seen.ConnectionRate)
	if seen.RunRate > 0 {
		updateAverage(&c.RunMS, seen.RunMS)
	}
	if seen.CallMS > 0 {
		updateAverage(&c.CallMS, seen.CallMS)
	}
	updateAverage(&c.FirstAttemptRate, seen.FirstAttemptRate)
}

// sustainedConcurrency returns how much of what was in flight the services sustained.
//
// Guards against stalled runs being taken for sustained load: a ramp would ask the service for far too much. Where runs
// are slower than usual nothing was sustained; and by Little's law no more can be in flight than begin in the time that
// one takes.
func (c *ObservedCapacity) sustainedConcurrency(seen *ObservedCapacity) float64 {
	switch {
	case c.RunMS <= 0:
		return seen.Concurrency
	case seen.RunMS > maxWarmSlowdown*c.RunMS:
		return 0
	}
	return min(seen.Concurrency, maxWarmSlowdown*seen.RunRate*c.RunMS/millisPerSecond)
}

func updateAverage(usual *float64, seen float64) {
	if *usual == 0 {
		*usual = seen
		return
	}
	*usual += averageWeight * (seen - *usual)
}
