package pools

// ClassStatus is the state of one class, for operators.
type ClassStatus struct {
	Name             string
	Limit            float64 // in slots; infinite: none
	Reason           string  // why the limit has its value
	Running          int     // in the class's own slots
	Heavy            int     // in the heavy slots
	Queued           int
	Shed             uint64  // since New
	StartedOverLimit int     // runs started over the limit since New
	MedianWork       float64 // of a run without its calls, in Time
	P95Work          float64 // in Time
	FairSlots        float64 // the class's fair share, in slots
	Reserve          int     // slots reserved for the class
}

// Status returns the state of all classes, in the order of the configuration.
func (p *Pools) Status() []ClassStatus {
	status := make([]ClassStatus, len(p.classes))
	for k := range p.classes {
		c := &p.classes[k]
		status[k] = ClassStatus{Name: c.Name, Limit: c.limit, Reason: c.reason, Running: c.running, Heavy: c.heavy,
			Queued: c.queued, Shed: c.shed, StartedOverLimit: c.startedOverLimit, MedianWork: c.cost.median,
			P95Work: c.cost.p95, FairSlots: c.fairSlots}
		if k == p.reserve.class {
			status[k].Reserve = p.reserve.slots
		}
	}
	return status
}

// QueueDelay is the queue delay of the class's last request to start; 0 while the class has no limit.
func (p *Pools) QueueDelay(class int) Time {
	if c := &p.classes[class]; !p.config.Disabled && c.limited() {
		return c.lastDelay
	}
	return 0
}

// TakeChanges returns the log lines since the last call.
func (p *Pools) TakeChanges() []string {
	changes := p.changes
	p.changes = nil
	return changes
}
