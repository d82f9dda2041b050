package admission

import (
	"math"
)

// This file decides how many runs may be in hand: the limit that follows the gauges, the ceiling that the server survives, and the budget of a slow start.

// runCeiling is how many runs this server survives on its cores, those at calls too: all may come back at once.
// A fifth is kept off as margin (a third: even); a cold start counts at its slowest lawful pace.
func (c *Controller) runCeiling() int {
	speed := 1.0
	if c.now < c.warmAt {
		speed = c.coldSpeed + (1-c.coldSpeed)*float64(c.now-c.started)/float64(c.warmAt-c.started)
	}
	most := 0.8 * c.cores * (1 + (c.fallMultiple-1)*speed)
	if speed < 1 {
		most = min(most, slowStartBudget(c.cores*c.fallMultiple*speed))
	}
	return max(1, int(most))
}

// slowStartBudget is how many runs a server in slow start may have in hand where n are what its speed allows. It
// binds on servers of many cores, below the margin above; with few cores it lies over it. What is started while
// the looser bound of small n holds must still be within the tighter one when n has grown past it.
func slowStartBudget(n float64) float64 {
	const small = 30
	if n < small {
		return min(n+3*math.Sqrt(n)+3, slowStartBudget(small))
	}
	return n + 2*math.Sqrt(n) + 2
}

// adjustLimit moves the running limit by the gauge of the cores: up while they idle and work is held, down while
// more wants them than they are.
func (c *Controller) adjustLimit() {
	switch idle := c.cores - c.onCores; {
	case c.queue.n > 0 && c.running >= c.limit && idle > 0:
		c.limit = min(c.running+int(math.Ceil(idle/2)), c.runCeiling())
	case idle < -c.cores/2:
		c.limit--
	}
	c.limit = max(c.limit, int(c.cores))
}
