package admission

import "math"

const (
	// settledQueue is the queued requests for each core at which the pressure settles: cores stay busy and waits short.
	settledQueue = 0.5
	// unreadFactor weighs the time that requests wait unread, in objectives, as queued requests for each core: a
	// quarter of an objective counts as a queue at which the pressure settles.
	unreadFactor = 2
	// pressureSteps is the seconds from no pressure to all at the fastest. Callers hear a value late and bear it for a
	// second, so a faster pace has them come and go in waves, with idle cores between.
	pressureSteps = 3.0
	// maxRise and maxFall bound the excess that the pressure follows. It falls slower than it rises, lest what was kept
	// away come back at once.
	maxRise = 1.0
	maxFall = 0.25
	// maxPressure leaves a tenth of the traffic, by which the server sees that it has room again.
	maxPressure = 0.9
	// creditFactor is the requests in flight for each run of the limit that credits add up to: as many queued as
	// running is a short queue and no idle slot.
	creditFactor = 2
	// reportedChange is the smallest change of the value that callers are told.
	reportedChange = 0.01
)

// overloadSignal decides the value that goes with every response, by which callers send less.
type overloadSignal struct {
	kind     OverloadSignal
	callers  float64
	pressure float64 // share of traffic to keep away
	last     float64 // the value that callers were told
}

// adjust moves the pressure; elapsed is in seconds, queued is requests in the queue for each core, unread the time that
// requests wait unread in objectives.
func (s *overloadSignal) adjust(elapsed, queued, unread float64) {
	excess := min(max(queued+unreadFactor*unread-settledQueue, -maxFall), maxRise)
	s.pressure = min(max(s.pressure+elapsed*excess/pressureSteps, 0), maxPressure)
}

// value turns the pressure into what callers understand; runs is the concurrency limit.
func (s *overloadSignal) value(runs int, ready bool) float64 {
	switch {
	case !ready:
		return indicator(s.kind == SignalLevel)
	case s.kind == SignalCredit:
		return float64(runs) * creditFactor * (1 - s.pressure) / s.callers
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
	c.signal.adjust(elapsed, float64(c.queue.length)/c.limit.cores, c.arrivals.unread.mean(c.now, 0))
	value := c.signal.value(c.limit.current, c.readiness.ready)
	if math.Abs(value-c.signal.last) > reportedChange {
		c.signal.last = value
		c.writer.SignalOverload(value)
	}
}
