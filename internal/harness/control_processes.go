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

// maxFailoverTime is the maximum time without an acknowledged write after the leader of a group of processes fails.
const maxFailoverTime = 5 * time.Second

// instanceProcess is one instance of the control service, run as a process.
type instanceProcess struct {
	process
	name, listen, peer, bind, operatorFile string
	fault                                  string // triggered by SIGUSR2; "": none
}

// controlProcesses is a group of instances that run as processes on loopback addresses.
type controlProcesses struct {
	program, dir string
	env          []string // added to this process's environment
	instances    []*instanceProcess
	httpClient   *http.Client
	logFile      *os.File
	forwarders   *forwarders
}

// loopbackHosts numbers loopback addresses so that no two servers of a run share one. Ports are fixed and outside
// the ephemeral range: an outgoing connection could otherwise take the port of an instance that restarts.
var loopbackHosts atomic.Uint32

func newLoopbackAddr(port int) string {
	n := loopbackHosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 128+os.Getpid()>>8&0x7f, (os.Getpid()+int(n/250))&0xff, 1+n%250, port)
}

// newControlProcesses starts a group and waits until all instances are voters. extraConfig is appended to each
// operator's file.
func newControlProcesses(ctx context.Context, program, dir string, size int, extraConfig string,
	env ...string) (*controlProcesses, error) {
	c := &controlProcesses{program: program, dir: dir, env: env, forwarders: newForwarders(),
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128,
			DialContext: (&net.Dialer{Timeout: 200 * time.Millisecond}).DialContext}}}
	var err error
	if c.logFile, err = openLog(filepath.Join(dir, "instances.log")); err != nil {
		return nil, err
	}
	for i := 0; i < size; i++ {
		if err := c.addInstance(i, extraConfig); err != nil {
			return c, err
		}
	}
	for i, p := range c.instances {
		if err := c.start(p, ""); err != nil {
			return c, err
		}
		if err := c.awaitResponding(ctx, p); err != nil {
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
		r, err := c.status(l)
		if err != nil {
			return err
		}
		for _, m := range r.Members {
			if !m.Voter {
				return fmt.Errorf("instance %s is not a voter", m.Name)
			}
		}
		if len(r.Members) != size {
			return fmt.Errorf("the group has %d members, want %d", len(r.Members), size)
		}
		return nil
	})
}

// withGroup starts a group in a work folder of its own, calls use and closes the group.
func withGroup(ctx context.Context, program string, rep *report.Report, size int, extraConfig string,
	use func(c *controlProcesses) error) error {
	return withWorkFolder(ctx, rep, func(dir string) error {
		c, err := newControlProcesses(ctx, program, dir, size, extraConfig)
		if c != nil {
			defer c.close()
		}
		if err != nil {
			return err
		}
		return use(c)
	})
}

func (c *controlProcesses) addInstance(i int, extraConfig string) error {
	name := string(rune('a' + i))
	p := &instanceProcess{name: name, operatorFile: filepath.Join(c.dir, name+".ini")}
	p.listen, p.bind, p.peer = newLoopbackAddr(7201), newLoopbackAddr(7101), newLoopbackAddr(7102)
	l, err := net.Listen("tcp", p.peer)
	if err != nil {
		return err
	}
	c.forwarders.forwardPeers(l, name, p.bind)
	start := "join"
	if i == 0 {
		start = "new"
	}
	c.instances = append(c.instances, p)
	return os.WriteFile(p.operatorFile, []byte(fmt.Sprintf("[instance]\nname = %s\ndata = %s\nstart = %s\npeer = %s\n"+
		"bind = %s\nlisten = %s\n%s", name, filepath.Join(c.dir,
		name), start, p.peer, p.bind, p.listen, extraConfig)), 0o600)
}

// start starts an instance's process; SIGUSR2 then triggers the fault, if it isn't empty.
func (c *controlProcesses) start(p *instanceProcess, fault string) error {
	cmd := exec.Command(c.program, "control", "run", "--file", p.operatorFile)
	cmd.Stderr = c.logFile
	cmd.Env = append(append(os.Environ(), faultEnv+"="+fault), c.env...)
	p.fault = fault
	return p.process.start(cmd)
}

