package server

import (
	"time"

	"umberwinch/admission"
	"umberwinch/internal/clock"
	"umberwinch/internal/logging"
)

// timeUnit is one unit of admission.Time.
const timeUnit = time.Second / time.Duration(admission.Second)

// timeOf converts a duration to admission.Time.
func timeOf(d time.Duration) admission.Time { return admission.Time(d / timeUnit) }

// durationOf is the reverse of timeOf.
func durationOf(t admission.Time) time.Duration { return time.Duration(t) * timeUnit }

// loopTime is the loop's clock and timers, used by the loop's goroutine alone. Its time is constant while events are
// handled and never goes back.
type loopTime struct {
	clock  *clock.Clock
	stamps *clock.Stamps // arrival timestamps of requests, by the wall clock
	now    admission.Time
	timers timers
	timer  *time.Timer // fires for the earliest of timers
}

// startClock starts the clock. Timestamps of requests are accepted up to maxAge in the past.
func (t *loopTime) startClock(maxAge admission.Time) {
	t.clock = clock.New()
	t.stamps = clock.NewStamps(t.clock.Read, durationOf(maxAge))
	t.now = timeOf(t.clock.Now())
}

// updateTime advances the loop's time by the monotonic clock and logs steps of the wall clock. Guards against a step
// that makes requests miss their deadlines or windows end early: no duration is measured by the wall clock. See row
// "wall clock stepped" in docs/design/shutdown.md.
func (l *loop) updateTime() {
	now, step := l.stamps.Observe(l.clock.Read)
	if l.now = max(l.now, timeOf(now)); step != 0 {
		l.counters.ClockSteps++
		if log := l.limitLog(); log != nil {
			log.WithField(logging.ClockStepMS, step.Round(time.Millisecond).Milliseconds()).Info(logClockStepped)
		}
	}
}

// arrivalBounds converts the Unix time in a request to the loop's time of its arrival. After a step of the wall clock
// the result is ambiguous: the arrival is between earliest and latest, and each use takes the bound that is safe for
// it. See row "wall clock stepped" in docs/design/shutdown.md.
func (l *loop) arrivalBounds(unixMilliseconds int64) (earliest, latest admission.Time, ok bool) {
	const latestStamp = int64(1<<62) / int64(time.Millisecond) // past the year 2100; guards against overflow
	if unixMilliseconds > latestStamp {
		return 0, 0, false
	}
	stamp := time.Duration(unixMilliseconds) * time.Millisecond
	from, to, ok := l.stamps.Place(durationOf(l.now), stamp, durationOf(l.limits.MaxTimestampAhead))
	return timeOf(from), timeOf(to), ok
}
