package admission

const (
	// longDelayDivisor divides the latency objective to give the delay above which a shed request should not be
	// retried at another server, where it would queue again.
	longDelayDivisor = 3
	// fullFleetPressure is the pressure above which the whole fleet is assumed full, as all servers see the same
	// demand.
	fullFleetPressure = 0.5
	// fullFleetFraction is the sum of the fractions shed and of retries above which the fleet is assumed full: a
	// retry was shed by another server. With a lower one callers lose the way to servers that have room, with a higher
	// one a full fleet reads requests that it can't serve.
	fullFleetFraction = 0.8
)

// isFinal decides whether a shed request should not be retried at another server: it reached its queue timeout or
// deadline, and it is a retry, which two servers have now shed, was delayed long, or the fleet is full. Does harm where
// only one of a few servers is slow.
func isFinal(reason Reason, isRetry, delayedLong, fleetFull bool) bool {
	return (reason == ReasonQueueTimeout || reason == ReasonDeadline) && (isRetry || delayedLong || fleetFull)
}

// fleetFull reports whether a request that is shed here would probably be shed by other servers too.
func fleetFull(now Time, pressure float64, arrivals *arrivalStats) bool {
	return pressure > fullFleetPressure || arrivals.shed.mean(now, 0)+arrivals.retries.mean(now, 0) > fullFleetFraction
}

// shed rejects a request that never ran.
func (c *Controller) shed(i index, reason Reason) {
	r := &c.requests.at[i]
	delayedLong := c.now-r.arrivedAt > c.classes[r.class].objective/longDelayDivisor
	final := isFinal(reason, r.isRetry, delayedLong, fleetFull(c.now, c.signal.pressure, &c.arrivals))
	c.writer.Shed(r.id, reason, final, c.retryAfter(int(r.class)))
	c.arrivals.shed.add(c.now, 1, 0)
	r.answered, r.failed = true, true
	if c.pools != nil && r.state != queued {
		c.pools.Rejected(c.now, int(r.class))
	}
	c.removeUnrun(i, true)
}

// retryAfter returns how long the caller of a shed request should wait before a retry: the longest of idlePeriod,
// the last queue delay, the delay of the queue's head and the class's delay in its pool, up to the maximum
// Retry-After; the maximum while not ready.
func (c *Controller) retryAfter(handler int) Time {
	if !c.readiness.ready {
		return c.settings.maxRetryAfter
	}
	delay := max(c.queue.lastDelay, idlePeriod)
	if c.pools != nil {
		delay = max(delay, c.pools.QueueDelay(handler))
	}
	delay = max(delay, c.queue.headDelay(&c.requests, c.now))
	return min(delay, c.settings.maxRetryAfter)
}
