// Kernel: the link to the process that does the work. It owns the order of commands and notices: each notice
// is handled once and in its order, and a command that may have been lost with a link is sent again, but only
// after what the kernel told meanwhile was learned, and never for a run that had ended. Every command and
// every asking for gauges takes the next number; an answered asking proves that all before it on the same
// link were read.

package server

import (
	"strconv"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

type stand uint8

const (
	kernelOff stand = iota
	kernelOpened
	kernelReplays // BOOTED came, what was missed is being told
	kernelLive
)

// unsent is the number of a command that no link has taken yet.
const unsent = ^uint64(0)

type kernel struct {
	link
	stand   stand
	index   uint64 // the last notice handled
	sent    uint64 // number of the last command
	acked   uint64 // commands to this one are known to have been read
	proof   uint64 // so are these, but a break may still take with it what was on its way
	proofAt admission.Time
	asked   uint64 // number of the asking for gauges that a wake-up waits for
	askBy   admission.Time
	replay  uint64 // number of the asking that ends the replay
	fresh   bool   // no notice came over this link yet
}

func (l *loop) kernelUp() {
	k := &l.kernel
	k.stand, k.fresh = kernelOpened, true
	k.line.writer.send(wire.AppendKernelOpen(l.scratch[:0], k.index), l.limits.LinkQueue)
}

func (l *loop) kernelDown() {
	k := &l.kernel
	k.stand, k.asked = kernelOff, 0
	l.ungauged()
}

// tell sends a command that stands in l.scratch, and gives its number.
func (l *loop) tell() uint64 {
	k := &l.kernel
	if k.stand != kernelLive {
		return unsent
	}
	if !k.line.writer.send(l.scratch, l.limits.LinkQueue) {
		l.relink = true // not from within a round: what is lost is sent again on the next link
		return unsent
	}
	k.sent++
	return k.sent
}

func (l *loop) sched(r *request) {
	l.scratch = wire.AppendKernelRun(l.scratch[:0], r.task, l.names[r.handler], r.body)
	r.schedNo = l.tell()
}

func (l *loop) preempt(r *request) {
	l.scratch = wire.AppendKernelCommand(l.scratch[:0], wire.KernelStop, r.task)
	r.haltNo = l.tell()
}

func (l *loop) resched(r *request) {
	l.scratch = wire.AppendKernelCommand(l.scratch[:0], wire.KernelResume, r.task)
	r.schedNo, r.resumed, r.paused = l.tell(), true, false
}

func (l *loop) ioDone(r *request, reply []byte) {
	r.reply = append(r.reply[:0], reply...)
	r.goes = goesWithReply
	l.goOn(r)
}

func (l *loop) noIO(r *request) {
	r.goes = goesWithout
	l.goOn(r)
}

func (l *loop) goOn(r *request) {
	if r.goes == goesWithReply {
		l.scratch = wire.AppendKernelCallDone(l.scratch[:0], r.task, r.reply)
	} else {
		l.scratch = wire.AppendKernelCallSkipped(l.scratch[:0], r.task, r.asked)
	}
	r.goNo = l.tell()
}

// ask asks for the gauges that the module's wake-up comes with.
func (l *loop) ask() {
	k := &l.kernel
	if k.stand != kernelLive {
		l.ungauged()
		return
	}
	l.scratch = wire.AppendKernelGaugesRequest(l.scratch[:0], k.sent+1)
	if no := l.tell(); no != unsent {
		k.asked, k.askBy = no, l.now+l.limits.GaugeWait
		l.deadlines.set(k.askBy, dueGauge, 0)
		return
	}
	l.ungauged()
}

// ungauged lets a wake-up that is due come without gauges.
func (l *loop) ungauged() {
	if l.wakePending {
		l.wakePending = false
		l.counters.Ungauged++
		l.next().Woke = true
	}
}

// noticed takes one line of the kernel.
func (l *loop) noticed(n wire.KernelEvent) {
	k := &l.kernel
	switch string(n.Kind) {
	case wire.KernelBooted:
		l.booted(n)
		return
	case wire.KernelGauges:
		l.info(n)
		return
	case wire.KernelInvalid:
		l.counters.Refused++
		l.logf("kernel did not carry out %q for %q", n.Outcome, n.RunID)
		if h, r := l.byTask(n.RunID); r != nil && string(n.Outcome) == wire.KernelRun && r.run == runGoes {
			// It never ran and never will, as it is no req that the kernel knows of: nobody else can answer it,
			// and whoever sent it is not listened to any more.
			r.close = true
			l.runEnded(h, r, admission.Unrun, 0, nil)
		}
		return
	}
	switch {
	case n.Sequence == 0:
		l.logf("kernel says %q, which is not known", n.Kind)
		return
	case n.Sequence <= k.index:
		return
	case n.Sequence > k.index+1 && !k.fresh:
		l.logf("kernel's notice %d comes after %d", n.Sequence, k.index)
		l.linkDown(&k.link, errGap)
		return
	}
	if n.Sequence > k.index+1 {
		l.logf("kernel no longer has notices %d to %d", k.index+1, n.Sequence-1)
	}
	k.index, k.fresh = n.Sequence, false
	h, r := l.byTask(n.RunID)
	if r == nil || r.run != runGoes {
		return
	}
	r.schedNo, r.goNo, r.haltNo = 0, 0, 0 // it was read, or what it asked for is past
	r.goes = goesNot
	switch string(n.Kind) {
	case wire.KernelRunEnded:
		how := admission.Errored
		switch string(n.Outcome) {
		case wire.RunSucceeded:
			how = admission.OK
		case wire.RunStopped:
			how = admission.Stopped
		case wire.RunSuperseded:
			how = admission.Moot
		}
		l.runEnded(h, r, how, n.RunMS, n.Body)
	case wire.KernelCallAsked:
		l.trace(r, "stands at a call")
		r.ask, r.asked = append(r.ask[:0], n.Body...), n.Sequence
		l.next().Needs = append(l.next().Needs, uint32(h))
	}
}

// booted takes the start of the kernel, which is also the server's own as far as the module goes.
func (l *loop) booted(n wire.KernelEvent) {
	k := &l.kernel
	if k.stand != kernelOpened {
		return
	}
	if l.controller == nil {
		d := l.profile.Deployment
		d.Start, d.Cold = l.now-admission.Time(n.RunMS*10), string(n.Outcome) == wire.KernelCold
		l.logf("kernel is up, %s for %.0f ms", n.Outcome, n.RunMS)
		l.makePools()
		l.controller = admission.New(d)
		l.wakePending = true
		if l.draining {
			l.next().Drain, l.next().Kill = true, l.killAt
		}
	}
	k.stand, k.wait = kernelReplays, 0
	k.sent++
	k.replay = k.sent
	if !k.line.writer.send(wire.AppendKernelGaugesRequest(l.scratch[:0], k.replay), l.limits.LinkQueue) {
		l.linkDown(&k.link, errStuck)
		return
	}
	l.deadlines.set(l.now+l.limits.ReplayWait, dueReplay, handle(k.replay))
}

// info takes gauges; the first on a link says that all that was missed has been told.
func (l *loop) info(n wire.KernelEvent) {
	k := &l.kernel
	no, err := strconv.ParseUint(string(n.Nonce), 10, 64)
	if err != nil {
		return
	}
	if k.stand == kernelReplays && no == k.replay {
		l.replayed()
	}
	if k.stand != kernelLive || no > k.sent {
		return
	}
	if l.now >= k.proofAt+l.limits.AckLag {
		k.acked, k.proof, k.proofAt = k.proof, no, l.now
	}
	if l.wakePending && (no == k.asked || no == k.replay) {
		k.asked, l.wakePending = 0, false
		r := l.next()
		r.Woke, r.Gauged = true, true
		r.Gauges = l.profile.Gauges(n.Gauges[:n.GaugeCount])
		if l.fleet != nil {
			l.fleet.meter.CoresSampled(steadyMS(), r.Gauges.OnCores)
		}
	}
}

// unreplayed opens the link anew where the end of the replay is not told: to send again before all is learned
// could run twice what has ended meanwhile.
func (l *loop) unreplayed(asked handle) {
	if k := &l.kernel; k.stand == kernelReplays && handle(k.replay) == asked {
		l.linkDown(&k.link, errNoAnswer)
	}
}

// replayed makes a link live: what may have been lost with the last one goes out again.
func (l *loop) replayed() {
	k := &l.kernel
	if k.stand != kernelReplays {
		return
	}
	k.stand = kernelLive
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		r := l.requests.get(h)
		if r.run != runGoes {
			continue
		}
		sched, goes, halt := r.schedNo > k.acked, r.goNo > k.acked, r.haltNo > k.acked
		if sched {
			if r.resumed {
				l.resched(r)
			} else {
				l.sched(r)
			}
			l.counters.Resent++
		}
		if goes && r.goes != goesNot {
			l.goOn(r)
			l.counters.Resent++
		}
		if halt {
			l.preempt(r)
			l.counters.Resent++
		}
	}
}
