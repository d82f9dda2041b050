// Agent: the connections to the control service's instances. It owns sockets and the folder of what the node keeps of
// its policy, each used by a goroutine that may wait; what comes of it goes to the loop as an event, once for each job.
// It must never look at what an answer says, nor be waited for.

package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"umberwinch/internal/node/wire"
)

// Bounds of an answer of the control service: a policy's text of 1 MiB as JSON escapes it at worst.
var agentBounds = wire.Bounds{HeadBytes: 4 << 10, BodyBytes: 7 << 20}

// job is one asking. what names it for the loop.
type job struct {
	what   fleetJob
	addr   string
	method string
	path   string
	body   []byte
	within time.Duration
	about  any
}

// jobEnd is what came of it.
type jobEnd struct {
	*job
	status int
	answer []byte
	err    error
}

// agent does one job after the other over a connection that it keeps.
type controlClient struct {
	jobs chan *job
	end  func(jobEnd)
	conn net.Conn
	addr string
}

func newAgent(end func(jobEnd)) *controlClient {
	a := &controlClient{jobs: make(chan *job, 1), end: end}
	go func() {
		for j := range a.jobs {
			e := jobEnd{job: j}
			if e.status, e.answer, e.err = a.do(j); e.err != nil {
				a.close()
			}
			a.end(e)
		}
		a.close()
	}()
	return a
}

func (a *controlClient) close() {
	if a.conn != nil {
		a.conn.Close()
		a.conn = nil
	}
}

// do makes one call. A kept connection that the other side has closed meanwhile is opened anew, once: the askings are
// such that it does no harm to send one twice.
func (a *controlClient) do(j *job) (status int, answer []byte, err error) {
	until := time.Now().Add(j.within)
	if a.addr != j.addr {
		a.close()
	}
	for again := a.conn != nil; ; again = false {
		if a.conn == nil {
			if a.conn, err = net.DialTimeout("tcp", j.addr, time.Until(until)); err != nil {
				return 0, nil, err
			}
			a.addr = j.addr
		}
		a.conn.SetDeadline(until)
		status, answer, err = a.call(j)
		if err == nil || !again || errors.Is(err, os.ErrDeadlineExceeded) {
			return status, answer, err
		}
		a.close()
	}
}

func (a *controlClient) call(j *job) (int, []byte, error) {
	head := j.method + " " + j.path + " HTTP/1.1\r\nHost: " + j.addr + "\r\nContent-Type: application/json\r\n" +
		"Content-Length: " + strconv.Itoa(len(j.body)) + "\r\n\r\n"
	if _, err := a.conn.Write(append([]byte(head), j.body...)); err != nil {
		return 0, nil, err
	}
	buf := make([]byte, 0, 4<<10)
	for {
		p, n, err := wire.ParseResponseHead(buf, agentBounds)
		if err != nil {
			return 0, nil, err
		}
		if n > 0 {
			at := bytes.Index(buf, []byte("\r\n\r\n")) + 4
			answer := buf[at:n]
			if p.Close || n < len(buf) {
				a.close()
			}
			return p.Status, answer, nil
		}
		if len(buf) == cap(buf) {
			if cap(buf) >= agentBounds.HeadBytes+agentBounds.BodyBytes {
				return 0, nil, errTooLong
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		k, err := a.conn.Read(buf[len(buf):cap(buf)])
		if buf = buf[:len(buf)+k]; err != nil && k == 0 {
			return 0, nil, err
		}
	}
}

// recordFile is what a node with a folder keeps of its policy.
const recordFile = "policy.json"

// keepRecord writes beside and renames, so that after a crash the older or the newer one is there whole.
func keepRecord(folder string, r any) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(folder, recordFile+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), filepath.Join(folder, recordFile)); err != nil {
		return err
	}
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// removeUnfinished removes what a kill left of records that were being written. Guards against a folder that fills with
// them, one for each such kill.
func removeUnfinished(folder string) error {
	unfinished, err := filepath.Glob(filepath.Join(folder, recordFile+".*"))
	for _, file := range unfinished {
		err = errors.Join(err, os.Remove(file))
	}
	return err
}

// readRecord reads what keepRecord wrote; a folder without one is a new node's.
func readRecord(folder string, r any) (bool, error) {
	raw, err := os.ReadFile(filepath.Join(folder, recordFile))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err = json.Unmarshal(raw, r); err != nil {
		return false, fmt.Errorf("%s: %w, expected what this program wrote; remove it to begin without", filepath.Join(folder,
			recordFile), err)
	}
	return true, nil
}
