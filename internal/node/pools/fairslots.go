package pools

// burstFactor is a class's need over its mean use: with three quarters of its slots in use few requests queue for long.
const burstFactor = 1.3

// need is the number of slots that a class needs for its recent arrivals: arrival rate times mean work, with headroom
// for bursts.
func (s *classState) need(now Time) float64 {
	return burstFactor * s.arrivals.rate(now) * s.cost.mean / float64(Second)
}

// divideSlots computes each class's fair slots. Classes that need no more than their part, by value per work, of the
// remaining slots get what they need; the rest is divided by value per work among the classes that need more.
func (p *Pools) divideSlots(now Time) {
	needs := make([]float64, len(p.classes))
	for k := range p.classes {
		c := &p.classes[k]
		c.cost.updateMean(now, c.workDone.total(now))
		c.fairSlots, c.needsMore = 0, false
		needs[k] = c.need(now)
	}
	remaining, unsatisfied := float64(p.slots), len(p.classes)
	satisfied := make([]bool, len(p.classes))
	for unsatisfied > 0 && remaining > roundingMargin {
		density := p.unsatisfiedDensity(satisfied)
		k := p.nextSatisfiable(needs, satisfied, remaining, density)
		if k == noClass {
			p.divideRemaining(satisfied, remaining, density)
			return
		}
		p.classes[k].fairSlots, satisfied[k] = needs[k], true
		remaining -= needs[k]
		unsatisfied--
	}
}

// unsatisfiedDensity sums the value per work of the classes that are not satisfied.
func (p *Pools) unsatisfiedDensity(satisfied []bool) float64 {
	sum := 0.0
	for k := range p.classes {
		if !satisfied[k] {
			sum += p.classes[k].valueDensity()
		}
	}
	return sum
}

// nextSatisfiable returns the first class that needs no more than its part of the remaining slots, or noClass.
func (p *Pools) nextSatisfiable(needs []float64, satisfied []bool, remaining, density float64) int {
	for k := range p.classes {
		part := remaining * p.classes[k].valueDensity() / density
		if !satisfied[k] && needs[k] <= part {
			return k
		}
	}
	return noClass
}

func (p *Pools) divideRemaining(satisfied []bool, remaining, density float64) {
	for k := range p.classes {
		if c := &p.classes[k]; !satisfied[k] {
			c.fairSlots, c.needsMore = remaining*c.valueDensity()/density, true
		}
	}
}
