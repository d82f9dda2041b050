package admission

import "math"

const (
	// targetQueuePerCore is the number of queued requests per core at which the pressure is constant: cores
	// stay busy and waits short.
	targetQueuePerCore = 0.5
	// readDelayWeight converts the read delay, as a fraction of the latency objective, to queued requests per core: a
	// quarter of the objective counts as targetQueuePerCore.
	readDelayWeight = 2
	// secondsToFullPressure is the time from no pressure to all at the maximum rise. Callers react to a value with a
	// delay and follow it for a second, and a faster rise makes the load oscillate, with idle cores in between.
	secondsToFullPressure = 3.0
	// maxRise and maxFall bound the excess of queued requests per core that the pressure follows. It falls slower
	// than it rises, so that the load that was kept away does not return at once.
	maxRise = 1.0
	maxFall = 0.25
	// maxPressure leaves a tenth of the traffic, which shows when the server has capacity again.
	maxPressure = 0.9
	// inFlightPerRun is the sum of all credits relative to the concurrency limit: one request queued per run.
	inFlightPerRun = 2
	// minSignalChange is the smallest change of the value that is signalled.
	minSignalChange = 0.01
)

// signalState computes the overload value that is sent with every response.
type signalState struct {
	kind     OverloadSignal // how callers interpret the value
	callers  float64
	pressure float64 // fraction of traffic to keep away, 0 to 1
	lastSent float64 // value sent last
}

// adjust moves the pressure. elapsed is in seconds, queuedPerCore in requests, and readDelay is a fraction of the
// latency objective.
func (s *signalState) adjust(elapsed, queuedPerCore, readDelay float64) {
	excess := min(max(queuedPerCore+readDelayWeight*readDelay-targetQueuePerCore, -maxFall), maxRise)
	s.pressure = min(max(s.pressure+elapsed*excess/secondsToFullPressure, 0), maxPressure)
}

// value converts the pressure to the kind of signal that the callers use. runs is the concurrency limit.
func (s *signalState) value(runs int, ready bool) float64 {
	switch {
	case !ready:
		return boolToFloat(s.kind == SignalLevel)
	case s.kind == SignalCredit:
		return float64(runs) * inFlightPerRun * (1 - s.pressure) / s.callers
	case s.kind == SignalWeight:
		return 1 - s.pressure
	}
	return s.pressure
}

// signalOverload sends the value if it has changed. elapsed is in seconds.
func (c *Controller) signalOverload(elapsed float64) {
	if c.signal.kind == SignalNone {
		return
	}
	c.signal.adjust(elapsed, float64(c.queue.length)/c.limit.cores, c.arrivals.readDelay.mean(c.now, 0))
	value := c.signal.value(c.limit.current, c.readiness.ready)
	if math.Abs(value-c.signal.lastSent) > minSignalChange {
		c.signal.lastSent = value
		c.writer.SignalOverload(value)
	}
}
