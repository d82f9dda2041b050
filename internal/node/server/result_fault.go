package server

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Guards of the result keeper that a fault test may take out, by their names in the operator's file: a promise then
// breaks.
const (
	guardGroupSync = "group"  // records that wait share a sync
	guardProof     = "proof"  // what may have run does not run again
	guardIntent    = "intent" // a run waits for its intent
	guardResult    = "result" // an answer waits for its result
)

// Points at which a fault test may kill the node, by their names in the operator's file.
const (
	faultBeforeIntent  = "intent"  // the intent is not handed over yet
	faultIntentDurable = "durable" // it is durable, and the kernel has not heard of the run
	faultRunSent       = "sched"   // the kernel has
	faultRunEnded      = "reap"    // the run ended, and its result is not handed over
	faultResultDurable = "result"  // the result is durable, and nobody was answered
	faultAnswered      = "answer"  // the caller was answered
	faultBeforeSync    = "sync"    // on the store's goroutine, before a write
	faultDiskHangs     = "hangs"   // the same; the disk takes its time once
)

const (
	// diskHangDuration is long beside what a loaded machine takes for some requests.
	diskHangDuration = 3500 * time.Millisecond
	// responseFlushDelay is waited before a kill at faultBeforeSync: what goes out without waiting for the disk is out by then.
	responseFlushDelay = 20 * time.Millisecond
)

// guardDisabled tells whether a fault test took a guard out.
func (k *resultKeeper) guardDisabled(guard string) bool {
	return slices.Contains(k.config.DisabledGuards, guard)
}

// faultPoint is where a fault test wants the node to die, the n-th time that it gets there.
type faultPoint struct {
	name    string // empty: nowhere
	count   int
	reached int
}

// onStoreGoroutine tells whether the point is reached on the store's goroutine.
func (p *faultPoint) onStoreGoroutine() bool {
	return p.name == faultBeforeSync || p.name == faultDiskHangs
}

// reach is called at each point.
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
	_ = unix.Kill(unix.Getpid(), unix.SIGKILL) // can't fail for the own process
	select {}
}
