package admission

// This file decides whether work hangs or comes too late to be of use, and what health checks are told of it.

// detectHang sees work hang: runs are on the cores and none has moved for far longer than runs take.
func (c *Controller) detectHang(dt Time) {
	if on := c.running - c.callsInFlight.n - c.callQueue.n; on <= 0 || c.hung {
		c.stalledFor = 0
	} else {
		// Fewer than four runs may well all be heavy: what shows with four at once takes longer with fewer. Six
		// scored the same within noise; time not weighed so took slow and cold 2-core servers for hung.
		c.stalledFor += dt * Time(min(on, 4)) / 4
	}
	usual := float64(Second)
	for k := range c.handlers {
		// One heavy run on a core or two may take half a target without anything being wrong.
		usual = max(usual, 4*c.handlers[k].serviceRatio*c.handlers[k].usualWork, float64(c.handlers[k].target)/2)
	}
	if !c.hung && c.stalledFor > Time(usual) && float64(c.running) >= c.cores {
		c.hung = true
		c.writer.Log("hung: started work does not finish")
		for c.queue.head != none {
			c.shed(c.queue.head, false)
		}
	}
	c.detectSwamped()
	c.updateHealth()
}

// detectSwamped sees a server swamped by what it has not read yet: nearly all it reads has waited unread for half its
// target, or its runs end past it, so what it does is for nobody. Once checks are told, what comes in dries
// up, and it is well again when what it reads is fresh or nothing is left. Guards against slowness, bursts,
// tries without limit; could harm where a whole fleet goes off at once. Two thirds or nine tenths late: even.
func (c *Controller) detectSwamped() {
	late, n := c.tooLate.sums(c.now)
	switch {
	case !c.swamped && n >= c.cores && late > 0.8*n:
		c.swamped = true
		c.writer.Log("swamped: what is read or done is too late to be of use")
	case c.swamped && late <= 0.2*n:
		c.swamped = false
		c.writer.Log("swamped: over, what is read and done is in time")
	}
}

// countLate counts a request that was read, or a run that ended, as too late to be of use or not.
func (c *Controller) countLate(late bool) { c.tooLate.add(c.now, one(late), 1) }

// updateHealth tells checks whether to send anything here. Where work hung, nothing of it is left and nothing has come for two
// seconds (some checks' time), it says yes until something comes: else nobody would ever send what shows that it goes
// on again. Guards against callers that obey checks to the letter; costs one request each two seconds while work does hang.
func (c *Controller) updateHealth() {
	quiet := c.running == 0 && c.queue.n == 0 && c.now-c.lastCame > 2*Second
	if good := (!c.hung || quiet) && !c.swamped && !c.drain; good != c.healthy {
		c.healthy = good
		c.writer.Health(good)
	}
}

// noteProgress sees started work go on, which is how a hang ends, whether it is old work or a trial run.
func (c *Controller) noteProgress() {
	c.stalledFor = 0
	if c.hung {
		c.hung = false
		c.updateHealth()
		c.writer.Log("hung: over, started work goes on")
	}
}
