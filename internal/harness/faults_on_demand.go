package harness

import (
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/wal"
)

// faultEnv names the fault that SIGUSR2 triggers in an instance: a step of its work at which it kills itself with
// SIGKILL, or a disk fault. Without it, SIGUSR2 has its default action.
const faultEnv = "UMBERWINCH_FAULT"

// Disk faults.
const (
	faultDiskStall = "stall" // the next sync takes diskStallTime
	faultDiskFull  = "full"  // all later writes fail with ENOSPC, after half of their data
	diskStallTime  = 3 * time.Second
)

// FaultsFromEnvironment returns the faults and disabled guards that an instance's environment requests.
func FaultsFromEnvironment() consensus.Faults {
	var policyGuards policy.Guard
	var zoneGuards zones.Guard
	for _, name := range strings.Split(os.Getenv(disabledGuardsEnv), ",") {
		if g, err := policy.GuardNamed(name); err == nil {
			policyGuards |= g
		}
		if g, err := zones.GuardNamed(name); err == nil {
			zoneGuards |= g
		}
	}
	f := newFaults(os.Getenv(faultEnv))
	f.DisabledPolicyGuards, f.DisabledZoneGuards = policyGuards, zoneGuards
	return f
}

// stepNames returns the kinds of faults that kill an instance at a step of its work.
func stepNames() (names []string) {
	for _, step := range consensus.Steps {
		names = append(names, string(step))
	}
	return names
}

// newFaults returns the faults of a kind, which a SIGUSR2 arms.
func newFaults(kind string) consensus.Faults {
	if kind == "" {
		return consensus.Faults{}
	}
	armed := &atomic.Bool{}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	go func() {
		for range signals {
			armed.Store(true)
		}
	}()
	if kind == faultDiskStall || kind == faultDiskFull {
		return consensus.Faults{WrapDisk: func(fs wal.FS) wal.FS { return failingDisk{fs, kind, armed} }}
	}
	return consensus.Faults{OnStep: func(step consensus.WorkStep) {
		if string(step) == kind && armed.Load() {
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}}
}

// failingDisk is a file system that fails once armed.
type failingDisk struct {
	wal.FS
	kind  string
	armed *atomic.Bool
}

type failingFile struct {
	wal.File
	disk failingDisk
}

func (f failingDisk) Create(name string) (wal.File, error) {
	file, err := f.FS.Create(name)
	return failingFile{file, f}, err
}

func (f failingDisk) Open(name string) (wal.File, error) {
	file, err := f.FS.Open(name)
	return failingFile{file, f}, err
}

func (f failingFile) WriteAt(p []byte, off int64) (int, error) {
	if f.disk.kind == faultDiskFull && f.disk.armed.Load() {
		n, err := f.File.WriteAt(p[:len(p)/2], off)
		if err == nil {
			err = syscall.ENOSPC
		}
		return n, err
	}
	return f.File.WriteAt(p, off)
}

func (f failingFile) Sync() error {
	if f.disk.kind == faultDiskStall && f.disk.armed.CompareAndSwap(true, false) {
		time.Sleep(diskStallTime)
	}
	return f.File.Sync()
}
