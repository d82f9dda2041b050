package simulation

import (
	"os"
	"strconv"
	"testing"
)

// scheduleCount is how many schedules a test plays: as many as UMBERWINCH_SCHEDULES says, or its own number.
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
