package admission

import "fmt"

// drain is a graceful shutdown: from the notice until the process is killed.
type drain struct {
	active      bool
	grace       Time
	admitBefore Time // what arrived until then is still admitted
	killAt      Time
}

// canFinish decides whether a run can end before the process is killed.
func (d *drain) canFinish(now Time, expectedRunTime float64) bool {
	return now+Time(expectedRunTime*drainRunTimeReserve)+2*timerPeriod <= d.killAt
}

// startDrain takes the notice to drain: health checks are told at once, and all requests are answered before the kill.
func (c *Controller) startDrain(killAt Time) {
	if c.drain.active {
		return
	}
	c.drain.active, c.drain.killAt, c.drain.admitBefore = true, killAt, c.now+c.drain.grace
	c.updateHealth()
	c.writer.Log(fmt.Sprintf("drain: %d in hand", len(c.requests.ids)))
	for k := range c.requests.at {
		i, r := index(k), &c.requests.at[k]
		if c.requests.find(r.id) == i && r.state != finished && !r.answered {
			c.timers.schedule(&c.requests, i, min(r.deadline, killAt)-c.answerMargin())
		}
	}
}
