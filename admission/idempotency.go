package admission

const (
	// entryRoundingMargin makes good what rounding to tenths of a millisecond took off an idempotency window, at both ends.
	entryRoundingMargin = 2
	// sharedResponseMemoryFraction is the share of memory up to which retryable requests get entries: sharing their responses is a
	// saving, not a duty, and the rest is left to runs and idempotency windows.
	sharedResponseMemoryFraction = 0.8
)

// repeatAction is what becomes of a request that repeats a known one.
type repeatAction uint8

const (
	treatAsNew          repeatAction = iota // the first attempt never ran, or a second run does no harm
	queueBehindOriginal                     // queue in its own place until the first one runs or leaves
	reuseOriginal                           // take the first one's response
	failRepeat                              // the first one ran and failed: its effect may stand
)

// repeatActionFor decides what becomes of a request that repeats another of the same key. A request that must run once never
// runs while an attempt that ran is known. It harms the repeats of a run that fails: they fail with it.
func repeatActionFor(repeat index, original *record, originalIndex index, atMostOnce bool) repeatAction {
	switch {
	case originalIndex == repeat || original.state == received:
		return treatAsNew // the later of two in one round takes the earlier one's response
	case !original.executed && original.state == finished:
		return treatAsNew // the first attempt was shed after this one reached the machine
	case original.state == queued:
		return queueBehindOriginal
	case !atMostOnce && (original.failed || original.answered && original.state != finished):
		return treatAsNew
	case atMostOnce && original.failed:
		return failRepeat
	default:
		return reuseOriginal
	}
}

// resolveRepeat settles a request that repeats another, or says that it is to be admitted like a new one. The first
// one may be known to the server's table alone.
func (c *Controller) resolveRepeat(i, original index) (resolved bool) {
	atMostOnce := c.classes[c.requests.at[i].class].atMostOnce
	if c.memory.full() {
		// Guards against repeats of a hot key that fill the memory. They need no slot, but each waits in memory, and a
		// few large ones are a good part of a small server's. Could harm where one is about to end.
		if atMostOnce && (original == none || c.requests.at[original].executed) {
			c.fail(i, ReasonMemory)
		} else {
			c.shed(i, ReasonMemory)
		}
		return true
	}
	if original == none {
		c.reuseResult(i)
		return true
	}
	originalRecord := &c.requests.at[original]
	switch repeatActionFor(i, originalRecord, original, atMostOnce) {
	case queueBehindOriginal:
		c.requests.attachRepeat(i, original)
		return false
	case failRepeat:
		c.fail(i, ReasonOriginalFailed)
	case reuseOriginal:
		originalRecord.resultShared = true
		c.reuseResult(i)
	default:
		return false
	}
	return true
}

// reuseResult lets a request take the response of the one it repeats; it needs no slot.
func (c *Controller) reuseResult(i index) {
	r := &c.requests.at[i]
	if r.state == queued {
		c.dequeue(i, false)
	}
	r.enter(awaitingResult)
	c.writer.ReuseResult(r.id)
	c.review(i)
}

// addEntry decides whether the idempotency table gets an entry for a request, and for how long: one with a key
// for what is left of its window; a retryable one, whose response others may share, for as long as it may take and be
// reused.
func (c *Controller) addEntry(i index) {
	r := &c.requests.at[i]
	class := &c.classes[r.class]
	switch {
	case class.keyed:
		r.entry.expires = r.arrivedAt + class.idempotencyWindow + entryRoundingMargin
	case !class.atMostOnce && c.settings.responseReuseTime > 0 &&
		c.memory.used+c.memory.entryKB < c.memory.limit*sharedResponseMemoryFraction:
		r.entry.expires = r.arrivedAt + class.objective + c.settings.responseReuseTime
	default:
		return
	}
	r.entry.expires = max(r.entry.expires, c.now+1)
	c.memory.used += c.memory.entryKB
	c.writer.Remember(r.id, r.entry.expires-c.now)
}

// updateEntry decides what becomes of the entry of a request whose run has ended. One that must run once keeps it
// for its window, unless it was proven not to have run; the response of another is reused while it is fresh.
func (c *Controller) updateEntry(r *record, outcome Outcome) {
	switch {
	case c.classes[r.class].atMostOnce && outcome != NotExecuted || r.entry.expires == 0:
	case r.failed:
		c.removeEntry(r)
	default:
		r.entry.expires = c.now + c.settings.responseReuseTime
		c.writer.Remember(r.id, c.settings.responseReuseTime)
	}
}

// removeEntry takes a request's entry out of the table ahead of its time.
func (c *Controller) removeEntry(r *record) {
	if r.entry.expires > 0 {
		r.entry.expires, r.entry.recordExpires = 0, c.now
		c.memory.used -= c.memory.entryKB
		c.writer.Forget(r.id)
	}
}