// kill triggers a crash at the step that the process was started with, or kills it at once, and waits until it has
// exited.
func (c *controlProcesses) kill(p *instanceProcess) {
	if p.fault != "" && p.fault != faultDiskStall {
		p.signal(syscall.SIGUSR2)
		select {
		case <-p.done():
			return
		case <-time.After(2 * time.Second): // the instance did not reach the step
		}
	}
	p.process.kill()
}

// faultPartition is the fault of a leader that is partitioned from the other instances, beside the faults that a
// process injects into itself.
const faultPartition = "cut off"

// injectFault partitions a leader from the others, or triggers the fault that it was started with. It reports
// whether the process exited.
func (c *controlProcesses) injectFault(p *instanceProcess, partition bool) (exited bool) {
	switch {
	case partition:
		var others []string
		for _, o := range c.instances {
			if o != p {
				others = append(others, o.name)
			}
		}
		c.forwarders.partition(p.name, others, true, true)
		return false
	case p.fault == faultDiskStall:
		p.signal(syscall.SIGUSR2)
		return false
	}
	c.kill(p)
	return true
}

// close kills all processes for good and closes the forwarders.
func (c *controlProcesses) close() {
	for _, p := range c.instances {
		p.close()
	}
	c.logFile.Close()
	c.forwarders.close()
}

// groupTimeout is the default timeout for the group to reach an expected state.
const groupTimeout = 20 * time.Second

func (c *controlProcesses) await(ctx context.Context, condition func() error) error {
	return awaitUntil(ctx, groupTimeout, 5*time.Millisecond, condition)
}

// doRequest sends a JSON request to an instance and decodes the response into out. A status of 500 and above is an
// error.
func (c *controlProcesses) doRequest(ctx context.Context, method, addr, path string, in, out any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := c.httpClient.Do(req)
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

func (c *controlProcesses) status(p *instanceProcess) (*consensus.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var r consensus.Report
	_, err := c.doRequest(ctx, http.MethodGet, p.listen, "/v1/status", nil, &r)
	return &r, err
}

// leader returns the instance that leads in the highest term; nil if no instance reports to lead.
func (c *controlProcesses) leader() *instanceProcess {
	var newest *instanceProcess
	term := uint64(0)
	for _, p := range c.instances {
		if r, err := c.status(p); err == nil && r.Role == "leader" && r.Term > term {
			newest, term = p, r.Term
		}
	}
	return newest
}

// awaitResponding waits until an instance responds to a status request.
func (c *controlProcesses) awaitResponding(ctx context.Context, p *instanceProcess) error {
	return c.await(ctx, func() error { _, err := c.status(p); return err })
}

// awaitLeader waits until an instance reports to be the leader and returns it.
func (c *controlProcesses) awaitLeader(ctx context.Context, within time.Duration) (p *instanceProcess, err error) {
	err = awaitUntil(ctx, within, 5*time.Millisecond, func() error {
		if p = c.leader(); p == nil {
			return errors.New("no leader")
		}
		return nil
	})
	return p, err
}

// join adds an instance to the group as a voter, unless it is a member.
func (c *controlProcesses) join(ctx context.Context, p *instanceProcess) error {
	var self consensus.Self
	if _, err := c.doRequest(ctx, http.MethodGet, p.listen, "/v1/self", nil, &self); err != nil {
		return err
	}
	change := consensus.Change{Op: "add", Member: consensus.Member{ID: self.ID, Name: self.Name, Peer: self.Peer,
		Listen: self.Listen, Promote: true}}
	return c.await(ctx, func() error {
		var out json.RawMessage
		code, err := c.doRequest(ctx, http.MethodPost, c.instances[0].listen, "/v1/members", change, &out)
		if err == nil && code != http.StatusOK && !strings.Contains(string(out), "member already") {
			err = fmt.Errorf("%s", out)
		}
		return err
	})
}
