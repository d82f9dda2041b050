// Package clock tells time for the server: monotonic time, by which all deadlines, windows, waits and graces go,
// and the wall clock, which is read for nothing but to place the stamps that clients put on their requests. The
// wall clock may be stepped at any moment, forward or back, by seconds or by an hour; a span measured here is not
// touched by it.
package clock

import "time"

// origin is the monotonic time at which a clock starts. It is not zero, so that what happened before the start
// has a time as well and the zero value can mean "never".
const origin = 24 * time.Hour

// Reading is one look at both clocks.
type Reading struct {
	Monotonic time.Duration
	Wall      time.Duration // since the Unix epoch
}

// Clock reads both clocks. Its methods are safe for concurrent use.
type Clock struct {
	start time.Time
	wall  func(time.Time) time.Duration
}

// New starts a clock.
func New() *Clock {
	return &Clock{start: time.Now(), wall: wallTime}
}

// Now is the monotonic time.
func (c *Clock) Now() time.Duration { return origin + time.Since(c.start) }

// Read looks at both clocks at once.
func (c *Clock) Read() Reading {
	now := time.Now()
	return Reading{Monotonic: origin + now.Sub(c.start), Wall: c.wall(now)}
}

// sinceEpoch strips a time of its monotonic part, which is what a stamp has to be compared with.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
