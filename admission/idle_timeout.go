package admission

const (
	// connectionsPerCoreThreshold is the number of connections or callers per core above which idle connections cost
	// more than new ones, and the idle timeout is shortened: each open one takes its part of the cores, and a connection
	// table holds some times this number.
	connectionsPerCoreThreshold = 16
	// minIdleTimeout exceeds the pauses within a caller's burst of requests.
	minIdleTimeout = Second * 3 / 5
	// A changed idle timeout is set if it is longer than the last by more than a quarter, or shorter by more than a
	// fifth.
	minRiseDivisor = 4
	minFallDivisor = 5
)

// idleTimeout decides after how long idle client connections are closed.
type idleTimeout struct {
	configured, lastSet Time
	callers             float64
}

// target shortens the idle timeout when connections are many for the cores. It is the configured
// timeout times max(returning, shed*(1-retries))^3, but at least minIdleTimeout or the configured one if that is
// shorter. returning: new connections cost work too. shed*(1-retries): if many requests are shed and few are retries,
// only this server is overloaded, and callers that find its connection table full go elsewhere.
func (t *idleTimeout) target(connections, cores, returning, shed, retries float64) Time {
	if max(connections, t.callers) <= connectionsPerCoreThreshold*cores {
		return t.configured
	}
	retained := max(returning, shed*(1-retries))
	return max(Time(float64(t.configured)*retained*retained*retained), min(minIdleTimeout, t.configured))
}

// adjustIdleTimeout sets the idle timeout if the target has changed enough.
func (c *Controller) adjustIdleTimeout(connections float64) {
	a := &c.arrivals
	idle := c.idle.target(connections, c.limit.cores, a.returning.mean(c.now, 0), a.shed.mean(c.now, 0),
		a.retries.mean(c.now, 0))
	longer := c.idle.lastSet + c.idle.lastSet/minRiseDivisor
	shorter := c.idle.lastSet * (minFallDivisor - 1) / minFallDivisor
	if idle > longer || idle < shorter {
		c.idle.lastSet = idle
		c.writer.SetIdleTimeout(idle)
	}
}
