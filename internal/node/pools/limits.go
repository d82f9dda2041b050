package pools

import (
	"fmt"
	"math"
)

const (
	// A cut is larger than a growth, so that two classes that press each other come to rest under what both want and
	// not over it. Growth by a tenth has a class back at twice its limit within four seconds.
	cutFactor    = 0.85
	growthFactor = 0.1
	// starvedMissFraction is the part of a class's recent requests that were shed or late from which it suffers: one in
	// twenty, the rate that the reserve is to keep the cheapest class under.
	starvedMissFraction = 0.05
	// starvedShortfall is how far a class has to be under its fair slots for that: one that has them suffers by its
	// own excess.
	starvedShortfall = 0.1
	// minArrivals is the recent requests of a class from which it can suffer: of fewer, one shed is no sign.
	minArrivals = 4
	// minExcess is the slots over its fair ones from which a class is cut: by the mean of four seconds, since what
	// runs at a moment swings by several.
	minExcess = 0.5
	// maxChanges bounds what is kept for the log between two ticks.
	maxChanges = 16
)

// Reasons of a limit, as operators read them.
const (
	reasonUnlimited   = "room"
	reasonFixed       = "fixed"
	reasonGrowing     = "grows"
	reasonAtFairSlots = "its due, while all want more than there is"
)

// noClass is the index of no class.
const noClass = -1

// adjustLimits decides the limit of each class: the one that is furthest over its fair slots is cut while another
// suffers that has less than its own; else limits grow. A class that needs no more than its fair slots is never
// limited. It harms the class that is cut: its requests wait while younger ones of others start.
func (p *Pools) adjustLimits(now Time) {
	suffering, excessive := p.findStarvation(now)
	for k := range p.classes {
		limit, why := p.nextLimit(k, suffering, excessive)
		p.setLimit(&p.classes[k], limit, why)
	}
}

// findStarvation gives the class that suffers most while it has less than its fair slots, and the one that is furthest
// over its own; noClass for none.
func (p *Pools) findStarvation(now Time) (suffering, excessive int) {
	suffering, excessive = noClass, noClass
	least, most := math.Inf(1), minExcess
	for k := range p.classes {
		c := &p.classes[k]
		arrivals, missed := c.arrivals.total(now), c.missed.total(now)
		c.usedSlots = c.workDone.rate(now) / float64(Second)
		excess := c.usedSlots - max(c.fairSlots, c.minSlots(p.slots))
		suffers := arrivals >= minArrivals && missed > starvedMissFraction*arrivals
		if suffers && excess < min(least, -starvedShortfall*c.fairSlots) {
			suffering, least = k, excess
		}
		if !c.FixedLimit && c.needsMore && excess > most {
			excessive, most = k, excess
		}
	}
	if suffering == excessive {
		excessive = noClass
	}
	return suffering, excessive
}

// nextLimit decides the limit of one class. Growth ends at the fair slots while another suffers and all want more
// than there is: to grow past them and be cut again would have the others suffer each time.
func (p *Pools) nextLimit(class, suffering, excessive int) (limit float64, why string) {
	c := &p.classes[class]
	most := min(float64(p.slots), c.maxSlots(p.slots))
	pressed := suffering != noClass
	switch {
	case c.FixedLimit:
		return most, reasonFixed
	case pressed && class == excessive:
		cut := min(c.limit, c.usedSlots) * cutFactor
		return max(c.minSlots(p.slots), cut, c.fairSlots), "cut: " + p.classes[suffering].Name + " suffers"
	case !c.limited():
		return c.limit, c.reason
	case c.limit >= most:
		return math.Inf(1), reasonUnlimited
	case c.needsMore && c.limit >= c.fairSlots && pressed && class != suffering:
		return c.limit, reasonAtFairSlots
	case !pressed || !c.needsMore || class == suffering:
		return c.limit + max(1, growthFactor*c.limit), reasonGrowing
	}
	return c.limit, c.reason
}

// setLimit moves a limit; a change by a whole slot, for another reason than the last, is told.
func (p *Pools) setLimit(c *classState, limit float64, why string) {
	if math.Floor(limit) != math.Floor(c.limit) && why != c.reason {
		p.logChange(fmt.Sprintf("pool %s: limit %.0f of %d, was %.0f: %s", c.Name, limit, p.slots, c.limit, why))
	}
	c.limit, c.reason = limit, why
}

func (p *Pools) logChange(line string) {
	if len(p.changes) < maxChanges {
		p.changes = append(p.changes, line)
	}
}
