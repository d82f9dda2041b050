package pools

import (
	"fmt"
	"math"
)

const (
	// cutFactor multiplies a limit that is cut; growthFactor is a growth as a fraction of the limit. A cut is larger
	// than a growth, so that two classes that starve each other settle below what both need.
	cutFactor    = 0.85
	growthFactor = 0.1
	// starvedMissFraction is the fraction of a class's recent arrivals that were shed or late from which it may be
	// starved: the rate under which the reserve is to keep the cheapest class.
	starvedMissFraction = 0.05
	// starvedShortfall is how far below its fair slots a class has to be to be starved, as a fraction of them: a class
	// that uses its fair slots and still sheds or is late demands too much.
	starvedShortfall = 0.1
	// minArrivals is the number of recent arrivals below which a class is never starved: of fewer, one shed is no sign.
	minArrivals = 4
	// minExcess is the mean number of slots over its fair slots from which a class's limit may be cut. The number at
	// one moment swings by several.
	minExcess = 0.5
	// maxChanges is the maximum number of log lines kept between two calls of TakeChanges.
	maxChanges = 16
)

// Reasons for a limit, in logs.
const (
	reasonUnlimited   = "unlimited"
	reasonFixed       = "fixed"
	reasonGrowing     = "growing"
	reasonAtFairSlots = "at its fair slots while demand exceeds capacity"
)

// noClass is the index of no class.
const noClass = -1

// adjustLimits updates the limit of each class. While a class is starved, the class that exceeds its fair slots most is
// cut; otherwise limits grow until they are removed. Requests of the class that is cut wait while younger ones of
// others start.
func (p *Pools) adjustLimits(now Time) {
	starved, exceeding := p.findStarvation(now)
	for k := range p.classes {
		limit, reason := p.nextLimit(k, starved, exceeding)
		p.setLimit(&p.classes[k], limit, reason)
	}
}

// findStarvation returns the starved class that is furthest below its fair slots, and the class that exceeds its own
// most and may be cut; noClass for none.
func (p *Pools) findStarvation(now Time) (starved, exceeding int) {
	starved, exceeding = noClass, noClass
	lowestExcess, highestExcess := math.Inf(1), minExcess
	for k := range p.classes {
		c := &p.classes[k]
		arrivals, missed := c.arrivals.total(now), c.missed.total(now)
		c.usedSlots = c.workDone.rate(now) / float64(Second)
		excess := c.usedSlots - max(c.fairSlots, c.minSlots(p.slots))
		misses := arrivals >= minArrivals && missed > starvedMissFraction*arrivals
		if misses && excess < min(lowestExcess, -starvedShortfall*c.fairSlots) {
			starved, lowestExcess = k, excess
		}
		if !c.FixedLimit && c.needsMore && excess > highestExcess {
			exceeding, highestExcess = k, excess
		}
	}
	if starved == exceeding {
		exceeding = noClass
	}
	return starved, exceeding
}

// nextLimit decides the limit of one class. While another class is starved, the limit of a class that needs more than
// its fair slots doesn't grow beyond them: otherwise the other would be starved again until the next cut.
func (p *Pools) nextLimit(class, starved, exceeding int) (limit float64, reason string) {
	c := &p.classes[class]
	maxLimit := min(float64(p.slots), c.maxSlots(p.slots))
	anyStarved := starved != noClass
	switch {
	case c.FixedLimit:
		return maxLimit, reasonFixed
	case anyStarved && class == exceeding:
		cut := min(c.limit, c.usedSlots) * cutFactor
		return max(c.minSlots(p.slots), cut, c.fairSlots), "cut: " + p.classes[starved].Name + " is starved"
	case !c.limited():
		return c.limit, c.reason
	case c.limit >= maxLimit:
		return math.Inf(1), reasonUnlimited
	case c.needsMore && c.limit >= c.fairSlots && anyStarved && class != starved:
		return c.limit, reasonAtFairSlots
	case !anyStarved || !c.needsMore || class == starved:
		return c.limit + max(1, growthFactor*c.limit), reasonGrowing
	}
	return c.limit, c.reason
}

// setLimit sets a limit. A change by a whole slot for another reason than the last one is logged.
func (p *Pools) setLimit(c *classState, limit float64, reason string) {
	if math.Floor(limit) != math.Floor(c.limit) && reason != c.reason {
		p.logChange(fmt.Sprintf("pool %s: limit %.0f of %d, was %.0f: %s", c.Name, limit, p.slots, c.limit, reason))
	}
	c.limit, c.reason = limit, reason
}

func (p *Pools) logChange(line string) {
	if len(p.changes) < maxChanges {
		p.changes = append(p.changes, line)
	}
}
