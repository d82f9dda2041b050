//go:build steppedclock

package clock

import (
	"os"
	"strings"
	"time"
)

// stepFile is the environment variable with the path of a file that holds the step of the wall clock, such as "-1h".
// Tests use this build because they can't step the machine's clock.
const stepFile = "UMBERWINCH_WALL_STEP"

func wallTime(t time.Time) time.Duration {
	text, err := os.ReadFile(os.Getenv(stepFile))
	if err != nil {
		return sinceEpoch(t)
	}
	step, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil {
		return sinceEpoch(t)
	}
	return sinceEpoch(t) + step
}
