package simulation

import (
	"os"
	"strconv"
	"testing"
)

// scheduleCount returns the number of schedules that a test runs: UMBERWINCH_SCHEDULES, or fallback if it is unset.
func scheduleCount(t *testing.T, fallback int) int {
	t.Helper()
	text := os.Getenv("UMBERWINCH_SCHEDULES")
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("UMBERWINCH_SCHEDULES: found %q, expected a number above 0", text)
	}
	return n
}
