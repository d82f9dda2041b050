package pools

import (
	"fmt"
	"math"
)

const (
	// maxReserveFraction is the maximum reserve as a fraction of the run slots, so that a surge of the cheapest class
	// doesn't displace more valuable ones.
	maxReserveFraction = 0.25
	// reserveBurstFactor multiplies the slots that the class would use at its p95 work, as headroom for bursts.
	reserveBurstFactor = 2
	// A class gets the reserve if its median work is at most reserveGainRatio of the next class's, and loses it above
	// reserveLossRatio: measured medians vary, and the reserve must not move back and forth between similar classes.
	reserveGainRatio = 0.7
	reserveLossRatio = 0.85
	// timePerMillisecond is the number of units of Time in a millisecond.
	timePerMillisecond = float64(Second / 1000)
)

// reserve is the number of slots up to which one class starts before all others while it waits.
type reserve struct {
	class int // noClass for none
	slots int
}

var noReserve = reserve{class: noClass}

// chooseReserve gives the reserve to the class whose median work is clearly the lowest, and sizes it by the class's
// arrival rate and p95 work. Reserved slots don't idle: others use them while no request of the class is queued. So the
// first cheap request after a pause waits for a run's end.
func (p *Pools) chooseReserve(now Time) {
	if !p.config.Reserve {
		return
	}
	cheapest, lowest, next := p.cheapest()
	maxRatio := reserveGainRatio
	if cheapest == p.reserve.class {
		maxRatio = reserveLossRatio
	}
	if cheapest == noClass || lowest > maxRatio*next {
		p.reserve = noReserve
		return
	}
	c := &p.classes[cheapest]
	if cheapest != p.reserve.class {
		p.logChange(fmt.Sprintf("reserve: assigned to %s, median work %.1f ms", c.Name,
			c.cost.median/timePerMillisecond))
	}
	need := int(math.Ceil(reserveBurstFactor * c.arrivals.rate(now) * c.cost.p95 / float64(Second)))
	p.reserve = reserve{cheapest, max(1, min(need, int(maxReserveFraction*float64(p.slots))))}
}

// cheapest returns the class with the lowest median work, that median, and the next lowest one; noClass and infinity
// where no work is known.
func (p *Pools) cheapest() (class int, lowest, next float64) {
	class, lowest, next = noClass, math.Inf(1), math.Inf(1)
	for k := range p.classes {
		switch median := p.classes[k].cost.median; {
		case median == 0:
		case median < lowest:
			class, lowest, next = k, median, lowest
		default:
			next = min(next, median)
		}
	}
	return class, lowest, next
}
