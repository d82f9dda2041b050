package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
)

// logLimit bounds the lines that clients or other servers can bring about. Guards against a peer that misbehaves at
// each request: its lines would fill the disk and take the loop's time.
type logLimit struct {
	debug         bool // the log's level asks for what happens to each request
	lines         int  // lines since intervalStart
	intervalStart admission.Time
}

// maxLinesPerInterval of one interval are written, more are counted: enough to see what goes wrong.
const maxLinesPerInterval = 20

// allowLogLine counts a line, and tells whether it is to be written: only a few are in each interval.
func (l *loop) allowLogLine() bool {
	if l.now-l.intervalStart >= l.limits.LogInterval {
		if l.lines > maxLinesPerInterval {
			l.log.WithField(logging.Count, l.lines-maxLinesPerInterval).Warn(logLinesDropped)
		}
		l.intervalStart, l.lines = l.now, 0
	}
	l.lines++
	return l.lines <= maxLinesPerInterval
}

// limitLog gives a log line that counts against the bound on lines, nil past it.
func (l *loop) limitLog() *logrus.Entry {
	if !l.allowLogLine() {
		return nil
	}
	return logrus.NewEntry(l.log)
}

// trace writes the step that a request has come to, when asked to by the log's level. A step with values is written
// by traceWith behind a look at debug, so that without it nothing is allocated for them.
func (l *loop) trace(r *request, step traceStep) {
	if l.debug {
		l.traceWith(r.id, step, nil)
	}
}

// traceWith writes a step with its values.
func (l *loop) traceWith(id string, step traceStep, values logrus.Fields) {
	l.log.WithField(logging.RequestID, id).WithFields(values).Debug(string(step))
}

// traceReason writes why a request gets no result.
func (l *loop) traceReason(r *request, step traceStep, why admission.Reason) {
	if l.debug {
		l.traceWith(r.id, step, logrus.Fields{logging.Reason: why.String()})
	}
}
