// Package clock reads the server's clocks. Deadlines, windows and timers use monotonic time, which steps of the wall
// clock don't affect. The wall clock is read only to convert the timestamps of clients' requests to monotonic time
// (Stamps); it may be stepped at any time by any amount.
package clock

import "time"

// origin is the monotonic time at which a clock starts. It is above zero so that events before the start have a time
// and the zero value can mean "never".
const origin = 24 * time.Hour

// Reading is the time of both clocks at one moment.
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

// Now returns the monotonic time.
func (c *Clock) Now() time.Duration { return origin + time.Since(c.start) }

// Read returns the time of both clocks.
func (c *Clock) Read() Reading {
	now := time.Now()
	return Reading{Monotonic: origin + now.Sub(c.start), Wall: c.wall(now)}
}

// sinceEpoch returns the wall-clock part of a time, since the Unix epoch.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
