package coordinator

// appendTimeoutMS is after how long, in ms, an appended entry that was not applied counts as lost, with a leader or
// on the way to one, and is appended again. A shorter time would append entries twice when commits are slow, which
// costs log and changes nothing; a longer one leaves nodes without an answer while their leases run.
const appendTimeoutMS = 5000

// appendTimer follows one entry from its append to its application. The zero value follows none,
// nor does a timer that is started at 0 ms, before the leader's first Tick.
type appendTimer struct {
	sinceMS uint64 // 0: none
}

func (t *appendTimer) start(nowMS uint64) { t.sinceMS = nowMS }

func (t *appendTimer) stop() { t.sinceMS = 0 }

func (t *appendTimer) running() bool { return t.sinceMS != 0 }

// stopIfLost stops the timer if the entry counts as lost, and tells whether it does.
func (t *appendTimer) stopIfLost(nowMS uint64) bool {
	lost := t.running() && nowMS-t.sinceMS > appendTimeoutMS
	if lost {
		t.stop()
	}
	return lost
}
