package server

import (
	"github.com/cloudwego/netpoll"

	"umberwinch/internal/node/wire"
)

// event is the interface of the event types in this file, which callbacks and other goroutines post to the loop. Events
// for messages lie in the message's buffer, so that posting one allocates nothing.
type event interface{ isEvent() }

// clientMessage is an event for client input: a request, or input that is not one. The events of one connection are
// handled in order.
type clientMessage interface {
	event
	sender() *peer
	// release returns the message's buffer to the pool, if it has one.
	release(pool *bufferPool)
}

// Events of client connections.
type (
	// connectionOpened: a connection was accepted.
	connectionOpened struct{ peer *peer }
	// connectionClosed: a connection ended, for any reason.
	connectionClosed struct{ peer *peer }
	// discardLimitExceeded: a client sent more than DiscardBytes after the seal.
	discardLimitExceeded struct{ peer *peer }
	// requestRead: a complete request was read.
	requestRead struct {
		peer    *peer
		buffer  *buffer // holds the request's slices
		request wire.Request
	}
	// requestUnreadable: the input is not a request, or no buffer was free for it. Nothing more is read on the
	// connection.
	requestUnreadable struct {
		peer *peer
		err  error
	}
	// listenerClosed: the listener accepts no more connections; connectionOpened was posted for each accepted one.
	listenerClosed struct{}
)

// Events of outgoing connections. Each belongs to the dial that opened the connection.
type (
	// linkDialed: a dial ended with a connection or an error.
	linkDialed struct {
		dialed *dialAttempt
		conn   netpoll.Connection
		err    error
	}
	// linkClosed: a connection ended, or its input can't be parsed.
	linkClosed struct {
		dialed *dialAttempt
		err    error
	}
	// kernelEventRead: an event of the kernel was read.
	kernelEventRead struct {
		dialed *dialAttempt
		buffer *buffer // holds the event's slices
		event  wire.KernelEvent
	}
	// callReplyRead: a reply of the store was read.
	callReplyRead struct {
		dialed *dialAttempt
		buffer *buffer // holds the reply's slices
		reply  wire.CallReply
	}
	// reportAnswerRead: service discovery responded to a report.
	reportAnswerRead struct {
		dialed *dialAttempt
		buffer *buffer
		head   wire.ResponseHead
	}
)

// Events of signals.
type (
	// drainRequested: SIGTERM, the node has to drain.
	drainRequested struct{}
	// countersRequested: SIGUSR1, the counters have to be logged.
	countersRequested struct{}
	// startupFileReloaded: the start-up file was read again, or could not be.
	startupFileReloaded struct {
		node *StartupFile
		err  error
	}
)

// callback runs a function on the loop, once the fleet agent or the result keeper has finished work on its network or
// disk: see fleetHost and resultHost.
type callback struct{ then func() }

func (connectionOpened) isEvent()     {}
func (connectionClosed) isEvent()     {}
func (discardLimitExceeded) isEvent() {}
func (*requestRead) isEvent()         {}
func (*requestUnreadable) isEvent()   {}
func (listenerClosed) isEvent()       {}
func (*linkDialed) isEvent()          {}
func (*linkClosed) isEvent()          {}
func (*kernelEventRead) isEvent()     {}
func (*callReplyRead) isEvent()       {}
func (*reportAnswerRead) isEvent()    {}
func (drainRequested) isEvent()       {}
func (countersRequested) isEvent()    {}
func (*startupFileReloaded) isEvent() {}
func (callback) isEvent()             {}

func (e *requestRead) sender() *peer       { return e.peer }
func (e *requestUnreadable) sender() *peer { return e.peer }

func (e *requestRead) release(pool *bufferPool)  { pool.put(e.buffer) }
func (e *requestUnreadable) release(*bufferPool) {}

// handle handles one event.
func (l *loop) handle(e event) {
	switch e := e.(type) {
	case connectionOpened:
		l.connectionOpened(e.peer)
	case connectionClosed:
		l.connectionClosed(e.peer)
	case discardLimitExceeded:
		l.discardLimitExceeded(e.peer)
	case *requestRead:
		l.lastRequest = l.now
		l.messageReceived(e)
	case *requestUnreadable:
		l.messageReceived(e)
	case listenerClosed:
		l.accepting = false
	case *linkDialed:
		l.linkDialed(e)
	case *linkClosed:
		l.linkClosed(e)
	case *kernelEventRead:
		if l.isCurrent(e.dialed) {
			l.kernelEvent(&e.event)
		}
		l.pool.put(e.buffer)
	case *callReplyRead:
		if l.isCurrent(e.dialed) {
			l.callReplied(e.dialed.storeConn, e.reply)
		}
		l.pool.put(e.buffer)
	case *reportAnswerRead:
		if l.isCurrent(e.dialed) {
			l.reportAnswered(e.head)
		}
		l.pool.put(e.buffer)
	case drainRequested:
		l.startDrain()
	case countersRequested:
		l.log.WithFields(l.counterFields()).Info(logCounters)
		l.logPools()
	case *startupFileReloaded:
		l.reload(e.node, e.err)
	case callback:
		e.then()
	}
}
