package server

import (
	"errors"
	"strings"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// The HTTP front end: it owns the order of what a connection brings, of which one message is served at a time, and
// answers health checks and what is no request. Each request read gets exactly one response, and no response goes out
// before those to what came earlier on its connection.

// Reasons of bad requests that stand in no field of one; the others are rejections.
const (
	reasonIncomplete = "a message was not complete in time"
	reasonUnparsable = "can't be parsed as a request"
	reasonNotServed  = "unknown method or path"
)

// messageReceived takes a message of a connection, or that what came is none. It waits while another is served.
func (l *loop) messageReceived(m clientMessage) {
	c := l.connections.get(m.sender().handle)
	if c == nil || c.closing {
		m.release(&l.pool)
		return
	}
	c.lastActive = l.now
	if c.current != 0 || len(c.pending) > 0 {
		c.pending = append(c.pending, m)
		return
	}
	l.serveMessage(c, m)
}

// serveMessage starts on the next message of a connection.
func (l *loop) serveMessage(c *connection, m clientMessage) {
	p := m.sender()
	p.pipelined.Add(-1)
	switch m := m.(type) {
	case *requestUnreadable:
		l.sendResponse(c, l.unreadableResponse(m.err))
	case *requestRead:
		l.serveRequest(c, m)
	}
}

// Paths that are served.
const (
	healthPath    = "/health"
	handlerPrefix = "/rpc/"
)

// serveRequest answers a health check or what is no request, and has the controller hear of any other.
func (l *loop) serveRequest(c *connection, m *requestRead) {
	a := wire.Response{Close: m.request.Close}
	switch method, path := string(m.request.Method), string(m.request.Path); {
	case path == healthPath && method == methodGet:
		l.checkHealth(c, &a)
	case len(path) > len(handlerPrefix) && strings.HasPrefix(path, handlerPrefix) && method == methodPost:
		if a.Status = l.receiveRequest(c, m, path[len(handlerPrefix):], &a); a.Status != wire.StatusBadRequest {
			c.usage = usageRequests
		}
		if a.Status == 0 {
			return
		}
		l.addRetryAfter(&a)
	default:
		a.Status = wire.StatusBadRequest
		if log := l.countBadRequest(); log != nil {
			log.WithFields(logrus.Fields{logging.Reason: reasonNotServed, logging.Method: method, logging.Path: path}).
				Info(logBadRequest)
		}
	}
	a.Close = a.Close || a.Status == wire.StatusBadRequest
	m.release(&l.pool)
	l.sendResponse(c, a)
}

// checkHealth answers a health check.
func (l *loop) checkHealth(c *connection, a *wire.Response) {
	l.counters.HealthChecks++
	c.usage = max(c.usage, usageHealthChecks)
	if a.Status = wire.StatusOK; !l.ready {
		a.Status = wire.StatusServiceUnavailable
	}
	a.Body = l.results.healthBody()
}

// unreadableResponse answers what could not be read. A lack of buffers is no fault of the client.
func (l *loop) unreadableResponse(err error) wire.Response {
	if errors.Is(err, errNoBuffer) {
		l.counters.Rejected++
		a := wire.Response{Status: wire.StatusServiceUnavailable, Close: true}
		l.addRetryAfter(&a)
		return a
	}
	if log := l.countBadRequest(); log != nil {
		log.WithFields(logrus.Fields{logging.Reason: reasonUnparsable, logging.Error: err}).Info(logBadRequest)
	}
	return wire.Response{Status: wire.StatusBadRequest, Close: true}
}

// addRetryAfter gives a rejection that the controller was not asked about a time to retry after, where the settings
// allow one.
func (l *loop) addRetryAfter(a *wire.Response) {
	if a.Status == wire.StatusServiceUnavailable && a.RetryAfterMS == 0 {
		a.RetryAfterMS = l.retryAfter(&l.retryTimes, 0)
	}
}

// sendResponse sends a response and goes on to what else the connection has brought. What was read before a connection
// is to be closed is still answered on it: only the last response says that it closes.
func (l *loop) sendResponse(c *connection, a wire.Response) {
	c.current, c.lastActive = 0, l.now
	c.ending = c.ending || a.Close || l.draining
	a.Close = c.ending && !c.hasUnanswered() && c.peer.seal(false)
	a.OverloadSignal, a.HasOverloadSignal = l.overloadSignal, l.hasOverloadSignal
	l.scratch = wire.AppendResponse(l.scratch[:0], a)
	if !c.peer.send(l.scratch, l.limits.ConnectionQueue) {
		l.abort(c) // its client takes nothing
		return
	}
	if a.Close {
		l.finish(c)
		return
	}
	if len(c.pending) > 0 {
		next := c.pending[0]
		c.pending = append(c.pending[:0], c.pending[1:]...)
		l.serveMessage(c, next)
	}
}
