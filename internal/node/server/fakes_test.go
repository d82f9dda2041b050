package server

// Fake peers of the node: kernel, store and service discovery, scripted by tests.

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// fakeServer is a fake peer that the node connects to.
type fakeServer struct {
	*lineRecorder
	t             testing.TB
	ln            net.Listener
	addr          string
	mu            sync.Mutex
	newest        net.Conn // the newest connection
	conns         []net.Conn
	connByRequest map[string]net.Conn // store: connection of the last call by request id; id' is the one before
	serveConn     func(net.Conn, *bufio.Reader)
	unresponsive  bool // requests are recorded but not answered
}

func newFakeServer(t testing.TB, serveConn func(net.Conn, *bufio.Reader)) *fakeServer {
	s := &fakeServer{lineRecorder: newLineRecorder(), t: t, serveConn: serveConn, connByRequest: map[string]net.Conn{}}
	return s
}

// start listens; state used by serveConn has to be set before.
func (s *fakeServer) start() {
	s.listen("127.0.0.1:0")
	s.t.Cleanup(s.stop)
}

func (s *fakeServer) listen(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.ln, s.addr = ln, ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.newest, s.conns = c, append(s.conns, c)
			s.mu.Unlock()
			go s.serveConn(c, bufio.NewReader(c))
		}
	}()
}

func (s *fakeServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// move listens at another address; open connections stay open.
func (s *fakeServer) move() {
	s.ln.Close()
	s.listen("127.0.0.1:0")
}

func (s *fakeServer) stop() {
	s.ln.Close()
	s.closeConns()
}

// writeTo writes to the connection of a request's last call; empty text resets it.
func (s *fakeServer) writeTo(id, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connByRequest[id]
	if c == nil {
		s.t.Fatalf("no call received for request %s", id)
	}
	if text == "" {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	io.WriteString(c, text)
}

func (s *fakeServer) write(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest != nil {
		s.newest.Write(b)
	}
}

// fakeKernel is the fake kernel. It sends events only as the test asks, keeps them for replay on new links, and answers
// OPEN and SYSINFO by itself.
type fakeKernel struct {
	*fakeServer
	events                   [][]byte
	coresWanted, connections string     // values of the gauges
	bootDelayed              bool       // BOOTED is delayed until the test sends it
	withholdEvents           bool       // events are kept but not sent, as if the link broke first
	confirmsStops            bool       // each PREEMPT is confirmed at once; its connection is stuckConn then
	stuckConn                net.Conn   // no SYSINFO on it is answered
	crossing                 [][]string // events sent behind the first gauges of the next link: verb, id, outcome, text
	crossingArmed            bool       // that link is open
}

func newFakeKernel(t testing.TB) *fakeKernel {
	k := &fakeKernel{coresWanted: "1", connections: "3"}
	k.fakeServer = newFakeServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadBytes('\n')
			if err != nil {
				return
			}
			var m struct {
				Verb, Task, Handler, Nonce string
				Bytes                      []byte
				Index                      int
			}
			if err := json.Unmarshal(line, &m); err != nil {
				t.Errorf("kernel: invalid command %q: %v", line, err)
				c.Close()
				return
			}
			switch m.Verb {
			case "OPEN":
				k.add(fmt.Sprintf("OPEN %d", m.Index))
				k.mu.Lock()
				if !k.bootDelayed {
					fmt.Fprintf(c, "{\"verb\":\"BOOTED\",\"outcome\":\"WARM\",\"spent\":1000}\n")
					for _, n := range k.events[min(m.Index, len(k.events)):] {
						c.Write(n)
					}
				}
				k.crossingArmed = len(k.crossing) > 0
				k.mu.Unlock()
			case "SYSINFO":
				k.mu.Lock()
				if !k.unresponsive && c != k.stuckConn {
					fmt.Fprintf(c, "{\"verb\":\"INFO\",\"nonce\":%q,\"readings\":[0.5,%s,0.1,%s]}\n",
						m.Nonce, k.coresWanted, k.connections)
					k.sendCrossing()
				}
				k.mu.Unlock()
				k.add("SYSINFO")
			default:
				line := m.Verb + " " + testID(m.Task)
				if m.Handler != "" {
					line += " " + m.Handler
				}
				if m.Index > 0 {
					line += fmt.Sprint(" ", m.Index)
				}
				if len(m.Bytes) > 0 {
					line += " " + string(m.Bytes)
				}
				if m.Verb == "PREEMPT" {
					k.confirmStop(c, testID(m.Task))
				}
				k.add(line)
			}
		}
	})
	k.start()
	return k
}

