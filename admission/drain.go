package admission

import (
	"fmt"
)

// This file decides the notice to drain.

// startDrain takes the notice to leave.
func (c *Controller) startDrain(kill Time) {
	if c.drain {
		return
	}
	c.drain, c.kill, c.graceEnd = true, kill, c.now+c.grace
	c.updateHealth()
	c.writer.Log(fmt.Sprintf("drain: %d in hand", len(c.requests.ids)))
	for i := range c.requests.at {
		if it := &c.requests.at[i]; c.requests.find(it.id) == int32(i) && it.phase != over && !it.answered {
			c.due.put(&c.requests, int32(i), min(it.due, kill)-c.answerMargin())
		}
	}
}
