package server

import (
	"errors"
	"strings"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// The HTTP front end serves the messages of each connection one at a time and in order, and answers health checks and
// invalid requests itself. Each request read gets exactly one response, sent after the responses to the earlier
// requests on its connection. It runs on the loop.

// Logged reasons of bad requests other than rejections.
const (
	reasonIncomplete = "message not complete in time"
	reasonUnparsable = "malformed request"
	reasonNotServed  = "unknown method or path"
)

// messageReceived serves a message of a connection, or queues it while an earlier one is in progress.
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

// serveMessage serves the next message of a connection.
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

// The served paths.
const (
	healthPath    = "/health"
	handlerPrefix = "/rpc/"
)

// serveRequest answers health checks and invalid requests, and passes other requests on to the controller.
func (l *loop) serveRequest(c *connection, m *requestRead) {
	response := wire.Response{Close: m.request.Close}
	switch method, path := string(m.request.Method), string(m.request.Path); {
	case path == healthPath && method == methodGet:
		l.checkHealth(c, &response)
	case len(path) > len(handlerPrefix) && strings.HasPrefix(path, handlerPrefix) && method == methodPost:
		response.Status = l.receiveRequest(c, m, path[len(handlerPrefix):], &response)
		if response.Status != wire.StatusBadRequest {
			c.usage = usageRequests
		}
		if response.Status == 0 {
			return
		}
		l.addRetryAfter(&response)
	default:
		response.Status = wire.StatusBadRequest
		if log := l.countBadRequest(); log != nil {
			log.WithFields(logrus.Fields{logging.Reason: reasonNotServed, logging.Method: method, logging.Path: path}).
				Info(logBadRequest)
		}
	}
	response.Close = response.Close || response.Status == wire.StatusBadRequest
	m.release(&l.pool)
	l.sendResponse(c, response)
}

// checkHealth answers a health check.
func (l *loop) checkHealth(c *connection, response *wire.Response) {
	l.counters.HealthChecks++
	c.usage = max(c.usage, usageHealthChecks)
	if response.Status = wire.StatusOK; !l.ready {
		response.Status = wire.StatusServiceUnavailable
	}
	response.Body = l.results.healthBody()
}

// unreadableResponse returns the response to input that could not be read. A lack of buffers is answered 503, as it is
// not the client's fault.
func (l *loop) unreadableResponse(err error) wire.Response {
	if errors.Is(err, errNoBuffer) {
		l.counters.Rejected++
		response := wire.Response{Status: wire.StatusServiceUnavailable, Close: true}
		l.addRetryAfter(&response)
		return response
	}
	if log := l.countBadRequest(); log != nil {
		log.WithFields(logrus.Fields{logging.Reason: reasonUnparsable, logging.Error: err}).Info(logBadRequest)
	}
	return wire.Response{Status: wire.StatusBadRequest, Close: true}
}

// addRetryAfter sets the Retry-After of a rejection that the controller did not decide on, if the settings allow one.
func (l *loop) addRetryAfter(response *wire.Response) {
	if response.Status == wire.StatusServiceUnavailable && response.RetryAfterMS == 0 {
		response.RetryAfterMS = l.retryAfter(&l.retryTimes, 0)
	}
}

// sendResponse sends a response and continues with the connection's pending messages. Requests read before a connection
// ends still get their responses; only the last response announces the close.
func (l *loop) sendResponse(c *connection, response wire.Response) {
	c.current, c.lastActive = 0, l.now
	c.ending = c.ending || response.Close || l.draining
	response.Close = c.ending && !c.hasUnanswered() && c.peer.seal(false)
	response.OverloadSignal, response.HasOverloadSignal = l.overloadSignal, l.hasOverloadSignal
	l.scratch = wire.AppendResponse(l.scratch[:0], response)
	if !c.peer.send(l.scratch, l.limits.ConnectionQueue) {
		l.abort(c) // its client reads nothing
		return
	}
	if response.Close {
		l.finish(c)
		return
	}
	if len(c.pending) > 0 {
		next := c.pending[0]
		c.pending = append(c.pending[:0], c.pending[1:]...)
		l.serveMessage(c, next)
	}
}
