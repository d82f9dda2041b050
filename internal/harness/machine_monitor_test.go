package harness

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/procfs"
)

// A run on processes that fails on a machine that stood still can only be told from a fault of the programs by these
// lines: the sum and the worst sample of each delay, and when that was.
func TestMachineMonitorReportsWorstDelays(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 30, 0, 0, time.UTC)
	waited := 7 * time.Second // before the run
	disk := &machineDelay{name: "all processes waited for a disk",
		read: func(procfs.FS) (time.Duration, error) { return waited, nil }}
	unknown := &machineDelay{name: "the hypervisor took cores away",
		read: func(procfs.FS) (time.Duration, error) { return 0, errors.New("no such file") }}
	m := newMachineMonitor(start, disk, unknown)
	for _, sample := range []struct {
		at   time.Duration
		wait time.Duration
	}{{100 * time.Millisecond, 5 * time.Millisecond}, {2700 * time.Millisecond, 90 * time.Millisecond},
		{2800 * time.Millisecond, 20 * time.Millisecond}} {
		waited += sample.wait
		m.sample(start.Add(sample.at))
	}
	want := []string{
		"machine: a timer of this process was late by up to 2.5s at 08:30:02.700Z",
		"machine: all processes waited for a disk for 115ms in all, for up to 90ms between two samples at 08:30:02.700Z",
		"machine: not known on this machine whether the hypervisor took cores away",
	}
	if got := m.lines(); !slices.Equal(got, want) {
		t.Errorf("lines() = %q, want %q", got, want)
	}
}
