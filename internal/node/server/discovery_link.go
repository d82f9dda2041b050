package server

import (
	"math/rand/v2"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// discoveryLink is the link to service discovery, by whose list clients find this server. It owns the reports of what
// the controller and the fleet agent say of readiness; that service discovery is away shows nowhere else. A report
// without an answer may count all the same, and never holds up another. It ends with the process.
type discoveryLink struct {
	link
	name              string
	ready             bool           // what the next report says
	reportOutstanding bool           // a report is out and not answered
	lastReport        admission.Time // when the last one went out
	reportPending     bool           // a report is to go out as soon as the link is up
}

// sendReport sends the state now, or as soon as the link is up.
func (l *loop) sendReport() {
	c := &l.discovery
	c.reportPending = true
	if c.reportOutstanding {
		// Guards against a late answer that passes for this report's: the next report goes out on a link of its own.
		// It is dialled at once: this happens no more often than reports are due and readiness changes. See row
		// "discovery: report unanswered, half answered, refused, link cut" in docs/design/shutdown.md.
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

// nextReport is when the next report is due. An eighth of the time between two is left to chance: servers that were
// started together would report together for good. See row "many servers lose one peer, or start together" in
// docs/design/shutdown.md.
func (l *loop) nextReport() admission.Time {
	return l.now + l.limits.ReportInterval - admission.Time(rand.Int64N(int64(l.limits.ReportInterval/8)))
}

// reportAnswered takes the answer to a report.
func (l *loop) reportAnswered(p wire.ResponseHead) {
	c := &l.discovery
	if !c.reportOutstanding {
		return
	}
	c.reportOutstanding, c.delay = false, 0
	if p.Status != wire.StatusNoContent {
		l.counters.ReportsLost++
		if log := l.limitLog(); log != nil {
			log.WithField(logging.Status, p.Status).Info(logReportRejected)
		}
	}
	if p.Close {
		l.closeLink(&c.link, nil)
	}
}

// discoveryUp sends the report that waited for the link.
func (l *loop) discoveryUp() {
	if l.discovery.reportPending {
		l.sendReport()
	}
}

// discoveryDown takes the end of the link: a report that was out is to go out again, as it may not have been read. See
// row "drain during a discovery outage, new addresses during a drain" in docs/design/shutdown.md.
func (l *loop) discoveryDown() {
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
