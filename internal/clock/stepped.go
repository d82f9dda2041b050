//go:build steppedclock

package clock

import (
	"os"
	"strings"
	"time"
)

// stepFile names the file that holds how far the wall clock is stepped, such as "-1h". This build exists for tests
// alone, which can't step a machine's clock.
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
