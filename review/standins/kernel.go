package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kernel is a stand-in for the kernel of PROTOCOL.md: it accepts the node's link, runs requests, numbers its notices
// from 1, keeps the latest 4,000, and replays those after the number in OPEN. It outlives a link.
//
// A body says what its run does, as words: "work=30" is 30 ms on a core, "call=N" a call with the body "ID/N". Each run
// has a core for itself; how many run is up to the node. A request is over once its sidecar has the answer or has gone.
type Kernel struct {
	mu       sync.Mutex
	rec      *Record
	name     string
	ln       net.Listener
	conn     net.Conn // the newest link
	opened   bool     // OPEN was read on it: notices are sent
	link     int
	notices  [][]byte
	first    int // number of notices[0]
	tasks    map[string]*task
	requests *Requests
	started  time.Time

	// OnRun, if set, is called as a run starts.
	OnRun func(id string)
	// WrongReplies counts the runs that got the reply to another call than the one that they waited for.
	WrongReplies int
}

// keptNotices is how many notices the protocol page has the kernel keep.
const keptNotices = 4000

type task struct {
	id      string
	steps   []step
	at      int // index of the current step
	timer   *time.Timer
	endsAt  time.Time
	left    time.Duration // of a paused step
	paused  bool
	waiting int // number of the notice that asked for the call it waits for; 0: none
	started time.Time
	done    bool
	runs    int
}

type step struct {
	work time.Duration
	call string // not empty: a call with this name
}

// NewKernel starts a kernel on a free port.
func NewKernel(name string, rec *Record, requests *Requests) (*Kernel, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Kernel{rec: rec, name: name, ln: ln, first: 1, tasks: map[string]*task{}, requests: requests,
		started: time.Now().Add(-time.Minute)}
	go k.accept()
	return k, nil
}

// Addr is where the kernel listens.
func (k *Kernel) Addr() string { return k.ln.Addr().String() }

func (k *Kernel) accept() {
	for {
		c, err := k.ln.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		if k.conn != nil {
			k.conn.Close() // each new link replaces the previous one
		}
		k.conn, k.opened = c, false
		k.link++
		k.mu.Unlock()
		go k.serve(c)
	}
}

// BreakLink breaks the link. Runs continue.
func (k *Kernel) BreakLink() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		k.rec.Addf("%s link %d breaks", k.name, k.link)
		k.conn.Close()
		k.conn = nil
	}
}

// NodeStarts says that a new process of the node starts: numbering begins at 1 again, and runs go on.
func (k *Kernel) NodeStarts() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notices, k.first = nil, 1
}

type kernelCommand struct {
	Verb, Task, Handler, Nonce string
	Bytes                      string
	Index                      int
}

func (k *Kernel) serve(c net.Conn) {
	in := bufio.NewReaderSize(c, 32<<10)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		var cmd kernelCommand
		if json.Unmarshal(line, &cmd) != nil {
			c.Close()
			return
		}
		k.mu.Lock()
		if k.conn != c { // replaced or broken: what was not read by now is lost with the link
			k.mu.Unlock()
			return
		}
		k.execute(c, &cmd)
		k.mu.Unlock()
	}
}

func (k *Kernel) write(c net.Conn, line string) {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write([]byte(line))
}

func (k *Kernel) execute(c net.Conn, cmd *kernelCommand) {
	switch cmd.Verb {
	case "OPEN":
		k.write(c, fmt.Sprintf("{\"verb\":\"BOOTED\",\"outcome\":\"WARM\",\"spent\":%d}\n",
			time.Since(k.started).Milliseconds()))
		for i := max(cmd.Index+1-k.first, 0); i < len(k.notices); i++ {
			k.write(c, string(k.notices[i]))
		}
		k.opened = true
		k.rec.Addf("%s link %d OPEN %d, %d notices follow", k.name, k.link, cmd.Index,
			len(k.notices)-max(cmd.Index+1-k.first, 0))
	case "SYSINFO":
		n := 0
		for _, t := range k.tasks {
			if !t.done && !t.paused && t.waiting == 0 {
				n++
			}
		}
		// The gauge counts runs, reading, checks and new connections; the latter three want one and a half cores here.
		k.write(c, fmt.Sprintf("{\"verb\":\"INFO\",\"nonce\":%q,\"readings\":[0.9,%.1f,0.1,20]}\n", cmd.Nonce,
			float64(n)+1.5))
	case "SCHED":
		k.sched(c, cmd)
	case "PREEMPT":
		if t := k.tasks[cmd.Task]; t != nil && !t.done && !t.paused && t.waiting == 0 {
			t.timer.Stop()
			t.paused, t.left = true, time.Until(t.endsAt)
			k.rec.Addf("%s PREEMPT %s", k.name, t.id)
			k.notice("REAP", t, "STOPPED", nil)
		}
	case "RESCHED":
		if t := k.tasks[cmd.Task]; t != nil && !t.done && t.paused {
			t.paused = false
			k.arm(t, t.left)
		}
	case "IODONE":
		t := k.tasks[cmd.Task]
		got, _ := base64.StdEncoding.DecodeString(cmd.Bytes)
		if t == nil || t.done || t.waiting == 0 {
			k.rec.Addf("%s IODONE %s %q while the run waits for no call", k.name, cmd.Task, short(got))
			return
		}
		want := storeReply(t.id + "/" + t.steps[t.at].call)
		k.rec.Addf("%s IODONE %s %q", k.name, t.id, short(got))
		if string(got) != want {
			k.rec.Addf("%s run %s waits for the reply %q and gets %q", k.name, t.id, want, short(got))
			k.WrongReplies++
		}
		t.waiting = 0
		k.next(t)
	case "NOIO":
		if t := k.tasks[cmd.Task]; t != nil && !t.done && t.waiting == cmd.Index {
			t.waiting = 0
			k.next(t)
		}
	default:
		c.Close()
	}
}

