package consensus

import "sync/atomic"

// putKey names a put: all who wait for it get its one result.
type putKey struct {
	session string
	seq     uint64
}

// waiter is a caller that waits for a put's result or for a read.
type waiter struct {
	put       *Put // nil for a read
	sinceTick uint64
	done      chan outcome // has room for one, so that it is never waited for
	canceled  atomic.Bool  // the caller went
}

type outcome struct {
	result PutResult
	err    error
}

// waiters are all callers that wait. The goroutine that owns the replica owns them.
type waiters struct {
	count      int
	puts       map[putKey][]*waiter
	reads      map[uint64][]*waiter // by raft's id of the read
	newReads   []*waiter            // of this round; one read serves them all
	lastReadID uint64
}

// rejectIfFull answers a caller with ErrBusy if too many wait already.
func (ws *waiters) rejectIfFull(w *waiter) bool {
	if ws.count < maxWaiting {
		return false
	}
	w.done <- outcome{err: ErrBusy}
	return true
}

func (ws *waiters) addPut(w *waiter) {
	key := putKey{w.put.Session, w.put.Seq}
	ws.puts[key] = append(ws.puts[key], w)
	ws.count++
}

func (ws *waiters) addRead(w *waiter) {
	ws.newReads = append(ws.newReads, w)
	ws.count++
}

func (ws *waiters) finishPut(put *AppliedPut) {
	key := putKey{put.Session, put.Seq}
	ws.finish(ws.puts[key], outcome{result: put.Result})
	delete(ws.puts, key)
}

func (ws *waiters) finishRead(id uint64, version uint64) {
	ws.finish(ws.reads[id], outcome{result: PutResult{Version: version}})
	delete(ws.reads, id)
}

func (ws *waiters) finish(list []*waiter, o outcome) {
	for _, w := range list {
		w.done <- o
		ws.count--
	}
}

// failAll ends every wait.
func (ws *waiters) failAll(err error) {
	for key, list := range ws.puts {
		ws.finish(list, outcome{err: err})
		delete(ws.puts, key)
	}
	for id, list := range ws.reads {
		ws.finish(list, outcome{err: err})
		delete(ws.reads, id)
	}
}

// dropCanceled leaves out waiters whose caller went.
func (ws *waiters) dropCanceled(list []*waiter) []*waiter {
	waiting := list[:0]
	for _, w := range list {
		if w.canceled.Load() {
			ws.count--
		} else {
			waiting = append(waiting, w)
		}
	}
	return waiting
}

// overdueReads takes out reads that have waited for some ticks.
func (ws *waiters) overdueReads(now, minTicks uint64) []*waiter {
	var overdue []*waiter
	for id, list := range ws.reads {
		if now-list[0].sinceTick >= minTicks {
			overdue = append(overdue, list...)
			delete(ws.reads, id)
		}
	}
	return ws.dropCanceled(overdue)
}

// overduePuts gives puts that have waited for some ticks, to be proposed again, and counts their wait anew.
func (ws *waiters) overduePuts(now, minTicks uint64) []Put {
	var overdue []Put
	for key, list := range ws.puts {
		if now-list[0].sinceTick < minTicks {
			continue
		}
		if list = ws.dropCanceled(list); len(list) == 0 {
			delete(ws.puts, key)
			continue
		}
		list[0].sinceTick = now
		ws.puts[key] = list
		overdue = append(overdue, *list[0].put)
	}
	return overdue
}
