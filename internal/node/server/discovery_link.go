package server

import (
	"math/rand/v2"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// discoveryLink is the link to service discovery, through which clients find this server. It owns the readiness reports
// and is used by the loop's goroutine alone, until the process ends. An unanswered report may have taken effect, and
// never delays the next one. An outage of service discovery affects nothing else.
type discoveryLink struct {
	link
	name              string
	ready             bool           // readiness in the next report
	reportOutstanding bool           // a report was sent and is unanswered
	lastReport        admission.Time // when the last report was sent
	reportPending     bool           // a report is to be sent as soon as the link is up
}

// sendReport sends a readiness report now, or as soon as the link is up.
func (l *loop) sendReport() {
	c := &l.discovery
	c.reportPending = true
	if c.reportOutstanding {
		// Guards against matching a late response to the wrong report: the next report is sent on a new link, without
		// backoff, as this happens only when a report is due or readiness changes. See row "discovery: report
		// unanswered, partly answered, refused, link broken" in docs/design/shutdown.md.
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

// nextReport returns the time of the next report: up to an eighth of the interval is subtracted at random. Guards
// against servers that were started together and then report in step. See row "many servers lose one peer, or start
// together" in docs/design/shutdown.md.
func (l *loop) nextReport() admission.Time {
	return l.now + l.limits.ReportInterval - admission.Time(rand.Int64N(int64(l.limits.ReportInterval/8)))
}

// reportAnswered handles the response to a report.
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

// discoveryUp sends a report that was pending while the link was down.
func (l *loop) discoveryUp() {
	if l.discovery.reportPending {
		l.sendReport()
	}
}

// discoveryDown handles the loss of the link: an unanswered report is sent again, as it may not have been read. See row
// "drain during a discovery outage, new addresses during a drain" in docs/design/shutdown.md.
func (l *loop) discoveryDown() {
	if c := &l.discovery; c.reportOutstanding {
		l.counters.ReportsLost++
		c.reportOutstanding, c.reportPending = false, true
	}
}

// discoveryParser returns the parser of responses to reports.
func discoveryParser(bounds wire.Bounds) linkParser {
	return func(from *dialAttempt, b *buffer) (event, int, error) {
		e := &b.report
		e.dialed, e.buffer = from, b
		var n int
		var err error
		e.head, n, err = wire.ParseResponseHead(b.bytes(), bounds)
		return e, n, err
	}
}
