// Control: the reports that keep this server on the list that sidecars follow. It owns the link to the
// control plane and says there what the module says of health; that the control plane is away must never
// show anywhere else. A report that is not answered may count all the same, and must never hold up another.

package server

import (
	"math/rand/v2"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

type discoveryLink struct {
	link
	name              string
	ready             bool           // what the next report says
	reportOutstanding bool           // a report is out and not answered
	lastReport        admission.Time // when the last one went out
	reportPending     bool           // a report is to go out as soon as the link is up
}

// report sends the state now, or as soon as the link is up.
func (l *loop) sendReport() {
	c := &l.discovery
	c.reportPending = true
	if c.reportOutstanding {
		// On a link of its own, so that a late answer can't pass for this one's. It is dialled at once: this
		// happens no more often than reports are due and health changes.
		l.closeLink(&c.link, nil)
		return
	}
	if !c.up() {
		l.dial(&c.link)
		return
	}
	l.scratch = wire.AppendReadinessReport(l.scratch[:0], c.addr, c.name, c.ready)
	if !c.dialed.writer.send(l.scratch, l.limits.LinkQueue) {
		l.closeLink(&c.link, errStuck)
		return
	}
	c.reportOutstanding, c.reportPending, c.lastReport = true, false, l.now
	l.counters.Reports++
}

// nextReport is when the next report is due. An eighth of the time between two is left to chance: servers that were started
// together would report together for good.
func (l *loop) nextReport() admission.Time {
	return l.now + l.limits.ReportInterval - admission.Time(rand.Int64N(int64(l.limits.ReportInterval/8)))
}

// reported takes the answer to a report.
func (l *loop) reportAnswered(p wire.ResponseHead) {
	c := &l.discovery
	if !c.reportOutstanding {
		return
	}
	c.reportOutstanding, c.delay = false, 0
	if p.Status != wire.StatusNoContent {
		l.counters.ReportsLost++
		l.logf("control plane answered %d", p.Status)
	}
	if p.Close {
		l.closeLink(&c.link, nil)
	}
}

func (l *loop) controlUp() {
	if l.discovery.reportPending {
		l.sendReport()
	}
}

func (l *loop) controlDown() {
	if c := &l.discovery; c.reportOutstanding {
		l.counters.ReportsLost++
		c.reportOutstanding, c.reportPending = false, true
	}
}

// discoveryParser reads the answers to reports.
func discoveryParser(bounds wire.Bounds) linkParser {
	return func(from *dialed, b *buffer) (event, int, error) {
		e := &b.report
		e.dialed, e.buffer = from, b
		var n int
		var err error
		e.head, n, err = wire.ParseResponseHead(b.bytes(), bounds)
		return e, n, err
	}
}
