package admission

const (
	// longDelayDivisor: a shed request is not to be tried elsewhere once it has waited for its objective over it, a
	// third: another queue would take the rest.
	longDelayDivisor = 3
	// fullFleetPressure is the share of traffic that callers are told to keep away from which the fleet is likely full: all
	// servers hear the same demand.
	fullFleetPressure = 0.5
	// fullFleetFraction is the share shed here and that of retries, together, from which it is: what is read has then mostly
	// been shed elsewhere. Lower takes the way out from callers while other servers have room, higher has a full
	// fleet read requests that it can't serve.
	fullFleetFraction = 0.8
)

// isFinal decides whether a shed request is not to be tried at another server: if it waited for its turn and is a
// retry, which two servers have now rejected, or waited long, or if the fleet is likely full. It may harm where just
// one of a few servers is slow.
func isFinal(reason Reason, isRetry, delayedLong, fleetFull bool) bool {
	return (reason == ReasonQueueTimeout || reason == ReasonDeadline) && (isRetry || delayedLong || fleetFull)
}

// fleetFull says whether what is shed here would likely be shed elsewhere.
func fleetFull(now Time, pressure float64, arrivals *arrivalStats) bool {
	return pressure > fullFleetPressure || arrivals.shed.mean(now, 0)+arrivals.retries.mean(now, 0) > fullFleetFraction
}

// shed answers a request that never ran with a rejection.
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

// retryAfter decides how long a shed request's caller should stay away: until the queue has moved on, by the delay of
// the last start, of the queue's head, and with pools of the class; the longest that is passed on while not ready.
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
