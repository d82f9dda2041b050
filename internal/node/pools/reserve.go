package pools

import (
	"fmt"
	"math"
)

const (
	// maxReserveFraction is the most of the slots that the reserve may have, so that a surge of the cheapest class can't
	// take what is worth more.
	maxReserveFraction = 0.25
	// reserveBurstFactor is the reserve over the mean need of the class, since arrivals come in bursts.
	reserveBurstFactor = 2
	// A class gets the reserve with less than this part of the work of the next one, and loses it over the other:
	// measured work differs by a few per cent from look to look. Among classes alike there is none.
	reserveGainRatio = 0.7
	reserveLossRatio = 0.85
	// timePerMillisecond is the Time in a millisecond, for the log.
	timePerMillisecond = float64(Second / 1000)
)

// reserve is the slots that one class takes first while it waits.
type reserve struct {
	class int // noClass for none
	slots int
}

var noReserve = reserve{class: noClass}

// chooseReserve decides which class has the reserve, and how large it is: the one with clearly the least usual work
// gets twice the slots of its mean need. Nothing idles for it; it harms the first cheap request after a pause, which
// waits for a run's end, and the others, by the reserve at most.
func (p *Pools) chooseReserve(now Time) {
	if !p.config.Reserve {
		return
	}
	cheapest, least, second := p.cheapest()
	ratio := reserveGainRatio
	if cheapest == p.reserve.class {
		ratio = reserveLossRatio
	}
	if cheapest == noClass || least > ratio*second {
		p.reserve = noReserve
		return
	}
	c := &p.classes[cheapest]
	if cheapest != p.reserve.class {
		p.logChange(fmt.Sprintf("reserve: %s has it, with %.1f ms of work a req", c.Name, c.cost.median/timePerMillisecond))
	}
	need := int(math.Ceil(reserveBurstFactor * c.arrivals.rate(now) * c.cost.p95 / float64(Second)))
	p.reserve = reserve{cheapest, max(1, min(need, int(maxReserveFraction*float64(p.slots))))}
}

// cheapest gives the class with the least usual work, that work, and the next one's.
func (p *Pools) cheapest() (class int, least, second float64) {
	class, least, second = noClass, math.Inf(1), math.Inf(1)
	for k := range p.classes {
		switch median := p.classes[k].cost.median; {
		case median == 0:
		case median < least:
			class, least, second = k, median, least
		default:
			second = min(second, median)
		}
	}
	return class, least, second
}