// confirmStop sends the event that confirms a stop, if the kernel confirms stops. It then answers no SYSINFO on that
// connection, so that the node's next commands on it stay unacknowledged.
func (k *fakeKernel) confirmStop(c net.Conn, task string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.confirmsStops {
		k.sendEventLocked("REAP", task, "STOPPED", "")
		k.stuckConn = c
	}
}

// sendCrossing sends the events that cross the end of a replay: the node's commands after it are not read yet.
func (k *fakeKernel) sendCrossing() {
	if !k.crossingArmed {
		return
	}
	for _, e := range k.crossing {
		k.sendEventLocked(e[0], e[1], e[2], e[3])
	}
	k.crossing, k.crossingArmed = nil, false
}

// sendEvent numbers, keeps and sends a kernel event.
func (k *fakeKernel) sendEvent(verb, task, outcome, body string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sendEventLocked(verb, task, outcome, body)
}

func (k *fakeKernel) sendEventLocked(verb, task, outcome, body string) {
	n := fmt.Sprintf("{\"verb\":%q,\"index\":%d,\"task\":%q,\"outcome\":%q,\"spent\":12.5,\"bytes\":%q}\n", verb,
		len(k.events)+1, wireID(task), outcome, base64.StdEncoding.EncodeToString([]byte(body)))
	k.events = append(k.events, []byte(n))
	if k.newest != nil && !k.withholdEvents {
		k.newest.Write([]byte(n))
	}
}

// newFakeStore returns a fake store.
func newFakeStore(t testing.TB) *fakeServer {
	var s *fakeServer
	s = newFakeServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			w := strings.Fields(line)
			switch {
			case len(w) == 4 && w[0] == "CALL":
				body, err := readCallBody(w, r)
				if err != nil {
					t.Errorf("store: invalid call %q with body %q: %v", line, body, err)
				}
				s.mu.Lock()
				s.connByRequest[testID(w[1])+"'"] = s.connByRequest[testID(w[1])]
				s.connByRequest[testID(w[1])] = c
				s.mu.Unlock()
				s.add("CALL " + testID(w[1]) + " " + string(body))
			case len(w) == 2 && w[0] == "DROP":
				s.add("DROP " + testID(w[1]))
			default:
				t.Errorf("store: unknown command %q", line)
			}
		}
	})
	s.start()
	return s
}

// readCallBody reads the body of a call to the store; words are those of the call's line.
func readCallBody(words []string, r *bufio.Reader) ([]byte, error) {
	wait, err := strconv.Atoi(words[2])
	if err != nil {
		return nil, err
	}
	size, err := strconv.Atoi(words[3])
	if err != nil {
		return nil, err
	}
	body := make([]byte, size+len("\r\n"))
	if _, err = io.ReadFull(r, body); err == nil && (wait < 1 || !bytes.HasSuffix(body, []byte("\r\n"))) {
		err = errors.New("found no time to wait, or no line end after the body")
	}
	return body[:size], err
}

// newFakeDiscovery returns a fake service discovery.
func newFakeDiscovery(t testing.TB) *fakeServer {
	var s *fakeServer
	s = newFakeServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			var m struct{ Condition string }
			if err := json.NewDecoder(q.Body).Decode(&m); err != nil || q.Method != "PUT" {
				t.Errorf("service discovery: invalid report by %s: %v", q.Method, err)
			}
			s.mu.Lock()
			if !s.unresponsive {
				io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			}
			s.mu.Unlock()
			s.add(q.URL.Path + " " + m.Condition)
		}
	})
	s.start()
	return s
}
