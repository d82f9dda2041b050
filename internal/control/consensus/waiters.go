package consensus

import "sync/atomic"

// putKey identifies a put; all its waiters get the same result.
type putKey struct {
	session string
	seq     uint64
}

// waiter is a caller waiting for a put's result or for a read.
type waiter struct {
	put       *Put // nil for a read
	sinceTick uint64
	done      chan outcome // has capacity one, so that sending never blocks
	canceled  atomic.Bool  // the caller has stopped waiting
}

// outcome is the result that a waiter receives.
type outcome struct {
	result PutResult
	err    error
}

// waiters tracks all waiting callers. Only the goroutine that owns the replica uses it.
type waiters struct {
	count      int
	puts       map[putKey][]*waiter
	reads      map[uint64][]*waiter // by the id of the read
	newReads   []*waiter            // of this round; one read serves them all
	lastReadID uint64
}

// rejectIfFull completes the waiter with ErrBusy if maxWaiting callers wait already.
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

func (ws *waiters) completePut(put *AppliedPut) {
	key := putKey{put.Session, put.Seq}
	ws.complete(ws.puts[key], outcome{result: put.Result})
	delete(ws.puts, key)
}

func (ws *waiters) completeRead(id uint64, version uint64) {
	ws.complete(ws.reads[id], outcome{result: PutResult{Version: version}})
	delete(ws.reads, id)
}

func (ws *waiters) complete(list []*waiter, o outcome) {
	for _, w := range list {
		w.done <- o
		ws.count--
	}
}

// failAll completes the waiters of all pending puts and reads with an error.
func (ws *waiters) failAll(err error) {
	for key, list := range ws.puts {
		ws.complete(list, outcome{err: err})
		delete(ws.puts, key)
	}
	for id, list := range ws.reads {
		ws.complete(list, outcome{err: err})
		delete(ws.reads, id)
	}
}

// dropCanceled returns the waiters that are not canceled.
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

// overdueReads removes and returns the waiters for reads requested at least minTicks ago.
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

// overduePuts returns the puts proposed at least minTicks ago, to be proposed again, and restarts their wait.
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
