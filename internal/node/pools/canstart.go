package pools

// ownerLimitDivisor: one tenant or one caller may hold half of a limited class's slots while others of the class wait.
// Less would hold back the one caller that a class may well have.
const ownerLimitDivisor = 2 // the limit over it

// CanStart decides whether a queued request may take a slot now. It may while its class has room; past that only
// where nobody with room waits, so no slot idles for a limit that wasn't fixed. The class that has the reserve goes
// before all others while it waits and has less than the reserve. It guards against costly work that holds all slots,
// and harms the requests of a limited class, which are passed by younger ones of others.
func (p *Pools) CanStart(id uint32) bool {
	o, ok := p.queued[id]
	if p.config.Disabled || !ok {
		return true
	}
	c := &p.classes[o.class]
	if p.reservedForAnother(o.class) || c.ownerOverShare(o) {
		return false
	}
	if c.hasFreeSlot(p.slots) {
		return true
	}
	if c.MaxFraction > 0 && float64(c.running) >= c.MaxFraction*float64(p.slots) {
		return false // a cap is the operator's word, also where a slot would idle
	}
	return !p.otherCanUseSlot(c)
}

// reservedForAnother says whether the next slot is kept for the class that has the reserve.
func (p *Pools) reservedForAnother(class int) bool {
	if p.reserve.class == noClass || class == p.reserve.class {
		return false
	}
	c := &p.classes[p.reserve.class]
	return c.queued > 0 && c.running < p.reserve.slots
}

func (p *Pools) otherCanUseSlot(c *classState) bool {
	for k := range p.classes {
		if other := &p.classes[k]; other != c && other.queued > 0 && other.hasFreeSlot(p.slots) {
			return true
		}
	}
	return false
}

// ownerOverShare decides whether a tenant, or a caller, has so much of a limited class's slots that others of the class
// who wait go first: what is beyond its part goes last.
func (s *classState) ownerOverShare(o owner) bool {
	if !s.limited() {
		return false
	}
	most := max(1, int(s.limit/ownerLimitDivisor))
	return s.byTenant.running[o.tenant] >= most && s.queued > s.byTenant.queued[o.tenant] ||
		s.byCaller.running[o.caller] >= most && s.queued > s.byCaller.queued[o.caller]
}
