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

// faultEnv names what an instance does to itself once SIGUSR2 has told it to: a step of Work at which it
// kills itself as kill -9 would, or a way in which its disk fails. Without it SIGUSR2 does what it does to
// any process.
const faultEnv = "UMBERWINCH_FAULT"

// Ways in which a disk fails on demand.
const (
	faultDiskStall = "stall" // the next sync takes diskStallTime
	faultDiskFull  = "full"  // each write from then on finds no room
	diskStallTime  = 3 * time.Second
)

// FaultsFromEnvironment gives an instance the faults that its environment asks for.
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

// stepNames are the kinds of faults that kill an instance at a step of its work.
func stepNames() (names []string) {
	for _, step := range consensus.Steps {
		names = append(names, string(step))
	}
	return names
}

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

// failingDisk is a folder whose disk fails once armed.
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
