package server

import (
	"time"

	"umberwinch/admission"
	"umberwinch/internal/clock"
	"umberwinch/internal/logging"
)

// timeUnit is one unit of admission.Time.
const timeUnit = time.Second / time.Duration(admission.Second)

// timeOf gives a time in the unit of the controller's.
func timeOf(d time.Duration) admission.Time { return admission.Time(d / timeUnit) }

// durationOf is the reverse of timeOf.
func durationOf(t admission.Time) time.Duration { return time.Duration(t) * timeUnit }

// loopTime is the loop's time and what is to happen at which: it stands still while events are handled, and never goes
// back.
type loopTime struct {
	clock  *clock.Clock
	stamps *clock.Stamps // of requests, by the wall clock
	now    admission.Time
	timers timers
	timer  *time.Timer // wakes the loop for the first of them
}

// startClock begins to measure time; requests are taken that reached the machine up to oldest ago.
func (t *loopTime) startClock(oldest admission.Time) {
	t.clock = clock.New()
	t.stamps = clock.NewStamps(t.clock.Read, durationOf(oldest))
	t.now = timeOf(t.clock.Now())
}

// lookAtClock brings the loop's time up to now, by the monotonic clock, and notices a step of the wall clock. Guards
// against a step that would put requests past their deadlines or have windows end early: no span is measured by the
// wall clock. See row "wall clock stepped" in docs/design/shutdown.md.
func (l *loop) lookAtClock() {
	now, step := l.stamps.Observe(l.clock.Read)
	if l.now = max(l.now, timeOf(now)); step != 0 {
		l.counters.ClockSteps++
		if log := l.limitLog(); log != nil {
			log.WithField(logging.ClockStepMS, step.Round(time.Millisecond).Milliseconds()).Info(logClockStepped)
		}
	}
}

// placeStamp gives the time at which a request reached the machine, by the Unix time that it states. Where the wall
// clock was stepped there may be two; the true one is not before earliest and not after latest, and each rule goes by
// the one that is safe for it. See row "wall clock stepped" in docs/design/shutdown.md.
func (l *loop) placeStamp(unixMilliseconds int64) (earliest, latest admission.Time, ok bool) {
	const latestStamp = int64(1<<62) / int64(time.Millisecond) // past the year 2100; the product could overflow beyond
	if unixMilliseconds > latestStamp {
		return 0, 0, false
	}
	stamp := time.Duration(unixMilliseconds) * time.Millisecond
	from, to, ok := l.stamps.Place(durationOf(l.now), stamp, durationOf(l.limits.MaxClockAhead))
	return timeOf(from), timeOf(to), ok
}
