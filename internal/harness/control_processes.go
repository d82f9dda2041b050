package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/report"
)

// realWithin is the promise for processes: after a leader's death writes are taken again within it.
const realWithin = 5 * time.Second

// instanceProcess is one instance as a process.
type instanceProcess struct {
	name, listen, peer, bind, file string
	cmd                            *exec.Cmd
	ended                          chan struct{}
	fault                          string // what SIGUSR2 brings, "" for plain SIGKILL
}

// controlProcesses is a group of processes on loopback.
type controlProcesses struct {
	program, dir string
	env          []string // of its processes, beside this one's
	procs        []*instanceProcess
	http         *http.Client
	out          *os.File
	board        *forwarders
}

// hosts numbers loopback addresses so that no two instances of a run share one. A port out of the range that
// outgoing connections take theirs from could be gone when an instance is started again on it.
var hosts atomic.Uint32

func loopback(port int) string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 128+os.Getpid()>>8&0x7f, (os.Getpid()+int(n/250))&0xff, 1+n%250, port)
}

// newControlProcesses starts a group and waits until all are voters. extra stands at the end of each operator's file.
func newControlProcesses(ctx context.Context, program, dir string, size int, extra string, env ...string) (*controlProcesses, error) {
	c := &controlProcesses{program: program, dir: dir, env: env, board: newForwarders(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128,
			DialContext: (&net.Dialer{Timeout: 200 * time.Millisecond}).DialContext}}}
	var err error
	if c.out, err = os.OpenFile(filepath.Join(dir, "instances.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY,
		0o600); err != nil {
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
		if err := c.await(ctx, func() error { _, err := c.report(p); return err }); err != nil {
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

func (c *controlProcesses) add(i int, extra string) error {
	name := string(rune('a' + i))
	p := &instanceProcess{name: name, file: filepath.Join(c.dir, name+".ini")}
	p.listen, p.bind, p.peer = loopback(7201), loopback(7101), loopback(7102)
	l, err := net.Listen("tcp", p.peer)
	if err != nil {
		return err
	}
	c.board.front(l, name, p.bind)
	start := "join"
	if i == 0 {
		start = "new"
	}
	c.procs = append(c.procs, p)
	return os.WriteFile(p.file, []byte(fmt.Sprintf("[instance]\nname = %s\ndata = %s\nstart = %s\npeer = %s\n"+
		"bind = %s\nlisten = %s\n%s", name, filepath.Join(c.dir,
		name), start, p.peer, p.bind, p.listen, extra)), 0o600)
}

func (c *controlProcesses) start(p *instanceProcess, fault string) error {
	p.cmd = exec.Command(c.program, "control", "run", "--file", p.file)
	p.cmd.Stderr = c.out
	p.cmd.Env = append(append(os.Environ(), faultEnv+"="+fault), c.env...)
	p.fault, p.ended = fault, make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(p *instanceProcess, cmd *exec.Cmd, ended chan struct{}) { cmd.Wait(); close(ended) }(p, p.cmd, p.ended)
	return nil
}

func (p *instanceProcess) pid() int { return p.cmd.Process.Pid }

// restartEnded starts again what ends, two seconds later, until the context does.
func (c *controlProcesses) restartEnded(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range c.procs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-ctx.Done():
					return
				case <-p.ended:
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(2 * time.Second):
				}
				if c.start(p, "") != nil {
					return
				}
			}
		}()
	}
	wg.Wait()
}

// kill ends a process at its step, or at once, and waits until it is gone.
func (c *controlProcesses) kill(p *instanceProcess) {
	if p.fault != "" && p.fault != diskStalls {
		p.cmd.Process.Signal(syscall.SIGUSR2)
		select {
		case <-p.ended:
			return
		case <-time.After(2 * time.Second): // the step did not come
		}
	}
	p.cmd.Process.Kill()
	<-p.ended
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
		c.board.partition(p.name, others, true, true)
		return false
	case p.fault == diskStalls:
		p.cmd.Process.Signal(syscall.SIGUSR2)
		return false
	}
	c.kill(p)
	return true
}

