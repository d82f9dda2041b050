package clock

import "time"

const (
	// minStep is the smallest change of the wall clock's offset that counts as a step. Smaller changes come from slew
	// and from the time between reading the two clocks.
	minStep = 50 * time.Millisecond
	// offsetTolerance is the change of the offset above which the clocks are read a second time.
	offsetTolerance = time.Millisecond
	// stepUncertainty extends both sides of a step: within it a stamp may be from before or after the step, because
	// clients and server do not read their clocks at the same instant.
	stepUncertainty = 50 * time.Millisecond
	// maxEpochs bounds the number of epochs that are kept; the oldest are dropped.
	maxEpochs = 16
)

// epoch is a period of monotonic time between two steps of the wall clock.
type epoch struct {
	offset      time.Duration // wall minus monotonic time
	from, until time.Duration // longest period in which the offset may have been valid
	lastSeen    time.Duration // last observation of the offset
}

// Stamps converts wall-clock timestamps to monotonic time across steps of the wall clock. It is not safe for concurrent
// use.
type Stamps struct {
	epochs []epoch // newest last
	maxAge time.Duration
}

// NewStamps starts from the clocks' present offset. Stamps older than maxAge are rejected.
func NewStamps(read func() Reading, maxAge time.Duration) *Stamps {
	r := read()
	first := epoch{offset: r.Wall - r.Monotonic, lastSeen: r.Monotonic, until: forever}
	return &Stamps{maxAge: maxAge, epochs: []epoch{first}}
}

const forever = time.Duration(1 << 62)

// Observe reads the clocks and returns the monotonic time and the step of the wall clock since the last call, or 0 if
// there was none.
func (s *Stamps) Observe(read func() Reading) (now, step time.Duration) {
	r := read()
	last := &s.epochs[len(s.epochs)-1]
	offset := r.Wall - r.Monotonic
	if (offset - last.offset).Abs() > offsetTolerance {
		// A process suspended between reading the wall clock and the monotonic clock sees an offset that is too small,
		// so the larger of two readings counts.
		second := read()
		offset = max(offset, second.Wall-second.Monotonic)
		r = second
	}
	step = offset - last.offset
	if step.Abs() < minStep {
		last.offset, last.lastSeen = offset, r.Monotonic
		return r.Monotonic, 0
	}
	last.until = r.Monotonic
	s.epochs = append(s.epochs, epoch{offset: offset, from: last.lastSeen, lastSeen: r.Monotonic, until: forever})
	s.dropExpired(r.Monotonic)
	return r.Monotonic, step
}

// dropExpired drops the oldest epochs beyond maxEpochs, and those whose stamps are all too old to be placed.
func (s *Stamps) dropExpired(now time.Duration) {
	drop := max(len(s.epochs)-maxEpochs, 0)
	for drop < len(s.epochs)-1 && now-s.epochs[drop].until > s.maxAge+stepUncertainty {
		drop++
	}
	s.epochs = append(s.epochs[:0], s.epochs[drop:]...)
}

// Place returns bounds on the monotonic time at which a stamp was made. They are equal unless a step makes several
// times possible. ok is false if the stamp is more than ahead in the future or older than the maximum age in every
// epoch.
func (s *Stamps) Place(now, stamp, ahead time.Duration) (earliest, latest time.Duration, ok bool) {
	for i := range s.epochs {
		e := &s.epochs[i]
		at := stamp - e.offset
		if at > now+ahead || at < now-s.maxAge || at < e.from-stepUncertainty || at > e.until+stepUncertainty {
			continue
		}
		at = min(at, now)
		if !ok {
			earliest, latest, ok = at, at, true
			continue
		}
		earliest, latest = min(earliest, at), max(latest, at)
	}
	return earliest, latest, ok
}
