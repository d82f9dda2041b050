package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/report"
)

// realWithin is the promise for processes: after a leader's death writes are taken again within it.
const realWithin = 5 * time.Second

// instanceProcess is one instance as a process.
type instanceProcess struct {
	process
	name, listen, peer, bind, file string
	fault                          string // what SIGUSR2 brings, "" for plain SIGKILL
}

// controlProcesses is a group of processes on loopback.
type controlProcesses struct {
	program, dir string
	env          []string // of its processes, beside this one's
	procs        []*instanceProcess
	http         *http.Client
	out          *os.File
	forwarders   *forwarders
}

// hosts numbers loopback addresses so that no two instances of a run share one. A port out of the range that
// outgoing connections take theirs from could be gone when an instance is started again on it.
var hosts atomic.Uint32

func loopback(port int) string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 128+os.Getpid()>>8&0x7f, (os.Getpid()+int(n/250))&0xff, 1+n%250, port)
}

// newControlProcesses starts a group and waits until all are voters. extra stands at the end of each operator's file.
func newControlProcesses(ctx context.Context, program, dir string, size int, extra string,
	env ...string) (*controlProcesses, error) {
	c := &controlProcesses{program: program, dir: dir, env: env, forwarders: newForwarders(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128,
			DialContext: (&net.Dialer{Timeout: 200 * time.Millisecond}).DialContext}}}
	var err error
	if c.out, err = openLog(filepath.Join(dir, "instances.log")); err != nil {
		return nil, err
	}
	for i := 0; i < size; i++ {
		if err := c.add(i, extra); err != nil {
			return c, err
		}
	}
	for i, p := range c.procs {
		if err := c.start(p, ""); err != nil {
			return c, err
		}
		if err := c.awaitUp(ctx, p); err != nil {
			return c, err
		}
		if i > 0 {
			if err := c.join(ctx, p); err != nil {
				return c, err
			}
		}
	}
	return c, c.await(ctx, func() error {
		l := c.leader()
		if l == nil {
			return errors.New("no leader")
		}
		r, err := c.report(l)
		if err != nil {
			return err
		}
		for _, m := range r.Members {
			if !m.Voter {
				return fmt.Errorf("%s is no voter", m.Name)
			}
		}
		if len(r.Members) != size {
			return fmt.Errorf("%d members", len(r.Members))
		}
		return nil
	})
}

// withGroup runs a group in a folder of its own for as long as use takes.
func withGroup(ctx context.Context, program string, rep *report.Report, size int, extra string,
	use func(c *controlProcesses) error) error {
	return withWorkFolder(ctx, rep, func(dir string) error {
		c, err := newControlProcesses(ctx, program, dir, size, extra)
		if c != nil {
			defer c.close()
		}
		if err != nil {
			return err
		}
		return use(c)
	})
}

func (c *controlProcesses) add(i int, extra string) error {
	name := string(rune('a' + i))
	p := &instanceProcess{name: name, file: filepath.Join(c.dir, name+".ini")}
	p.listen, p.bind, p.peer = loopback(7201), loopback(7101), loopback(7102)
	l, err := net.Listen("tcp", p.peer)
	if err != nil {
		return err
	}
	c.forwarders.front(l, name, p.bind)
	start := "join"
	if i == 0 {
		start = "new"
	}
	c.procs = append(c.procs, p)
	return os.WriteFile(p.file, []byte(fmt.Sprintf("[instance]\nname = %s\ndata = %s\nstart = %s\npeer = %s\n"+
		"bind = %s\nlisten = %s\n%s", name, filepath.Join(c.dir,
		name), start, p.peer, p.bind, p.listen, extra)), 0o600)
}

// start runs an instance; fault is what SIGUSR2 brings, "" for nothing.
func (c *controlProcesses) start(p *instanceProcess, fault string) error {
	cmd := exec.Command(c.program, "control", "run", "--file", p.file)
	cmd.Stderr = c.out
	cmd.Env = append(append(os.Environ(), faultEnv+"="+fault), c.env...)
	p.fault = fault
	return p.process.start(cmd)
}

