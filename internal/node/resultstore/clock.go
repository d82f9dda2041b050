package resultstore

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile holds an identifier of the current boot of the machine, on Linux.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootClock returns the time of CLOCK_BOOTTIME and the identifier of the boot in which it counts.
func BootClock() (now Milliseconds, bootID string, err error) {
	var t unix.Timespec
	if err = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, "", fmt.Errorf("CLOCK_BOOTTIME: %w", err)
	}
	raw, err := os.ReadFile(bootIDFile)
	return uint64(t.Nano() / int64(time.Millisecond)), string(bytes.TrimSpace(raw)), err
}
