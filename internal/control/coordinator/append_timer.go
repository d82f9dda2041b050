package coordinator

// appendTimeoutMS is the time in ms after which an appended entry that was not applied is considered lost and is
// appended again. A shorter time would append entries twice while commits are slow; a longer one leaves nodes without a
// response while their leases run.
const appendTimeoutMS = 5000

// appendTimer measures the time from an entry's append to its application. The zero value is stopped. A timer that is
// started at 0 ms, before the leader's first Tick, stays stopped.
type appendTimer struct {
	sinceMS uint64 // 0: stopped
}

func (t *appendTimer) start(nowMS uint64) { t.sinceMS = nowMS }

func (t *appendTimer) stop() { t.sinceMS = 0 }

func (t *appendTimer) running() bool { return t.sinceMS != 0 }

// stopIfLost reports whether the entry is considered lost, and stops the timer if so.
func (t *appendTimer) stopIfLost(nowMS uint64) bool {
	lost := t.running() && nowMS-t.sinceMS > appendTimeoutMS
	if lost {
		t.stop()
	}
	return lost
}
