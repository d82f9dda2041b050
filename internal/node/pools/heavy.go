package pools

const (
	// heavyWorkFactor is how often its class's usual work a run has used when it counts as heavy: past what a class with an
	// even spread shows (an exponential one has under one in thirty), and short of the tenfold that hurts.
	heavyWorkFactor = 5
	// heavyFraction of the slots are for heavy runs, of whatever class. More takes room from usual work, with less a
	// few heavy runs fill their own class.
	heavyFraction = 0.2
	// One tenant's heavy runs may take half of the heavy slots, where there are several tenants.
	heavyTenantDivisor = 2
)

// heavySlots counts the heavy runs.
type heavySlots struct {
	running  int
	byTenant []int
}

func (h *heavySlots) acquire(tenant int) {
	h.running++
	h.byTenant[tenant]++
}

func (h *heavySlots) release(tenant int) {
	h.running--
	h.byTenant[tenant]--
}

// markHeavyRuns decides which runs count as heavy: those that have used several times their class's usual work, as
// far as the heavy slots have room. So a few costly requests of a class take no room from the others of it; what has
// no room stays its class's own. It may harm all classes, by the heavy slots at most.
func (p *Pools) markHeavyRuns(now Time) {
	room := max(1, int(heavyFraction*float64(p.slots)))
	perTenant := room
	if len(p.heavy.byTenant) > 1 {
		perTenant = max(1, room/heavyTenantDivisor)
	}
	for _, id := range p.runOrder {
		r := p.runs[id]
		c := &p.classes[r.class]
		if r.heavy || c.cost.median == 0 || p.heavy.running >= room || p.heavy.byTenant[r.tenant] >= perTenant {
			continue
		}
		if float64(r.workSoFar(now)) < heavyWorkFactor*c.cost.median {
			continue
		}
		r.heavy = true
		c.heavy++
		c.running--
		p.heavy.acquire(r.tenant)
	}
}
