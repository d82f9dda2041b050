package pools

// One tenant, or one bucket of callers, may hold the limit of its class divided by ownerLimitDivisor while others of
// the class wait. A smaller part would hold back a class that has one caller alone.
const ownerLimitDivisor = 2

// CanStart reports whether a queued request may take a run slot now. A class over its limit may start requests while no
// class under its limit is waiting, so that no slot idles; a configured cap always holds, heavy runs excluded. The
// class with the reserve starts before all others while it waits and runs fewer requests than the reserve. Guards
// against costly work that holds all slots; requests of a limited class are passed by younger ones of others.
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
		return false
	}
	return !p.otherCanUseSlot(c)
}

// reservedForAnother reports whether the next free slot is reserved for another class.
func (p *Pools) reservedForAnother(class int) bool {
	if p.reserve.class == noClass || class == p.reserve.class {
		return false
	}
	c := &p.classes[p.reserve.class]
	return c.queued > 0 && c.running < p.reserve.slots
}

// otherCanUseSlot reports whether another class has requests queued and a free slot under its limit.
func (p *Pools) otherCanUseSlot(c *classState) bool {
	for k := range p.classes {
		if other := &p.classes[k]; other != c && other.queued > 0 && other.hasFreeSlot(p.slots) {
			return true
		}
	}
	return false
}

// ownerOverShare reports whether the request's tenant, or its bucket of callers, holds its share of a limited class's
// slots, heavy runs included, while others of the class wait.
func (s *classState) ownerOverShare(o owner) bool {
	if !s.limited() {
		return false
	}
	ownerLimit := max(1, int(s.limit/ownerLimitDivisor))
	return s.byTenant.running[o.tenant] >= ownerLimit && s.queued > s.byTenant.queued[o.tenant] ||
		s.byCaller.running[o.caller] >= ownerLimit && s.queued > s.byCaller.queued[o.caller]
}
