package clock

import "time"

const (
	// minStep is the least change of the wall clock against the monotonic one that counts as a step. Below it lie
	// slewing and the time that passes between the two readings.
	minStep = 50 * time.Millisecond
	// offsetTolerance is how far two readings of one offset may be apart without a second look.
	offsetTolerance = time.Millisecond
	// stepUncertainty is how long before a step is possible, or after it was seen, a stamp may be of either side: clients and
	// server do not read their clocks at the same instant.
	stepUncertainty = 50 * time.Millisecond
	// maxEpochs bounds the steps that are remembered; the oldest is forgotten.
	maxEpochs = 16
)

// epoch is a stretch of monotonic time over which the wall clock went with the monotonic one.
type epoch struct {
	offset      time.Duration // wall less monotonic
	from, until time.Duration // the offset may have been in force from then on, and until then
	lastSeen    time.Duration // it was last seen then
}

// Stamps places wall-clock stamps in monotonic time. It is not safe for concurrent use.
type Stamps struct {
	epochs []epoch // the newest last
	maxAge time.Duration
}

// NewStamps starts with what a clock reads. Stamps are placed that are at most keep old.
func NewStamps(read func() Reading, keep time.Duration) *Stamps {
	r := read()
	return &Stamps{maxAge: keep, epochs: []epoch{{offset: r.Wall - r.Monotonic, lastSeen: r.Monotonic, until: forever}}}
}

const forever = time.Duration(1 << 62)

// Observe looks at the clocks and tells by how much the wall clock was stepped since the last look, 0 if it was not.
func (s *Stamps) Observe(read func() Reading) (now, step time.Duration) {
	r := read()
	last := &s.epochs[len(s.epochs)-1]
	offset := r.Wall - r.Monotonic
	if (offset - last.offset).Abs() > offsetTolerance {
		// A process that is stopped between the two readings sees an offset that is too small by that time.
		again := read()
		offset = max(offset, again.Wall-again.Monotonic)
		r = again
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

// dropExpired drops epochs of which no stamp can come any more.
func (s *Stamps) dropExpired(now time.Duration) {
	drop := max(len(s.epochs)-maxEpochs, 0)
	for drop < len(s.epochs)-1 && now-s.epochs[drop].until > s.maxAge+stepUncertainty {
		drop++
	}
	s.epochs = append(s.epochs[:0], s.epochs[drop:]...)
}

// Place gives the monotonic time at which a stamp was made. Around a step there may be two; the true one is not
// before earliest and not after latest. ok is false if the stamp lies more than ahead in the future or is older than
// keep by every reading.
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
