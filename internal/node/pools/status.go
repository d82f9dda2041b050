package pools

// ClassStatus is one class for operators.
type ClassStatus struct {
	Name             string
	Limit            float64 // slots; infinite: none
	Reason           string  // what set the limit
	Running          int     // in its own slots
	Heavy            int     // in the heavy slots
	Queued           int
	Shed             uint64  // since the start
	StartedOverLimit int     // runs since the start
	MedianWork       float64 // of a run less its calls, in Time
	P95Work          float64 // in Time
	FairSlots        float64 // fair slots
	Reserve          int     // slots kept for it first
}

// Status gives all classes in order.
func (p *Pools) Status() []ClassStatus {
	out := make([]ClassStatus, len(p.classes))
	for k := range p.classes {
		c := &p.classes[k]
		out[k] = ClassStatus{Name: c.Name, Limit: c.limit, Reason: c.reason, Running: c.running, Heavy: c.heavy,
			Queued: c.queued, Shed: c.shed, StartedOverLimit: c.startedOverLimit, MedianWork: c.cost.median,
			P95Work: c.cost.p95, FairSlots: c.fairSlots}
		if k == p.reserve.class {
			out[k].Reserve = p.reserve.slots
		}
	}
	return out
}

// QueueDelay is how long the last request of a limited class to start had waited; 0 while the class has no limit.
func (p *Pools) QueueDelay(class int) Time {
	if c := &p.classes[class]; !p.config.Disabled && c.limited() {
		return c.lastDelay
	}
	return 0
}

// TakeChanges gives the lines for the log since the last call.
func (p *Pools) TakeChanges() []string {
	out := p.changes
	p.changes = nil
	return out
}
