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
	// controlBufferBytes is what the buffer of a response begins with; it doubles as the response grows.
	controlBufferBytes = 4 << 10
	// controlHeadBytes and controlBodyBytes bound a response: a policy document of 1 MiB as JSON escapes it at worst.
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

// controlResponse is what came of a controlRequest.
type controlResponse struct {
	status int
	body   []byte
	err    error // no response that can be read
}

// controlClient sends one request after the other over a connection that it keeps open and owns: it is closed after an
// error, for another address, or with the process. Its goroutine goes on as long as the process. It never looks at
// what a response says.
type controlClient struct {
	requests   chan *controlRequest
	connection net.Conn
	address    string
}

// newControlClient starts a client. One request may wait beside the one that is in flight.
func newControlClient() *controlClient {
	c := &controlClient{requests: make(chan *controlRequest, 1)}
	go func() {
		for r := range c.requests {
			r.done(c.do(r))
		}
	}()
	return c
}

// close ends the connection. An error of that means nothing: all that counts was answered.
func (c *controlClient) close() {
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// do sends one request and closes the connection after an error. Guards against a kept connection that the other side
// closed meanwhile, which would count as a heartbeat lost: it is opened anew, once, as all requests are safe to be sent
// twice. See row "read, write to the control service: any" in docs/design/failures.md.
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

// attempt sends a request once, over the open connection or a new one.
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

// readResponse reads one response, and closes the connection where the other side does or sends more than that.
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