func (c *controlProcesses) close() {
	for _, p := range c.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			p.cmd.Process.Kill()
			<-p.ended
		}
	}
	c.out.Close()
	c.board.close()
}

func (c *controlProcesses) await(ctx context.Context, holds func() error) error {
	var err error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		if err = holds(); err == nil {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("not within 20 s: %w", errors.Join(err, ctx.Err()))
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

func (c *controlProcesses) report(p *instanceProcess) (*consensus.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var r consensus.Report
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

// join takes an instance in.
func (c *controlProcesses) join(ctx context.Context, p *instanceProcess) error {
	var s consensus.Self
	if _, err := c.call(ctx, http.MethodGet, p.listen, "/v1/self", nil, &s); err != nil {
		return err
	}
	ch := consensus.Change{Op: "add", Member: consensus.Member{ID: s.ID, Name: s.Name, Peer: s.Peer,
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

// load is clients that put as fast as they get answers, and what they were told.
type load struct {
	c      *controlProcesses
	wg     sync.WaitGroup
	stop   context.CancelFunc
	last   atomic.Int64 // when an answer came last, in ns since the start
	begun  time.Time
	mu     sync.Mutex
	taken  map[string]uint64 // by client and number, the version it was told
	puts   int
	times  *hdrhistogram.Histogram // of a put, in us
	broken string
}

func (c *controlProcesses) load(ctx context.Context, clients int) *load {
	l := &load{c: c, begun: time.Now(), taken: map[string]uint64{}, times: hdrhistogram.New(1, 60_000_000, 3)}
	ctx, l.stop = context.WithCancel(ctx)
	for i := 0; i < clients; i++ {
		l.wg.Add(1)
		go func() { defer l.wg.Done(); l.client(ctx, i) }()
	}
	return l
}

// client puts one version after the other, each under a number that it repeats until it has an answer.
func (l *load) client(ctx context.Context, n int) {
	session, base := fmt.Sprintf("load-%d-%d", n, time.Now().UnixNano()), uint64(0)
	at := n
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		name := fmt.Sprintf("%s-%d", session, seq)
		put := consensus.Put{Session: session, Seq: seq, Base: base, Author: "load", Reason: name,
			Text: fmt.Sprintf("[tenant t%d]\nrate = %d\n", n, seq)}
		asked := time.Now()
		for ctx.Err() == nil {
			// The last ask goes on after the load's end, so that nothing is left open.
			try, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			var a consensus.PutResult
			_, err := l.c.call(try, http.MethodPut, l.c.procs[at%len(l.c.procs)].listen, "/v1/config", put, &a)
			cancel()
			if err != nil || a.Outcome == "" {
				at++
				time.Sleep(2 * time.Millisecond)
				continue
			}
			now := time.Now()
			l.last.Store(int64(now.Sub(l.begun)))
			l.mu.Lock()
			l.puts++
			l.times.RecordValue(now.Sub(asked).Microseconds())
			switch a.Outcome {
			case consensus.PutCommitted:
				l.taken[name] = a.Version
			case consensus.PutConflict:
			default:
				l.broken = fmt.Sprintf("%s was answered %+v", name, a)
			}
			l.mu.Unlock()
			base = a.Version
			break
		}
	}
}

// end stops the load and holds what clients were told against what the group has: each version told is there,
// once, in order.
func (l *load) end() error {
	l.stop()
	l.wg.Wait()
	if l.broken != "" {
		return errors.New(l.broken)
	}
	byReason := map[string]uint64{}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for from := uint64(1); ; {
		var vs []consensus.Version
		if err := l.c.await(ctx, func() error {
			code, err := l.c.call(ctx, http.MethodGet, l.c.procs[0].listen,
				fmt.Sprintf("/v1/history?limit=1000&from=%d", from), nil, &vs)
			if err == nil && code != http.StatusOK {
				err = fmt.Errorf("history: %d", code)
			}
			return err
		}); err != nil {
			return err
		}
		for _, v := range vs {
			if v.Number != from {
				return fmt.Errorf("version %d in the history, expected %d", v.Number, from)
			}
			if was, twice := byReason[v.Reason]; twice {
				return fmt.Errorf("%s is version %d and version %d: a put counted twice", v.Reason, was, v.Number)
			}
			byReason[v.Reason] = v.Number
			from++
		}
		if len(vs) < 1000 {
			break
		}
	}
	for name, version := range l.taken {
		if byReason[name] != version {
			return fmt.Errorf("%s was told version %d, the history has it as %d", name, version, byReason[name])
		}
	}
	return nil
}

// real kills leaders of real processes under load and measures how long no write is taken.
func (r *RaftTest) real(ctx context.Context, w io.Writer, rep *report.Report) error {
	kills := r.Kills
	if kills == 0 {
		kills = longKills
		if r.Quick {
			kills = quickKills
		}
	}
	sizes := []int{3, 5}
	if r.Size > 0 {
		sizes = []int{r.Size}
	} else if r.Quick {
		sizes = []int{3}
	}
	plot := report.Plot{Title: "Writes after a leader's death", X: "ms without an answer", Y: "share of kills"}
	for _, size := range sizes {
		if err := r.killLeaders(ctx, w, rep, &plot, size, kills, "[disk]\nsnapshot_mb = 1\n"); err != nil {
			return err
		}
	}
	rep.Plots = append(rep.Plots, plot)
	if r.Quick || rep.Broken != "" {
		return nil
	}
	if err := r.speed(ctx, rep); err != nil {
		return err
	}
	return r.timeouts(ctx, w, rep)
}

// timeouts shows what the election timeout costs and saves: time without writes after a kill on a calm
// machine, and elections that nothing called for while four times as many threads as cores want to run.
func (r *RaftTest) timeouts(ctx context.Context, w io.Writer, rep *report.Report) error {
	plot := report.Plot{Title: "Election timeout: failover against false elections on a busy machine", X: "timeout, ms",
		Y: "ms without writes; false elections x 100"}
	calm, busy := report.Line{Name: "failover, median"}, report.Line{Name: "false elections in 10 s, x 100"}
	for _, tick := range []int{5, 10, 25, 50, 100} {
		sub := &report.Report{}
		if err := r.killLeaders(ctx, w, sub, &report.Plot{}, 3, 8, fmt.Sprintf("[group]\ntick = %dms\n",
			tick)); err != nil {
			return err
		}
		median, _ := strconv.Atoi(sub.Find("kills3_median_ms"))
		wrong, err := r.falseElections(ctx, tick)
		if err != nil {
			return err
		}
		calm.Points = append(calm.Points, [2]float64{float64(tick * 10), float64(median)})
		busy.Points = append(busy.Points, [2]float64{float64(tick * 10), float64(100 * wrong)})
		rep.Rows = append(rep.Rows, []string{fmt.Sprintf("timeout %d ms", tick*10), "3", "8 kills, 10 s busy",
			"-", fmt.Sprintf("%d elections", wrong), report.Milliseconds(int64(median)), "-", sub.Find("kills3_worst_ms") + " ms"})
	}
	plot.Lines = []report.Line{calm, busy}
	rep.Plots = append(rep.Plots, plot)
	return nil
}

// falseElections counts terms begun within 10 s with all cores wanted four times over.
func (r *RaftTest) falseElections(ctx context.Context, tick int) (uint64, error) {
	dir, err := os.MkdirTemp("", "lab-raft-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	c, err := newControlProcesses(ctx, r.Program, dir, 3, fmt.Sprintf("[group]\ntick = %dms\n", tick))
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return 0, err
	}
	before, err := c.report(c.procs[0])
	if err != nil {
		return 0, err
	}
	was := runtime.GOMAXPROCS(0)
	n := 4 * runtime.NumCPU()
	runtime.GOMAXPROCS(n + 2)
	var stop atomic.Bool
	for i := 0; i < n; i++ {
		go func() {
			for x := 1; !stop.Load(); x = x*31 + 7 {
			}
		}()
	}
	l := c.load(ctx, 2)
	time.Sleep(10 * time.Second)
	stop.Store(true)
	runtime.GOMAXPROCS(was)
	if err := l.end(); err != nil {
		return 0, err
	}
	var after *consensus.Report
	err = c.await(ctx, func() error { after, err = c.report(c.procs[0]); return err })
	if err != nil {
		return 0, err
	}
	return after.Term - before.Term, nil
}

func (r *RaftTest) killLeaders(ctx context.Context, w io.Writer, rep *report.Report, plot *report.Plot, size, kills int,
	extra string) error {
	dir, err := os.MkdirTemp("", "lab-raft-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := newControlProcesses(ctx, r.Program, dir, size, extra)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	kinds := append([]string{"", diskStalls, diskFull}, consensus.Steps...)
	chance := rand.New(rand.NewSource(r.Seed))
	gaps := hdrhistogram.New(1, 60_000, 3)
	kindsDone := map[string]int{}
	l := c.load(ctx, max(1, r.Clients))
	for _, p := range c.procs { // armed by being started anew, so that each step's crash can be told by a signal
		c.kill(p)
		if err := c.start(p, kinds[chance.Intn(len(kinds))]); err != nil {
			return err
		}
		if err := c.await(ctx, func() error {
			r, err := c.report(p)
			if err == nil && r.OutOfContact {
				err = errors.New("out of touch")
			}
			return err
		}); err != nil {
			return err
		}
	}
	for k := 0; k < kills && ctx.Err() == nil; k++ {
		time.Sleep(time.Duration(100+chance.Intn(200)) * time.Millisecond)
		var p *instanceProcess
		if err := c.await(ctx, func() error {
			if p = c.leader(); p == nil {
				return errors.New("no leader")
			}
			return nil
		}); err != nil {
			return err
		}
		what, cut := p.fault, chance.Intn(8) == 0
		if cut {
			what = cutOff
		}
		died := time.Since(l.begun)
		ended := c.crashAt(p, cut)
		if ended {
			died = time.Since(l.begun)
		} else { // writes go on until the fault shows: it is over once another leads
			if err := c.await(ctx, func() error {
				if n := c.leader(); n == nil || n == p {
					return errors.New("no other leader")
				}
				return nil
			}); err != nil {
				rep.Break("kill %d: leader %q is not followed: %v", k+1, what, err)
				break
			}
		}
		for l.last.Load() <= int64(died) && ctx.Err() == nil {
			if time.Since(l.begun)-died > 2*realWithin {
				break
			}
			time.Sleep(time.Millisecond)
		}
		gap := time.Duration(l.last.Load()) - died
		if gap <= 0 || gap > realWithin {
			rep.Break("no write was taken for %v after kill %d of a leader of %d at %q", time.Since(l.begun)-died, k+1,
				size, what)
			break
		}
		kindsDone[what]++
		gaps.RecordValue(gap.Milliseconds())
		if !ended && !cut {
			if err := c.await(ctx, func() error { _, err := c.report(p); return err }); err != nil {
				return err
			}
			c.kill(p)
			ended = true
		}
		c.board.heal()
		if !ended {
		} else if err := c.start(p, kinds[chance.Intn(len(kinds))]); err != nil {
			return err
		}
		if err := c.await(ctx, func() error { // back before the next is killed
			r, err := c.report(p)
			if err == nil && (r.OutOfContact || r.Role != "follower" && r.Role != "leader") {
				err = fmt.Errorf("%s is %s", p.name, r.Role)
			}
			return err
		}); err != nil {
			return err
		}
	}
	if err := l.end(); err != nil {
		rep.Break("%d instances: %v", size, err)
	}
	rep.Rows = append(rep.Rows, []string{"leader lost", strconv.Itoa(size),
		strconv.FormatInt(gaps.TotalCount(), 10), strconv.Itoa(l.puts), strconv.FormatBool(rep.Broken != ""),
		report.Milliseconds(gaps.ValueAtQuantile(50)), report.Milliseconds(gaps.ValueAtQuantile(99)), report.Milliseconds(gaps.Max())})
	key := fmt.Sprintf("kills%d", size)
	rep.Add(key, "%d", gaps.TotalCount())
	rep.Add(key+"_median_ms", "%d", gaps.ValueAtQuantile(50))
	rep.Add(key+"_p99_ms", "%d", gaps.ValueAtQuantile(99))
	rep.Add(key+"_worst_ms", "%d", gaps.Max())
	for _, kind := range append(kinds, cutOff) {
		if n := kindsDone[kind]; n > 0 {
			rep.Notes = append(rep.Notes, fmt.Sprintf("%d instances: %d leaders: %s", size, n, whatKind(kind)))
		}
	}
	rep.Add(key+"_versions", "%d", len(l.taken))
	line := report.Line{Name: fmt.Sprintf("%d instances", size)}
	for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 100} {
		line.Points = append(line.Points, [2]float64{float64(gaps.ValueAtQuantile(q)), q / 100})
	}
	plot.Lines = append(plot.Lines, line)
	return nil
}

func whatKind(kind string) string {
	switch kind {
	case "":
		return "kill -9"
	case cutOff:
		return "cut off from all others"
	case diskStalls:
		return "its disk stalled " + diskStall.String()
	case diskFull:
		return "its disk was full"
	}
	return "killed itself before " + kind
}

// speed measures puts without faults, by one client and by many.
func (r *RaftTest) speed(ctx context.Context, rep *report.Report) error {
	for _, clients := range []int{1, 64} {
		dir, err := os.MkdirTemp("", "lab-raft-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		c, err := newControlProcesses(ctx, r.Program, dir, 3, "")
		if c != nil {
			defer c.close()
		}
		if err != nil {
			return err
		}
		l := c.load(ctx, clients)
		time.Sleep(time.Second)
		before, err := c.report(c.leader())
		if err != nil {
			return err
		}
		l.mu.Lock()
		puts, versions := l.puts, len(l.taken)
		l.times.Reset()
		l.mu.Unlock()
		started := time.Now()
		time.Sleep(10 * time.Second)
		l.mu.Lock()
		puts, versions = l.puts-puts, len(l.taken)-versions
		took := time.Since(started).Seconds()
		l.mu.Unlock()
		after, err := c.report(c.leader())
		if err != nil {
			return err
		}
		if err := l.end(); err != nil {
			rep.Break("%d clients: %v", clients, err)
		}
		key := fmt.Sprintf("clients%d", clients)
		rep.Add(key+"_puts_per_s", "%.0f", float64(puts)/took)
		rep.Add(key+"_versions_per_s", "%.0f", float64(versions)/took)
		rep.Add(key+"_syncs_per_put", "%.2f", float64(after.Syncs-before.Syncs)/float64(max(1, puts)))
		rep.Rows = append(rep.Rows, []string{fmt.Sprintf("put, %d clients", clients), "3", "10 s",
			strconv.Itoa(puts), "-", us(l.times.ValueAtQuantile(50)), us(l.times.ValueAtQuantile(99)),
			us(l.times.Max())})
		c.close()
	}
	return nil
}

func us(n int64) string { return fmt.Sprintf("%.2f ms", float64(n)/1000) }
