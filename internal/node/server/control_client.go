package server

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"umberwinch/internal/node/wire"
)

const (
	// controlBufferBytes is the initial size of the response buffer, which doubles as needed.
	controlBufferBytes = 4 << 10
	// controlHeadBytes and controlBodyBytes bound a response. The body bound fits a policy document of 1 MiB with the
	// longest JSON escapes.
	controlHeadBytes = 4 << 10
	controlBodyBytes = 7 << 20
)

// Methods of HTTP requests.
const (
	methodGet  = "GET"
	methodPost = "POST"
)

var controlBounds = wire.Bounds{HeadBytes: controlHeadBytes, BodyBytes: controlBodyBytes}

// controlRequest is one HTTP request to an instance of the control service, or to another node.
type controlRequest struct {
	address string
	method  string
	path    string
	body    []byte
	timeout time.Duration
	done    func(controlResponse) // called once, on the client's goroutine
}

// controlResponse is the outcome of a controlRequest: a status and body, or an error.
type controlResponse struct {
	status int
	body   []byte
	err    error // no readable response
}

// controlClient sends requests one at a time over a keep-alive connection that it owns. The connection is closed after
// an error, for a request to another address, or with the process. The client's goroutine runs until the process ends;
// only that goroutine, or the caller of do on a client without one, touches the fields.
type controlClient struct {
	requests   chan *controlRequest
	connection net.Conn
	address    string
}

// newControlClient starts a client. One request may be queued while another is in flight.
func newControlClient() *controlClient {
	c := &controlClient{requests: make(chan *controlRequest, 1)}
	go func() {
		for r := range c.requests {
			r.done(c.do(r))
		}
	}()
	return c
}

// close closes the connection. A close error is ignored, as no response is outstanding.
func (c *controlClient) close() {
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// do sends one request and closes the connection after an error. Guards against a keep-alive connection that the peer
// closed meanwhile, which would count as a lost heartbeat: the request is retried once on a new connection, as all
// requests are safe to repeat. See row "read, write to the control service: any" in docs/design/failures.md.
func (c *controlClient) do(r *controlRequest) controlResponse {
	deadline := time.Now().Add(r.timeout)
	if c.address != r.address {
		c.close()
	}
	wasOpen := c.connection != nil
	response := c.attempt(r, deadline)
	if response.err != nil && wasOpen && !errors.Is(response.err, os.ErrDeadlineExceeded) {
		c.close()
		response = c.attempt(r, deadline)
	}
	if response.err != nil {
		c.close()
	}
	return response
}

// attempt sends a request once, dialing if no connection is open.
func (c *controlClient) attempt(r *controlRequest, deadline time.Time) controlResponse {
	if c.connection == nil {
		connection, err := net.DialTimeout("tcp", r.address, time.Until(deadline))
		if err != nil {
			return controlResponse{err: err}
		}
		c.connection, c.address = connection, r.address
	}
	if err := c.connection.SetDeadline(deadline); err != nil {
		return controlResponse{err: err}
	}
	head := r.method + " " + r.path + " HTTP/1.1\r\nHost: " + r.address + "\r\nContent-Type: application/json\r\n" +
		"Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n\r\n"
	if _, err := c.connection.Write(append([]byte(head), r.body...)); err != nil {
		return controlResponse{err: err}
	}
	return c.readResponse()
}

// readResponse reads one response. It closes the connection if the peer asks for that or sends more than the response.
func (c *controlClient) readResponse() controlResponse {
	buffer := make([]byte, 0, controlBufferBytes)
	for {
		parsed, n, err := wire.ParseResponseHead(buffer, controlBounds)
		if err != nil {
			return controlResponse{err: err}
		}
		if n > 0 {
			const headEnd = "\r\n\r\n"
			body := buffer[bytes.Index(buffer, []byte(headEnd))+len(headEnd) : n]
			if parsed.Close || n < len(buffer) {
				c.close()
			}
			return controlResponse{status: parsed.Status, body: body}
		}
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= controlHeadBytes+controlBodyBytes {
				return controlResponse{err: errTooLong}
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		read, err := c.connection.Read(buffer[len(buffer):cap(buffer)])
		if buffer = buffer[:len(buffer)+read]; err != nil && read == 0 {
			return controlResponse{err: err}
		}
	}
}
