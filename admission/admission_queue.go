package admission

// admissionQueue holds the requests that wait for a run slot, in the order in which they were read.
type admissionQueue struct {
	list
	long      bool // one request per core is queued, or requests are read late: queue timeouts are shortened
	lastDelay Time // queue delay of the request started last
}

// headDelay returns the time since the arrival of the request at the head; 0 if the queue is empty.
func (q *admissionQueue) headDelay(t *requestTable, now Time) Time {
	if q.head == none {
		return 0
	}
	return now - t.at[q.head].arrivedAt
}

// hasOnePerCore reports whether at least one request per core is queued: a whole run then passes before the last of
// them gets a core.
func (q *admissionQueue) hasOnePerCore(cores float64) bool { return float64(q.length) >= cores }

// admit queues a request that was just read, resolves it as a repeat of a known request, or sheds it: while draining,
// while runs are stalled, or if its run would not fit into memory. It may shed a request that a slot or memory freed a
// moment later would have served.
func (c *Controller) admit(i index, q *Request) {
	r := &c.requests.at[i]
	class := &c.classes[r.class]
	if q.PreviousID != 0 && c.resolveRepeat(i, c.requests.find(q.PreviousID)) {
		return
	}
	entryKB := 0.0
	if class.keyed {
		entryKB = c.memory.entryKB
	}
	switch {
	case c.drain.active && r.arrivedAt > c.drain.admitBefore:
		c.shed(i, ReasonDraining)
	case c.readiness.stalled && (c.limit.slotsInUse > 0 || c.queue.length > 0 || class.atMostOnce):
		// While stalled, one retryable request at a time is admitted as a probe for progress.
		c.shed(i, ReasonStalled)
	case r.repeats.original == none && c.memory.exceededBy(r.sizeKB, entryKB):
		// Guards against a queue that leaves no memory for the runs of its requests, and against the process being
		// killed for exceeding its memory.
		c.shed(i, ReasonMemory)
	default:
		c.enqueue(i, q)
	}
}

// enqueue appends a request to the queue. A request that waits for the run of its original gets no entry in the
// idempotency table.
func (c *Controller) enqueue(i index, q *Request) {
	r := &c.requests.at[i]
	c.queue.insertAfter(&c.requests, i, c.queue.tail)
	r.enter(queued)
	if c.pools != nil {
		c.pools.Enqueued(c.now, q)
	}
	if r.repeats.original == none {
		c.addEntry(i)
	}
	c.review(i)
}

// dequeue removes a request that gets no run from the queue.
func (c *Controller) dequeue(i index, shed bool) {
	c.queue.remove(&c.requests, i)
	if c.pools != nil {
		c.pools.Dequeued(c.now, c.requests.at[i].id, shed)
	}
}
