package admission

import "math"

const (
	// targetQueuePerCore is the queued requests for each core at which the pressure settles: cores stay busy and waits short.
	targetQueuePerCore = 0.5
	// readDelayWeight weighs the time that requests wait unread, in objectives, as queued requests for each core: a
	// quarter of an objective counts as a queue at which the pressure settles.
	readDelayWeight = 2
	// secondsToFullPressure is the seconds from no pressure to all at the fastest. Callers hear a value late and bear it for a
	// second, so a faster pace has them come and go in waves, with idle cores between.
	secondsToFullPressure = 3.0
	// maxRise and maxFall bound the excess that the pressure follows. It falls slower than it rises, lest what was kept
	// away come back at once.
	maxRise = 1.0
	maxFall = 0.25
	// maxPressure leaves a tenth of the traffic, by which the server sees that it has room again.
	maxPressure = 0.9
	// inFlightPerRun is the requests in flight for each run of the limit that credits add up to: as many queued as
	// running is a short queue and no idle slot.
	inFlightPerRun = 2
	// minSignalChange is the smallest change of the value that callers are told.
	minSignalChange = 0.01
)

// overloadSignal decides the value that goes with every response, by which callers send less.
type overloadSignal struct {
	kind     OverloadSignal
	callers  float64
	pressure float64 // share of traffic to keep away
	lastSent float64 // the value that callers were told
}

// adjust moves the pressure; elapsed is in seconds, queued is requests in the queue for each core, unread the time that
// requests wait unread in objectives.
func (s *overloadSignal) adjust(elapsed, queuedPerCore, readDelay float64) {
	excess := min(max(queuedPerCore+readDelayWeight*readDelay-targetQueuePerCore, -maxFall), maxRise)
	s.pressure = min(max(s.pressure+elapsed*excess/secondsToFullPressure, 0), maxPressure)
}

// value turns the pressure into what callers understand; runs is the concurrency limit.
func (s *overloadSignal) value(runs int, ready bool) float64 {
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

// signalOverload tells callers a value that has changed; elapsed is in seconds.
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
