package admission

// This file decides run slots, given in strict arrival order.

// start gives free slots to the longest waiting, in strict arrival order. With pools, a req whose handler has
// no room is passed by younger ones whose handler has. Guards against costly work that holds all slots; harms
// what is passed, by the slots of its pool at most. What starts may change who may, so each start looks from
// the head again.
func (c *Controller) start() {
	top := c.ceiling()
	for i := c.hold.head; i != none && c.running < min(c.limit, top); {
		it := &c.s.at[i]
		if c.pools != nil && !c.pools.May(it.id) {
			i = it.queue.next
			continue
		}
		if c.mem+it.kb*(c.runKB-1) > c.memTop || c.hung && c.running > 0 {
			return
		}
		if c.drain && c.now+Time(c.est(it)*1.5)+2*tick > c.kill {
			c.shed(i, false)
			i = c.hold.head
			continue
		}
		c.lap = c.now - it.came
		if c.pools != nil {
			c.pools.Started(c.now, it.id, c.lap)
		}
		c.hold.remove(&c.s, i)
		it.phase, it.ran = running, true
		c.running++
		c.mem += it.kb * (c.runKB - 1)
		c.w.Run(it.id)
		for k := it.heir; k != none; k = it.heir {
			it.lent = true
			c.s.part(k)
			c.share(k)
		}
		c.look(i)
		i = c.hold.head
	}
}
