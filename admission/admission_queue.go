package admission

// admissionQueue holds the requests that wait for a run slot, in the order in which they were read.
type admissionQueue struct {
	list
	long      bool // waits are shortened for what earns least
	lastDelay Time // that the last request to start had waited
}

// headDelay is how long the oldest request has waited.
func (q *admissionQueue) headDelay(t *requestTable, now Time) Time {
	if q.head == none {
		return 0
	}
	return now - t.at[q.head].arrivedAt
}

// hasOnePerCore says whether as many requests as cores wait: a whole run then passes before the last of them gets a core.
func (q *admissionQueue) hasOnePerCore(cores float64) bool { return float64(q.length) >= cores }

// admit decides whether a request that was just read joins the tail of the queue, takes another's response, or is
// shed. It sheds what the process can't finish before it is killed, what would only wait for work that stands still,
// and what it has no memory to run. It acts on each request once. It may harm a request that a freed slot or freed
// memory would have served a moment later.
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
		// While work stands still one retryable request at a time is admitted, to see whether it finishes again.
		c.shed(i, ReasonStalled)
	case r.repeats.original == none && c.memory.exceededBy(r.sizeKB, entryKB):
		// Guards against a queue that fills the memory which its runs need, and a process that is killed for it.
		// Runs are counted at their full size, so what is queued can run.
		c.shed(i, ReasonMemory)
	default:
		c.enqueue(i, q)
	}
}

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

// dequeue takes a request out of the queue that gets no run.
func (c *Controller) dequeue(i index, shed bool) {
	c.queue.remove(&c.requests, i)
	if c.pools != nil {
		c.pools.Dequeued(c.now, c.requests.at[i].id, shed)
	}
}
