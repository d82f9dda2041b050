//go:build !steppedclock

package clock

import "time"

func wallTime(t time.Time) time.Duration { return sinceEpoch(t) }
