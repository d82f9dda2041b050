package pools

const (
	// heavyWorkFactor is the multiple of its class's median work from which a run is heavy. With exponentially
	// distributed work fewer than one run in thirty is.
	heavyWorkFactor = 5
	// heavyFraction is the heavy slots, shared by all classes, as a fraction of the run slots. More take room from
	// usual work; with fewer a few heavy runs fill their own class.
	heavyFraction = 0.2
	// One tenant may hold the heavy slots divided by heavyTenantDivisor, if there are several tenants.
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

// markHeavyRuns moves runs that have used several times their class's median work to the heavy slots while those have
// capacity, so that a few costly requests don't use up their class's own slots. Heavy runs without room there stay in
// the class's own slots. All classes have less room for it, by the heavy slots at most.
func (p *Pools) markHeavyRuns(now Time) {
	heavyLimit := max(1, int(heavyFraction*float64(p.slots)))
	tenantLimit := heavyLimit
	if len(p.heavy.byTenant) > 1 {
		tenantLimit = max(1, heavyLimit/heavyTenantDivisor)
	}
	for _, id := range p.runOrder {
		r := p.runs[id]
		c := &p.classes[r.class]
		if r.heavy || c.cost.median == 0 || p.heavy.running >= heavyLimit || p.heavy.byTenant[r.tenant] >= tenantLimit {
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
