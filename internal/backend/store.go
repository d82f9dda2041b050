// Store: the calls that runs make below. It owns the link to the store and which calls are out, and says how
// each one ended: never ran, may have run, went well. It must never say that a call did not run unless that
// is proven, and never make one by itself: each is the module's decision.
package backend

import (
	"umberwinch/admission"
	"umberwinch/internal/proto"
)

type store struct {
	link
	out  int            // calls sent and not ended
	used admission.Time // when the link last carried anything
}

// call makes the call that a run stands at.
func (l *loop) call(h handle, r *req, until admission.Time) {
	s := &l.store
	if s.way != nil && s.out == 0 && l.now-s.used > l.lim.StoreIdle {
		// The store closes connections left idle; a call that crosses that close would prove nothing.
		l.linkDown(&s.link, nil)
	}
	r.call, r.callAt, r.callUntil = callWaits, l.now, until
	l.count.Calls++
	l.trace(r, "call until %.1f ms", inMS(until-l.now))
	if s.addr == "" || s.way == nil && l.now < s.again {
		l.callEnded(h, r, admission.Unrun)
		return
	}
	l.due.set(until+l.lim.CallGrace, dueCall, h)
	if s.way == nil {
		l.dial(&s.link)
		return
	}
	l.sendCall(h, r)
}

func (l *loop) sendCall(h handle, r *req) {
	s := &l.store
	wait := max((r.callUntil-l.now+9)/10, 1)
	l.out = proto.AppendCall(l.out[:0], r.task, int64(wait), r.ask)
	if !s.way.send(l.out, l.lim.LinkQueue) {
		// The queue is full because the store takes nothing: this call never left, the others may have.
		l.callEnded(h, r, admission.Unrun)
		l.linkDown(&s.link, errStuck)
		return
	}
	r.call = callOut
	s.out++
	s.used = l.now
}

// callEnded tells the module of the end of a call, in the next round.
func (l *loop) callEnded(h handle, r *req, how admission.Outcome) {
	l.endCall(r)
	l.trace(r, "call ended %d after %.1f ms", how, inMS(l.now-r.callAt))
	switch how {
	case admission.OK:
		l.count.CallsOK++
	case admission.Unrun:
		l.count.CallsUnrun++
	default:
		l.count.CallsOther++
	}
	l.next().Returned = append(l.next().Returned,
		admission.Return{ID: uint32(h), How: how, Took: l.now - r.callAt})
}

func (l *loop) endCall(r *req) {
	if r.call == callOut {
		l.store.out--
	}
	r.call = callNone
}

// dropCall gives up a call that nobody waits for any more.
func (l *loop) dropCall(r *req) {
	if r.call == callOut && l.store.way != nil {
		l.out = proto.AppendDrop(l.out[:0], r.task)
		l.store.way.send(l.out, l.lim.LinkQueue)
		l.count.Dropped++
	}
	l.endCall(r)
}

// replied takes a reply of the store.
func (l *loop) replied(p proto.Reply) {
	l.store.used = l.now
	h, r := l.byTask(p.ID)
	if r == nil || r.call != callOut {
		return // given up meanwhile
	}
	how := admission.Unclear
	switch p.Verdict {
	case proto.CallOK:
		how = admission.OK
		l.ioDone(r, p.Body)
	case proto.CallBusy, proto.CallVoid:
		how = admission.Unrun
	case proto.CallErr:
		how = admission.Errored
	}
	l.callEnded(h, r, how)
}

// callLate gives up a call that the store did not end in its time.
func (l *loop) callLate(h handle) {
	r := l.reqs.get(h)
	if r == nil || r.call == callNone {
		return
	}
	if end := r.callUntil + l.lim.CallGrace; l.now < end {
		return // an earlier call's time; the present one has its own
	}
	how := admission.Unclear
	if r.call == callWaits {
		how = admission.Unrun
	}
	l.dropCall(r)
	l.callEnded(h, r, how)
}

// storeUp sends the calls that waited for the link.
func (l *loop) storeUp() {
	l.store.used = l.now
	for h, i := l.reqs.next(0); h != 0 && l.store.way != nil; h, i = l.reqs.next(i) {
		if r := l.reqs.get(h); r.call == callWaits {
			l.sendCall(h, r)
		}
	}
}

// storeDown ends every call: those that had gone out may have run.
func (l *loop) storeDown() {
	for h, i := l.reqs.next(0); h != 0; h, i = l.reqs.next(i) {
		switch r := l.reqs.get(h); r.call {
		case callOut:
			l.callEnded(h, r, admission.Unclear)
		case callWaits:
			l.callEnded(h, r, admission.Unrun)
		}
	}
	l.store.out = 0
}
