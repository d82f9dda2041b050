package harness

import (
	"fmt"
	"time"

	"github.com/prometheus/procfs"
)

// machineSampleInterval is the time between two samples of the machine.
const machineSampleInterval = 100 * time.Millisecond

// delayReader reads the total of a delay since the machine's start.
type delayReader func(fs procfs.FS) (time.Duration, error)

// machineDelay is a way in which the machine delays processes.
type machineDelay struct {
	name        string
	read        delayReader
	unavailable bool // this machine does not report it
	last, sum   time.Duration
	worst       time.Duration // the longest between two samples
	worstAt     time.Time     // time of the later one
}

// machineMonitor measures how long the machine delayed processes during a run on processes. A process that waits for a
// core or a disk can miss a lease or a deadline without a fault of its own, so the report of a violation says whether
// any did. Pressure is the kernel's pressure stall information; see Documentation/accounting/psi.rst of Linux.
type machineMonitor struct {
	fs       procfs.FS
	delays   []*machineDelay
	lastAt   time.Time
	late     time.Duration // longest delay of this process's own timer
	lateAt   time.Time
	stopping chan struct{}
	stopped  chan struct{}
}

// startMachineMonitor starts to sample the machine, until stop.
func startMachineMonitor() *machineMonitor {
	m := newMachineMonitor(time.Now(),
		&machineDelay{name: "some processes waited for a core", read: pressure("cpu", somePressure)},
		&machineDelay{name: "all processes waited for a disk", read: pressure("io", fullPressure)},
		&machineDelay{name: "all processes waited for memory", read: pressure("memory", fullPressure)},
		&machineDelay{name: "the hypervisor took cores away", read: stolenTime})
	go m.run()
	return m
}

// newMachineMonitor returns a monitor of delays whose present totals are its start.
func newMachineMonitor(now time.Time, delays ...*machineDelay) *machineMonitor {
	m := &machineMonitor{lastAt: now, delays: delays, stopping: make(chan struct{}), stopped: make(chan struct{})}
	var fsErr error
	m.fs, fsErr = procfs.NewDefaultFS()
	for _, d := range m.delays {
		total, err := d.read(m.fs)
		d.last, d.unavailable = total, fsErr != nil || err != nil
	}
	return m
}

// run samples the machine until the monitor is stopped.
func (m *machineMonitor) run() {
	defer close(m.stopped)
	ticker := time.NewTicker(machineSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stopping:
			return
		case <-ticker.C:
			m.sample(time.Now())
		}
	}
}

// sample records the delays since the last sample.
func (m *machineMonitor) sample(now time.Time) {
	if late := now.Sub(m.lastAt) - machineSampleInterval; late > m.late {
		m.late, m.lateAt = late, now
	}
	m.lastAt = now
	for _, d := range m.delays {
		if d.unavailable {
			continue
		}
		if total, err := d.read(m.fs); err == nil {
			d.add(total, now)
		}
	}
}

// add records a new total of a delay.
func (d *machineDelay) add(total time.Duration, now time.Time) {
	since := total - d.last
	d.last = total
	d.sum += since
	if since > d.worst {
		d.worst, d.worstAt = since, now
	}
}

// stop ends the samples and returns what they show.
func (m *machineMonitor) stop() []string {
	close(m.stopping)
	<-m.stopped
	return m.lines()
}

// lines describes the measured delays, one a line.
func (m *machineMonitor) lines() []string {
	lines := []string{fmt.Sprintf("machine: a timer of this process was late by up to %v%s", rounded(m.late),
		clockTime(m.lateAt))}
	for _, d := range m.delays {
		if d.unavailable {
			lines = append(lines, fmt.Sprintf("machine: not known on this machine whether %s", d.name))
			continue
		}
		lines = append(lines, fmt.Sprintf("machine: %s for %v in all, for up to %v between two samples%s", d.name,
			rounded(d.sum), rounded(d.worst), clockTime(d.worstAt)))
	}
	return lines
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// clockTime formats the time of a delay as the logs of the processes do; it returns "" for the zero time, of no delay.
func clockTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(" at 15:04:05.000Z07:00")
}

// pressure returns a reader of one line of a resource's pressure stall information.
func pressure(resource string, line func(procfs.PSIStats) *procfs.PSILine) delayReader {
	return func(fs procfs.FS) (time.Duration, error) {
		stats, err := fs.PSIStatsForResource(resource)
		if err != nil {
			return 0, err
		}
		found := line(stats)
		if found == nil {
			return 0, fmt.Errorf("pressure of %s: the kernel reports no such line", resource)
		}
		return time.Duration(found.Total) * time.Microsecond, nil
	}
}

func somePressure(stats procfs.PSIStats) *procfs.PSILine { return stats.Some }

func fullPressure(stats procfs.PSIStats) *procfs.PSILine { return stats.Full }

// stolenTime returns the time that the hypervisor gave to others while this machine had work, over all cores.
func stolenTime(fs procfs.FS) (time.Duration, error) {
	stats, err := fs.Stat()
	return time.Duration(stats.CPUTotal.Steal * float64(time.Second)), err
}