// kill ends a process at its step, or at once, and waits until it is gone.
func (c *controlProcesses) kill(p *instanceProcess) {
	if p.fault != "" && p.fault != diskStalls {
		p.signal(syscall.SIGUSR2)
		select {
		case <-p.done():
			return
		case <-time.After(2 * time.Second): // the step did not come
		}
	}
	p.process.kill()
}

// cutOff is a fault of the lines between processes, beside those that a process brings on itself.
const cutOff = "cut off"

// crashAt does to a leader what it was started for, or parts it from the others. It tells whether the process
// ended.
func (c *controlProcesses) crashAt(p *instanceProcess, cut bool) (ended bool) {
	switch {
	case cut:
		var others []string
		for _, o := range c.procs {
			if o != p {
				others = append(others, o.name)
			}
		}
		c.forwarders.partition(p.name, others, true, true)
		return false
	case p.fault == diskStalls:
		p.signal(syscall.SIGUSR2)
		return false
	}
	c.kill(p)
	return true
}

// close ends all processes; none is started from then on.
func (c *controlProcesses) close() {
	for _, p := range c.procs {
		p.close()
	}
	c.out.Close()
	c.forwarders.close()
}

// groupPatience is how long anything of a group may take, unless it is said.
const groupPatience = 20 * time.Second

func (c *controlProcesses) await(ctx context.Context, holds func() error) error {
	return awaitUntil(ctx, groupPatience, 5*time.Millisecond, holds)
}

func (c *controlProcesses) call(ctx context.Context, method, at, path string, in, out any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	if res.StatusCode >= 500 {
		return res.StatusCode, fmt.Errorf("%s: %s", res.Status, bytes.TrimSpace(raw))
	}
	return res.StatusCode, json.Unmarshal(raw, out)
}

func (c *controlProcesses) report(p *instanceProcess) (*consensus.StatusReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var r consensus.StatusReport
	_, err := c.call(ctx, http.MethodGet, p.listen, "/v1/status", nil, &r)
	return &r, err
}

func (c *controlProcesses) leader() *instanceProcess {
	var best *instanceProcess
	term := uint64(0)
	for _, p := range c.procs {
		if r, err := c.report(p); err == nil && r.Role == "leader" && r.Term > term {
			best, term = p, r.Term
		}
	}
	return best
}

// awaitUp waits until an instance answers.
func (c *controlProcesses) awaitUp(ctx context.Context, p *instanceProcess) error {
	return c.await(ctx, func() error { _, err := c.report(p); return err })
}

// awaitLeader waits until an instance says that it leads, and gives it.
func (c *controlProcesses) awaitLeader(ctx context.Context, within time.Duration) (p *instanceProcess, err error) {
	err = awaitUntil(ctx, within, 5*time.Millisecond, func() error {
		if p = c.leader(); p == nil {
			return errors.New("no leader")
		}
		return nil
	})
	return p, err
}

// join takes an instance in.
func (c *controlProcesses) join(ctx context.Context, p *instanceProcess) error {
	var s consensus.InstanceInfo
	if _, err := c.call(ctx, http.MethodGet, p.listen, "/v1/self", nil, &s); err != nil {
		return err
	}
	ch := consensus.MemberChange{Op: "add", Member: consensus.Member{ID: s.ID, Name: s.Name, Peer: s.Peer,
		Listen: s.Listen, Promote: true}}
	return c.await(ctx, func() error {
		var out json.RawMessage
		code, err := c.call(ctx, http.MethodPost, c.procs[0].listen, "/v1/members", ch, &out)
		if err == nil && code != http.StatusOK && !strings.Contains(string(out), "member already") {
			err = fmt.Errorf("%s", out)
		}
		return err
	})
}
