package admission

const (
	// connectionsPerCoreThreshold is the number of callers for each core from which idle connections cost more than new ones:
	// each open one takes its part of the cores, and a connection table is some times this.
	connectionsPerCoreThreshold = 16
	// minIdleTimeout passes over the pauses within a caller's own bunch of requests.
	minIdleTimeout = Second * 3 / 5
	// A change is announced from a rise by a quarter or a fall by a fifth on: less isn't worth a word to the listener.
	minRiseDivisor = 4 // the time over it
	minFallDivisor = 5
)

// idleTimeout decides after how long an idle connection is closed.
type idleTimeout struct {
	configured, announced Time
	callers               float64
}

// target shortens the idle time where callers are many for the cores. A new connection costs work too, so the time
// goes by the cube of the share of requests whose caller was here shortly before: it falls fast when most callers
// won't come back. If more, it goes by the share shed where few retries come: then this server alone is hot, and what
// finds its connection table full goes where there is room. It may harm callers that come every ten seconds.
func (t *idleTimeout) target(connections, cores, returning, shed, retries float64) Time {
	if max(connections, t.callers) <= connectionsPerCoreThreshold*cores {
		return t.configured
	}
	retained := max(returning, shed*(1-retries))
	return max(Time(float64(t.configured)*retained*retained*retained), min(minIdleTimeout, t.configured))
}

// adjustIdleTimeout has idle connections closed sooner or later where the choice has changed.
func (c *Controller) adjustIdleTimeout(connections float64) {
	a := &c.arrivals
	idle := c.idle.target(connections, c.limit.cores, a.returning.mean(c.now, 0), a.shed.mean(c.now, 0),
		a.retries.mean(c.now, 0))
	longer := c.idle.announced + c.idle.announced/minRiseDivisor
	shorter := c.idle.announced * (minFallDivisor - 1) / minFallDivisor
	if idle > longer || idle < shorter {
		c.idle.announced = idle
		c.writer.SetIdleTimeout(idle)
	}
}
