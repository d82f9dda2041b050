package admission

import (
	"cmp"
	"slices"
)

// This file decides how long a request may wait for a run, by what its class and tenant earn for the work.

// bound is how long a held req may wait: half its response target, or what its run will leave of it if less.
// Past the first tier only that tier's part of the target can be used.
func (c *Controller) bound(it *item) Time {
	h := &c.h[it.h]
	target := float64(h.target) / (1 + c.stage)
	// One usual run or 1.6 left instead of 1.3, and at most four or six tenths of the target: even. An eighth
	// stays even when runs take longer than the target: what shows recovery must be let in.
	b := min(max(target-1.3*c.est(it), target/8), target/2)
	// While the hold is long, what earns least for its work (beyond a tenant's share above all) waits least,
	// down to a tenth: the lap then settles where the least of what the cores can do still gets its turn.
	if c.long {
		// Not while so few are held that a shed one could leave a core idle: two at least, whatever the cores.
		if float64(c.hold.n) > max(c.cores/2, 2) {
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

// est is how long the run of a req should take, calls included; 0 while no run has been seen.
func (c *Controller) est(it *item) float64 {
	h := &c.h[it.h]
	h.lap = h.laps.mean(c.now, h.lap)
	return h.lap * it.cost
}

// rank finds what each handler of each tenant earns for its work and how much work earns less. If the worst
// handler counts apart, a req of the one done least adds to that, fading out at a tenth above; not if a level
// keeps the lowest away unread, which what is read doesn't show. Could harm if a handler fails by itself.
func (c *Controller) rank() {
	for k := range c.t {
		t := &c.t[k]
		n, _ := t.came.sums(c.now)
		t.full = 1
		if n > t.fair {
			t.full = c.beyond + (1-c.beyond)*t.fair/n
		}
	}
	low, all := 1.0, 0.0
	for k := range c.h {
		h := &c.h[k]
		h.own = h.work.mean(c.now, h.own)
		_, n := h.met.sums(c.now)
		h.share, h.asked = h.met.mean(c.now, 1), n*h.value
		if c.byWork {
			h.asked *= h.own
		}
		low, all = min(low, h.share), all+h.asked
	}
	for k := range c.cells {
		l, h := &c.cells[k], &c.h[k/len(c.t)]
		adds := c.worst * max(0, 1-10*(h.share-low)) * all / max(h.asked, 1e-9)
		l.earns = h.value * c.t[k%len(c.t)].full * (1 + adds)
		if !c.byWork {
			l.earns /= max(h.own, 1)
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
