package admission

const (
	// entryRoundingMargin, in units of Time, compensates for rounding both ends of an idempotency window.
	entryRoundingMargin = 2
	// sharedResponseMemoryFraction is the fraction of the memory limit in use up to which retryable requests get
	// entries to share responses. The rest is kept for runs and idempotency windows.
	sharedResponseMemoryFraction = 0.8
)

// repeatAction is the handling of a request that repeats a known request, its original.
type repeatAction uint8

const (
	treatAsNew          repeatAction = iota // the original never ran, or a second run is safe
	queueBehindOriginal                     // wait in the queue until the original runs or is removed
	reuseOriginal                           // answer with the response of the original
	failRepeat                              // the original ran and failed; its effects may persist
)

// repeatActionFor decides how a repeat is handled. An at-most-once request never runs while an earlier executed
// attempt is known: the repeats of a failed run fail as well.
func repeatActionFor(repeat index, original *requestRecord, originalIndex index, atMostOnce bool) repeatAction {
	switch {
	case originalIndex == repeat || original.state == received:
		return treatAsNew // of two in one round, the later reuses the result of the earlier
	case !original.executed && original.state == finished:
		return treatAsNew // the original was shed after the repeat had arrived
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

// resolveRepeat handles a request that repeats another. It returns false if the request is to be admitted like a new
// one. original is none if only the server's table knows the original.
func (c *Controller) resolveRepeat(i, original index) (resolved bool) {
	atMostOnce := c.classes[c.requests.at[i].class].atMostOnce
	if c.memory.full() {
		// Guards against repeats of a hot key that fill the memory while they wait, although they need no slot. Does harm
		// where their original is about to end.
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

// reuseResult answers a request with the result of its original, which takes no slot.
func (c *Controller) reuseResult(i index) {
	r := &c.requests.at[i]
	if r.state == queued {
		c.dequeue(i, false)
	}
	r.enter(awaitingResult)
	c.writer.ReuseResult(r.id)
	c.review(i)
}

// addEntry adds an entry to the idempotency table: for a keyed request until the end of its idempotency window, and
// for a retryable one, whose response may be shared, until its latency objective and the response reuse time are
// over.
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

// updateEntry sets the lifetime of an entry after its run has ended. An at-most-once request keeps its entry unless
// it was proven not executed. A retryable one keeps a good response for the response reuse time.
func (c *Controller) updateEntry(r *requestRecord, outcome Outcome) {
	switch {
	case c.classes[r.class].atMostOnce && outcome != NotExecuted || r.entry.expires == 0:
	case r.failed:
		c.removeEntry(r)
	default:
		r.entry.expires = c.now + c.settings.responseReuseTime
		c.writer.Remember(r.id, c.settings.responseReuseTime)
	}
}

// removeEntry removes the entry of a request from the idempotency table before it expires.
func (c *Controller) removeEntry(r *requestRecord) {
	if r.entry.expires > 0 {
		r.entry.expires, r.entry.recordExpires = 0, c.now
		c.memory.used -= c.memory.entryKB
		c.writer.Forget(r.id)
	}
}
