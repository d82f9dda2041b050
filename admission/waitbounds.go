package admission

import (
	"cmp"
	"slices"
)

// This file decides how long a request may wait for a run, by what its class and tenant earn for the work.

// waitBound is how long a held request may wait: half its response target, or what its run will leave of it if less.
// Past the first tier only that tier's part of the target can be used.
func (c *Controller) waitBound(it *item) Time {
	h := &c.handlers[it.h]
	target := float64(h.target) / (1 + c.stage)
	// One usual run or 1.6 left instead of 1.3, and at most four or six tenths of the target: even. An eighth
	// stays even when runs take longer than the target: what shows recovery must be let in.
	b := min(max(target-1.3*c.expectedRun(it), target/8), target/2)
	// While the hold is long, what earns least for its work (beyond a tenant's share above all) waits least,
	// down to a tenth: the lap then settles where the least of what the cores can do still gets its turn.
	if c.queueLong {
		// Not while so few are held that a shed one could leave a core idle: two at least, whatever the cores.
		if float64(c.queue.n) > max(c.cores/2, 2) {
			b *= 0.1 + 0.9*c.cell(it).stand*c.cell(it).stand
		}
		if it.again {
			// Its target runs from the first try and part of it is gone: it only takes a place from one with
			// more time. A half and a quarter scored the same within noise.
			b /= 3
		}
	}
	return Time(b)
}

// expectedRun is how long the run of a request should take, calls included; 0 while no run has been seen.
func (c *Controller) expectedRun(it *item) float64 {
	h := &c.handlers[it.h]
	h.serviceRatio = h.serviceRatios.mean(c.now, h.serviceRatio)
	return h.serviceRatio * it.cost
}

// rankCells finds what each handler of each tenant earns for its work and how much work earns less. If the worst
// handler counts apart, a request of the one done least adds to that, fading out at a tenth above; not if a level
// keeps the lowest away unread, which what is read doesn't show. Could harm if a handler fails by itself.
func (c *Controller) rankCells() {
	for k := range c.tenants {
		t := &c.tenants[k]
		n, _ := t.came.sums(c.now)
		t.full = 1
		if n > t.fair {
			t.full = c.beyond + (1-c.beyond)*t.fair/n
		}
	}
	low, all := 1.0, 0.0
	for k := range c.handlers {
		h := &c.handlers[k]
		h.ownWork = h.work.mean(c.now, h.ownWork)
		_, n := h.inTime.sums(c.now)
		h.inTimeShare, h.valueAsked = h.inTime.mean(c.now, 1), n*h.value
		if c.byWork {
			h.valueAsked *= h.ownWork
		}
		low, all = min(low, h.inTimeShare), all+h.valueAsked
	}
	for k := range c.cells {
		l, h := &c.cells[k], &c.handlers[k/len(c.tenants)]
		adds := c.worst * max(0, 1-10*(h.inTimeShare-low)) * all / max(h.valueAsked, 1e-9)
		l.earns = h.value * c.tenants[k%len(c.tenants)].full * (1 + adds)
		if !c.byWork {
			l.earns /= max(h.ownWork, 1)
		}
	}
	slices.SortStableFunc(c.byRank, func(a, b int) int {
		return cmp.Compare(c.cells[a].earns, c.cells[b].earns)
	})
	// What earns alike stands alike: its standing is the work that earns clearly less, of all the work that
	// earns less than the best. Where nothing earns less, all stand at the top and no bound is shortened.
	sum, less, from := 0.0, 0.0, 0.0
	for _, k := range c.byRank {
		l := &c.cells[k]
		if l.earns > 1.05*from {
			less, from = sum, l.earns
		}
		l.stand = less
		w, _ := l.work.sums(c.now)
		sum += w
	}
	for k := range c.cells {
		if c.cells[k].stand = c.cells[k].stand / max(less, 1); less == 0 {
			c.cells[k].stand = 1
		}
	}
}