// sched starts a run. By the protocol page nothing happens for a request that runs already, MOOT is for one that is
// over, and EINVAL for one that did not come to this process in this form.
func (k *Kernel) sched(c net.Conn, cmd *kernelCommand) {
	body, err := base64.StdEncoding.DecodeString(cmd.Bytes)
	if err != nil || !k.requests.Known(cmd.Task, cmd.Handler, body) {
		k.write(c, fmt.Sprintf("{\"verb\":\"EINVAL\",\"outcome\":\"SCHED\",\"task\":%q}\n", cmd.Task))
		return
	}
	t := k.tasks[cmd.Task]
	if t != nil && !t.done {
		k.rec.Addf("%s SCHED %s again while it runs: nothing happens", k.name, t.id)
		return
	}
	if k.requests.Over(cmd.Task) {
		moot := &task{id: cmd.Task, started: time.Now()}
		k.rec.Addf("%s SCHED %s: MOOT", k.name, cmd.Task)
		k.notice("REAP", moot, "MOOT", nil)
		return
	}
	runs := 1
	if t != nil {
		runs = t.runs + 1
	}
	t = &task{id: cmd.Task, started: time.Now(), runs: runs}
	for _, word := range strings.Fields(string(body)) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "work":
			t.steps = append(t.steps, step{work: time.Duration(n * float64(time.Millisecond))})
		case "call":
			t.steps = append(t.steps, step{call: value})
		}
	}
	k.tasks[t.id] = t
	k.rec.Addf("%s RUN %s (run %d of this request)", k.name, t.id, runs)
	if k.OnRun != nil {
		k.OnRun(t.id)
	}
	t.at = -1
	k.next(t)
}

// next moves a run to its next step.
func (k *Kernel) next(t *task) {
	t.at++
	if t.at >= len(t.steps) {
		t.done = true
		k.notice("REAP", t, "OK", []byte("done "+t.id))
		return
	}
	s := &t.steps[t.at]
	if s.call == "" {
		k.arm(t, s.work)
		return
	}
	t.waiting = k.first + len(k.notices)
	k.notice("IOREQ", t, "", []byte(t.id+"/"+s.call))
	if k.requests.Over(t.id) {
		k.endAtCall(t)
	}
}

func (k *Kernel) arm(t *task, d time.Duration) {
	t.endsAt = time.Now().Add(d)
	t.timer = time.AfterFunc(d, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if !t.done && !t.paused {
			k.next(t)
		}
	})
}

// RequestOver ends a run that stands at a call, as its request is over.
func (k *Kernel) RequestOver(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.tasks[id]; t != nil && !t.done && t.waiting != 0 {
		k.endAtCall(t)
	}
}

func (k *Kernel) endAtCall(t *task) {
	t.done, t.waiting = true, 0
	k.notice("REAP", t, "STOPPED", nil)
}

// notice numbers, keeps and sends a notice.
func (k *Kernel) notice(verb string, t *task, outcome string, body []byte) {
	n := k.first + len(k.notices)
	line := fmt.Sprintf("{\"verb\":%q,\"index\":%d,\"task\":%q,", verb, n, t.id)
	if verb == "REAP" {
		line += fmt.Sprintf("\"outcome\":%q,\"spent\":%.3f,", outcome,
			float64(time.Since(t.started).Microseconds())/1000)
		k.rec.Addf("%s REAP %s %s (notice %d)", k.name, t.id, outcome, n)
	} else {
		k.rec.Addf("%s IOREQ %s %q (notice %d)", k.name, t.id, body, n)
	}
	line += fmt.Sprintf("\"bytes\":%q}\n", base64.StdEncoding.EncodeToString(body))
	k.notices = append(k.notices, []byte(line))
	if len(k.notices) > keptNotices {
		k.notices = k.notices[1:]
		k.first++
	}
	if k.conn != nil && k.opened {
		k.write(k.conn, line)
	}
}

func short(b []byte) string {
	if len(b) > 60 {
		b = b[:60]
	}
	return string(b)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
