package server

import (
	"umberwinch/admission"
	"umberwinch/internal/logging"
)

// logLimit bounds the lines that clients or other servers can bring about. Guards against a peer that misbehaves at
// each request: its lines would fill the disk and take the loop's time.
type logLimit struct {
	debug   bool // the log's level asks for what happens to each request
	logged  int  // lines since logFrom
	logFrom admission.Time
}

// maxLogLines of one interval are written, more are counted: enough to see what goes wrong.
const maxLogLines = 20

// mayLog counts a line, and tells whether it is to be written: only a few are in each interval.
func (l *loop) mayLog() bool {
	if l.now-l.logFrom >= l.limits.LogInterval {
		if l.logged > maxLogLines {
			l.log.WithField(logging.Count, l.logged-maxLogLines).Warn(logLinesLeftOut)
		}
		l.logFrom, l.logged = l.now, 0
	}
	l.logged++
	return l.logged <= maxLogLines
}

// logf writes a line that may come often.
func (l *loop) logf(format string, args ...any) {
	if l.mayLog() {
		l.log.Infof(format, args...)
	}
}

// trace writes what happens to one request, when asked to by the log's level.
func (l *loop) trace(r *request, what string, args ...any) {
	if l.debug {
		l.log.WithField("req", r.id).Debugf(what, args...)
	}
}

// traceReason writes why a request gets no result.
func (l *loop) traceReason(r *request, what string, why admission.Reason) {
	if l.debug {
		l.log.WithField("req", r.id).WithField(logging.Reason, why.String()).Debug(what)
	}
}
