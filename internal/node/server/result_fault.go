package server

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Guards of the result keeper that a fault test may disable, by their names in UMBERWINCH_WITHOUT after the prefix
// "kept-".
const (
	guardGroupSync = "group"  // queued records share one sync
	guardProof     = "proof"  // a key that may have run does not run again
	guardIntent    = "intent" // a run waits until its intent is durable
	guardResult    = "result" // a response waits until its result is durable
)

// Points at which a fault test may kill the node, by their names in UMBERWINCH_DIE_AT.
const (
	faultBeforeIntent  = "intent"  // before the intent is queued for the disk
	faultIntentDurable = "durable" // the intent is durable, the run is not sent to the kernel
	faultRunSent       = "sched"   // the run was sent to the kernel
	faultRunEnded      = "reap"    // the run ended, the result is not queued for the disk
	faultResultDurable = "result"  // the result is durable, the request is not answered
	faultAnswered      = "answer"  // the request was answered
	faultBeforeSync    = "sync"    // on the result store's goroutine, before a write
	faultDiskHangs     = "hangs"   // likewise, but the write is delayed and the node survives
)

const (
	// diskHangDuration is the delay of the write at faultDiskHangs.
	diskHangDuration = 3500 * time.Millisecond
	// responseFlushDelay is the wait before a kill at faultBeforeSync, in which responses that don't wait for the disk
	// are sent.
	responseFlushDelay = 20 * time.Millisecond
)

// guardDisabled reports whether a fault test disabled a guard.
func (k *resultKeeper) guardDisabled(guard string) bool {
	return slices.Contains(k.config.DisabledGuards, guard)
}

// faultPoint is the point at which a fault test kills the node, when it is reached for the count-th time. It is used by
// the loop's goroutine, or by the store's for the points on that one.
type faultPoint struct {
	name    string // empty: none
	count   int
	reached int
}

// onStoreGoroutine reports whether the point is reached on the store's goroutine.
func (p *faultPoint) onStoreGoroutine() bool {
	return p.name == faultBeforeSync || p.name == faultDiskHangs
}

// reach kills the process, or delays it, if point is the configured one and its count is reached.
func (p *faultPoint) reach(point string) {
	if p.name != point {
		return
	}
	if p.reached++; p.reached != p.count {
		return
	}
	switch point {
	case faultDiskHangs:
		time.Sleep(diskHangDuration)
		return
	case faultBeforeSync:
		time.Sleep(responseFlushDelay)
	}
	_ = unix.Kill(unix.Getpid(), unix.SIGKILL) // can't fail for its own process
	select {}
}
