package resultstore

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile names the boot of the machine, by Linux's word.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootClock gives the time of the clock that windows run by, and names the boot that it counts from.
func BootClock() (now Milliseconds, bootID string, err error) {
	var t unix.Timespec
	if err = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, "", fmt.Errorf("CLOCK_BOOTTIME: %w", err)
	}
	raw, err := os.ReadFile(bootIDFile)
	return uint64(t.Nano() / int64(time.Millisecond)), string(bytes.TrimSpace(raw)), err
}
