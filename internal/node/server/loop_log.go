package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
)

// logLimit bounds the rate of log lines that clients or other servers can cause, by interval. It is used by the loop's
// goroutine alone. Guards against a misbehaving peer whose log lines fill the disk and take the loop's time.
type logLimit struct {
	debug         bool // the log's level includes debug lines of each request
	lines         int  // lines since intervalStart
	intervalStart admission.Time
}

// maxLinesPerInterval is the maximum number of lines per interval; further ones are only counted.
const maxLinesPerInterval = 20

// allowLogLine counts a line and reports whether it is within the limit.
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

// limitLog returns an entry for a line that counts against the limit, nil past the limit.
func (l *loop) limitLog() *logrus.Entry {
	if !l.allowLogLine() {
		return nil
	}
	return logrus.NewEntry(l.log)
}

// trace logs a request's step at debug level. A step with values is logged by traceWith after a check of debug, so that
// nothing is allocated at other levels.
func (l *loop) trace(r *request, step traceStep) {
	if l.debug {
		l.traceWith(r.id, step, nil)
	}
}

// traceWith logs a step with its values.
func (l *loop) traceWith(id string, step traceStep, values logrus.Fields) {
	l.log.WithField(logging.RequestID, id).WithFields(values).Debug(string(step))
}

// traceReason logs why a request gets no result.
func (l *loop) traceReason(r *request, step traceStep, reason admission.Reason) {
	if l.debug {
		l.traceWith(r.id, step, logrus.Fields{logging.Reason: reason.String()})
	}
}
