package admission

import (
	"math"
)

// This file decides how many runs may be in hand: the limit that follows the gauges, the ceiling that the server survives, and the budget of a slow start.

// ceiling is how many runs this server survives on its cores, those at calls too: all may come back at once.
// A fifth is kept off as margin (a third: even); a cold start counts at its slowest lawful pace.
func (c *Controller) ceiling() int {
	speed := 1.0
	if c.now < c.warmAt {
		speed = c.cold + (1-c.cold)*float64(c.now-c.born)/float64(c.warmAt-c.born)
	}
	most := 0.8 * c.cores * (1 + (c.fall-1)*speed)
	if speed < 1 {
		most = min(most, slowStartBudget(c.cores*c.fall*speed))
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

// grow moves the running limit by the gauge of the cores: up while they idle and work is held, down while
// more wants them than they are.
func (c *Controller) grow() {
	switch idle := c.cores - c.onCores; {
	case c.hold.n > 0 && c.running >= c.limit && idle > 0:
		c.limit = min(c.running+int(math.Ceil(idle/2)), c.ceiling())
	case idle < -c.cores/2:
		c.limit--
	}
	c.limit = max(c.limit, int(c.cores))
}
