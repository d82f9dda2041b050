package admission

// This file decides run slots, given in strict arrival order.

// start gives free slots to the longest waiting, in strict arrival order. With pools, a request whose handler has
// no room is passed by younger ones whose handler has. Guards against costly work that holds all slots; harms
// what is passed, by the slots of its pool at most. What starts may change who may, so each start looks from
// the head again.
func (c *Controller) start() {
	top := c.runCeiling()
	for i := c.queue.head; i != none && c.running < min(c.limit, top); {
		it := &c.requests.at[i]
		if c.pools != nil && !c.pools.CanStart(it.id) {
			i = it.queue.next
			continue
		}
		if c.memory+it.kb*(c.runKB-1) > c.memoryMost || c.hung && c.running > 0 {
			return
		}
		if c.drain && c.now+Time(c.expectedRun(it)*1.5)+2*tick > c.kill {
			c.shed(i, false)
			i = c.queue.head
			continue
		}
		c.lastWait = c.now - it.came
		if c.pools != nil {
			c.pools.Started(c.now, it.id, c.lastWait)
		}
		c.queue.remove(&c.requests, i)
		it.phase, it.ran = running, true
		c.running++
		c.memory += it.kb * (c.runKB - 1)
		c.writer.Run(it.id)
		for k := it.heir; k != none; k = it.heir {
			it.lent = true
			c.requests.part(k)
			c.shareResult(k)
		}
		c.review(i)
		i = c.queue.head
	}
}
