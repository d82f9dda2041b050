package zones

const (
	// peakDecay is the factor by which a peak decays at an evaluation: by a tenth in a quarter of an hour, so
	// that a fleet that shrank is not asked for its former load. If it fell faster, a quiet hour would slow the next ramp.
	peakDecay = 0.99994
	// averageWeight is the weight of a new sample in an average, which follows within half a minute. If it
	// followed faster, a failure would become the usual state before it is detected.
	averageWeight = 1.0 / 64
	// observationDelay, in evaluations, is the time that a zone has to stay healthy for a sample to count: runs pile
	// up in the first seconds of a failure, before any node is unhealthy.
	observationDelay = 8
	// maxWarmSlowdown is the highest slowdown, see slowdown, at which a service counts as warm. With a lower one a
	// service whose times vary by a tenth would never be warm.
	maxWarmSlowdown = 1.3
)

// observe adds this evaluation of a healthy zone to the samples, and updates the observed capacity by the oldest one.
func (v *View) observe() {
	v.healthyHistory = append(v.healthyHistory, ObservedCapacity{RunRate: v.RunRate, Concurrency: v.Concurrency,
		RunMS: v.RunMS, CallMS: v.CallMS, ConnectionRate: v.ConnectionRate, FirstAttemptRate: v.FirstAttemptRate})
	if len(v.healthyHistory) <= observationDelay {
		return
	}
	sample := v.healthyHistory[0]
	v.healthyHistory = append(v.healthyHistory[:0], v.healthyHistory[1:]...)
	v.observed.update(sample)
}

// update applies a sample of a healthy zone to the peaks and averages.
func (c *ObservedCapacity) update(sample ObservedCapacity) {
	sample.Concurrency = c.sustainedConcurrency(&sample)
	c.RunRate = max(c.RunRate*peakDecay, sample.RunRate)
	c.Concurrency = max(c.Concurrency*peakDecay, sample.Concurrency)
	c.ConnectionRate = max(c.ConnectionRate*peakDecay, sample.ConnectionRate)
	if sample.RunRate > 0 {
		updateAverage(&c.RunMS, sample.RunMS)
	}
	if sample.CallMS > 0 {
		updateAverage(&c.CallMS, sample.CallMS)
	}
	updateAverage(&c.FirstAttemptRate, sample.FirstAttemptRate)
}

// sustainedConcurrency returns the part of a sample's runs in flight that the services sustained.
//
// Guards against stalled runs counting as sustained, after which a ramp would overload the service: slower runs than
// usual count as none, and by Little's law no more runs can be in flight than start during one run.
func (c *ObservedCapacity) sustainedConcurrency(sample *ObservedCapacity) float64 {
	switch {
	case c.RunMS <= 0:
		return sample.Concurrency
	case sample.RunMS > maxWarmSlowdown*c.RunMS:
		return 0
	}
	return min(sample.Concurrency, maxWarmSlowdown*sample.RunRate*c.RunMS/millisPerSecond)
}

func updateAverage(average *float64, sample float64) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += averageWeight * (sample - *average)
}
