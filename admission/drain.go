package admission

import "fmt"

// drain is the state of a graceful shutdown, from the notice to drain until the process is killed.
type drain struct {
	active      bool
	grace       Time
	admitBefore Time // last arrival time of requests that are still admitted
	killAt      Time
}

// canFinish reports whether a run can end before the process is killed. expectedRunTime is in units of Time.
func (d *drain) canFinish(now Time, expectedRunTime float64) bool {
	return now+Time(expectedRunTime*drainRunTimeReserve)+2*timerPeriod <= d.killAt
}

// startDrain handles the notice to drain: health checks fail at once, and all requests are answered before the kill.
func (c *Controller) startDrain(killAt Time) {
	if c.drain.active {
		return
	}
	c.drain.active, c.drain.killAt, c.drain.admitBefore = true, killAt, c.now+c.drain.grace
	c.updateHealth()
	c.writer.Log(fmt.Sprintf("drain: started with %d requests in the request table", len(c.requests.ids)))
	for k := range c.requests.at {
		i, r := index(k), &c.requests.at[k]
		if c.requests.find(r.id) == i && r.state != finished && !r.answered {
			c.timers.schedule(&c.requests, i, min(r.deadline, killAt)-c.answerMargin())
		}
	}
}
