package pools

// burstFactor is what a class needs over its mean, since arrivals come in bursts: at three quarters of its slots in
// use few of its requests wait long.
const burstFactor = 1.3

// need is the slots that a class's recent arrivals would hold: their number a second times the mean work of one.
func (s *classState) need(now Time) float64 {
	return burstFactor * s.arrivals.rate(now) * s.cost.mean / float64(Second)
}

// divideSlots decides which slots are each class's by right: what its recent work needs, and where that is more than
// there is, the classes that need least for what they earn are filled first, none past its need. What is left is
// divided by value for work among those that want more.
func (p *Pools) divideSlots(now Time) {
	needs := make([]float64, len(p.classes))
	for k := range p.classes {
		c := &p.classes[k]
		c.cost.updateMean(now, c.workDone.total(now))
		c.fairSlots, c.needsMore = 0, false
		needs[k] = c.need(now)
	}
	left, open := float64(p.slots), len(p.classes)
	satisfied := make([]bool, len(p.classes))
	for open > 0 && left > roundingMargin {
		density := p.unsatisfiedDensity(satisfied)
		k := p.nextSatisfiable(needs, satisfied, left, density)
		if k == noClass {
			p.divideRemaining(satisfied, left, density)
			return
		}
		p.classes[k].fairSlots, satisfied[k] = needs[k], true
		left -= needs[k]
		open--
	}
}

// unsatisfiedDensity sums the value for work of the classes that are not satisfied.
func (p *Pools) unsatisfiedDensity(satisfied []bool) float64 {
	sum := 0.0
	for k := range p.classes {
		if !satisfied[k] {
			sum += p.classes[k].valueDensity()
		}
	}
	return sum
}

// nextSatisfiable gives the first class that needs no more than its part of what is left, or noClass.
func (p *Pools) nextSatisfiable(needs []float64, satisfied []bool, left, density float64) int {
	for k := range p.classes {
		part := left * p.classes[k].valueDensity() / density
		if !satisfied[k] && needs[k] <= part {
			return k
		}
	}
	return noClass
}

func (p *Pools) divideRemaining(satisfied []bool, left, density float64) {
	for k := range p.classes {
		if c := &p.classes[k]; !satisfied[k] {
			c.fairSlots, c.needsMore = left*c.valueDensity()/density, true
		}
	}
}
