package zones

const (
	// peakDecay of an evaluation: a peak falls by a tenth in a quarter of an hour, so that a fleet that shrank is not
	// asked for what it once sustained; faster, a quiet hour would make the next ramp slow.
	peakDecay = 0.99994
	// usualFollow of an evaluation: what is usual follows within half a minute. Faster, a failure would become usual
	// before it is found.
	usualFollow = 1.0 / 64
	// observeDelay, in evaluations: what is seen counts four seconds later, if the zone was healthy all the while.
	// The first seconds of a failure show runs that pile up before anything is unhealthy, and no service sustained
	// those.
	observeDelay = 8
	// warmFactor: a service that takes no more than this of its usual time is warm. Less would never find a service
	// warm whose times vary by a tenth.
	warmFactor = 1.3
)

// observe keeps what a healthy zone's services bear, and what is usual for it.
func (v *View) observe() {
	v.healthyHistory = append(v.healthyHistory, ObservedCapacity{RunRate: v.RunRate, Concurrency: v.Concurrency,
		RunMS:  v.RunMS,
		CallMS: v.CallMS, ConnectionRate: v.ConnectionRate, FirstAttemptRate: v.FirstAttemptRate})
	if len(v.healthyHistory) <= observeDelay {
		return
	}
	seen := v.healthyHistory[0]
	v.healthyHistory = append(v.healthyHistory[:0], v.healthyHistory[1:]...)
	v.observed.learn(seen)
}

// learn takes what was seen of a healthy zone. Peaks decay, what is usual follows slowly.
func (c *ObservedCapacity) learn(seen ObservedCapacity) {
	seen.Concurrency = c.sustainedConcurrency(&seen)
	c.RunRate = max(c.RunRate*peakDecay, seen.RunRate)
	c.Concurrency = max(c.Concurrency*peakDecay, seen.Concurrency)
	c.ConnectionRate = max(c.ConnectionRate*peakDecay, seen.ConnectionRate)
	if seen.RunRate > 0 {
		follow(&c.RunMS, seen.RunMS)
	}
	if seen.CallMS > 0 {
		follow(&c.CallMS, seen.CallMS)
	}
	follow(&c.FirstAttemptRate, seen.FirstAttemptRate)
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
	case seen.RunMS > warmFactor*c.RunMS:
		return 0
	}
	return min(seen.Concurrency, warmFactor*seen.RunRate*c.RunMS/millisPerSecond)
}

func follow(usual *float64, seen float64) {
	if *usual == 0 {
		*usual = seen
		return
	}
	*usual += usualFollow * (seen - *usual)
}
