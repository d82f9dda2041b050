package server

import (
	"github.com/cloudwego/netpoll"

	"umberwinch/internal/node/wire"
)

// event is one thing that a callback or another goroutine hands over to the loop: one of the types of this file.
// Those that come with each message lie in the buffer of their message, so that handing one over allocates nothing.
type event interface{ isEvent() }

// clientMessage is an event about what a client sent: a request, or what is none. Those of one connection wait in
// order.
type clientMessage interface {
	event
	sender() *peer
	// release gives back the buffer that the message lies in, if it has one.
	release(pool *bufferPool)
}

// Events of clients' connections.
type (
	// connectionOpened says that a connection was accepted.
	connectionOpened struct{ peer *peer }
	// connectionClosed says that a connection ended, whoever ended it.
	connectionClosed struct{ peer *peer }
	// discardLimitExceeded says that more comes on a sealed connection than is passed over.
	discardLimitExceeded struct{ peer *peer }
	// requestRead is a complete request.
	requestRead struct {
		peer    *peer
		buffer  *buffer // in which the request's slices lie
		request wire.Request
	}
	// requestUnreadable says that what came is no request, or could not be taken in. Nothing more is read on the
	// connection.
	requestUnreadable struct {
		peer *peer
		err  error
	}
	// listenerClosed says that nothing more is accepted; each connection accepted before came with connectionOpened.
	listenerClosed struct{}
)

// Events of the connections that the server opens itself. Each belongs to the dial that brought it.
type (
	// linkDialed says what came of a dial: a connection, or an error.
	linkDialed struct {
		dialed *dialed
		conn   netpoll.Connection
		err    error
	}
	// linkClosed says that a connection ended, or that what came on it can't be read.
	linkClosed struct {
		dialed *dialed
		err    error
	}
	// kernelEventRead is an event of the kernel.
	kernelEventRead struct {
		dialed *dialed
		buffer *buffer // in which the event's slices lie
		event  wire.KernelEvent
	}
	// callReplyRead is a reply of the store.
	callReplyRead struct {
		dialed *dialed
		buffer *buffer // in which the reply's slices lie
		reply  wire.CallReply
	}
	// reportAnswerRead is service discovery's answer to a report.
	reportAnswerRead struct {
		dialed *dialed
		buffer *buffer
		head   wire.ResponseHead
	}
)

// Events of signals.
type (
	// drainRequested is the notice to leave.
	drainRequested struct{}
	// countersRequested asks for the counters to be logged.
	countersRequested struct{}
	// startupFileReloaded is the start-up file read anew, or why it can't be.
	startupFileReloaded struct {
		node *Node
		err  error
	}
)

// callback is what the loop is to do now that the fleet agent or the result keeper is done with its network or disk:
// see fleetHost and resultHost.
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

// handle takes one event.
func (l *loop) handle(e event) {
	switch e := e.(type) {
	case connectionOpened:
		l.connectionOpened(e.peer)
	case connectionClosed:
		l.connectionClosed(e.peer)
	case discardLimitExceeded:
		l.connectionFlooded(e.peer)
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
