package admission

import (
	"fmt"
)

// This file decides the notice to drain.

// leave takes the notice to leave.
func (c *Controller) leave(kill Time) {
	if c.drain {
		return
	}
	c.drain, c.kill, c.graceEnd = true, kill, c.now+c.grace
	c.health()
	c.w.Log(fmt.Sprintf("drain: %d in hand", len(c.s.ids)))
	for i := range c.s.at {
		if it := &c.s.at[i]; c.s.find(it.id) == int32(i) && it.phase != over && !it.answered {
			c.due.put(&c.s, int32(i), min(it.due, kill)-c.spare())
		}
	}
}
