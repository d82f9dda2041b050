package lab

import (
	"bufio"
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
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"umberwinch/internal/consensus"
	"umberwinch/internal/policy"
)

// fleet.go is the one rig for fleets: a group and nodes as processes of the built programs, emulated kernels, a list of
// who is ready, callers that try elsewhere, and a forwarder on every line that can cut, mute and slow it. What happened
// is read from the processes' own logs afterwards.

// RigPlan says what a rig is made of.
type RigPlan struct {
	Program   string // umberctl; the node's program stands beside it, or is its hidden command
	Dir       string
	Seed      int64
	Instances int
	Nodes     int
	Folders   bool // nodes keep their policy on disk
	Rate      float64
	Without   string
	Keep      bool // what ends is started again, by a pace of its own
	Odd       int  // this node's platform has no class "fill"; 0: none
	Patient   bool // callers that are turned away come back when they are told to, not sooner
	Eager     bool // callers that are turned away ask on at once, elsewhere
	Below     bool // each zone has a service below, which each run calls once; what it bears is in rigBelow
}

// Rig is a fleet at work.
type Rig struct {
	RigPlan
	group  *cluster
	nodes  []*rigNode
	ready  *readiness
	client *http.Client
	events []FleetEvent // the rig's own: kills and stops
	mu     sync.Mutex
	loads  sync.WaitGroup
	ending context.CancelFunc
	ctx    context.Context
	seq    int
	closed sync.Once
	// ms from a change's first step to its being in force, by the instances' logs, as of the last History: the group's own
	// time stands between beats, so it can't tell.
	inForce map[uint64]float64
	stores  map[string]*Store // by zone
}

// rigBelow is a zone's service below: four workers and 8 ms a call, so 500 calls a second; cold a call takes twelve times
// as long, and 200 calls fill the cache.
const (
	belowWorkers = 4
	belowCost    = 8 * time.Millisecond
	belowCold    = 12
	belowFill    = 200
)

// rigNode is one node's process with its kernel.
type rigNode struct {
	r                   *Rig
	name, zone          string
	listen, front       string
	folder, config, ini string
	log                 *os.File
	cmd                 *exec.Cmd
	ended               chan struct{}
	kernel              *Kernel
	down, stopped       bool
}

// rigClasses are the reqs of a rig: light, so that a dozen nodes fit a small machine.
const rigClasses = `cores 4
tenants 2
class view work=2 share=70 tail=0 target=300 timeout=3000 value=1
class fill work=4 share=20 tail=0 target=500 timeout=3000 value=2
class submit work=5 share=10 tail=0 target=1000 timeout=5000 value=20
cheapest view
dearest submit`

// readiness is the platform's list: who said Ready within the last three seconds.
type readiness struct {
	mu   sync.Mutex
	said map[string]time.Time // ready, and when it said so last
	ln   net.Listener
}

func newReadiness() (*readiness, error) {
	ln, err := net.Listen("tcp", loopback(7500))
	if err != nil {
		return nil, err
	}
	p := &readiness{said: map[string]time.Time{}, ln: ln}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var said struct {
			Condition string `json:"condition"`
		}
		json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&said)
		p.mu.Lock()
		if name := filepath.Base(r.URL.Path); said.Condition == "Ready" {
			p.said[name] = time.Now()
		} else {
			delete(p.said, name)
		}
		p.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	}))
	return p, nil
}

func (p *readiness) is(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.said[name]
	return ok && time.Since(t) < 3*time.Second
}

// NewRig starts a group and its nodes and waits until all nodes serve.
func NewRig(ctx context.Context, plan RigPlan) (*Rig, error) {
	r := &Rig{RigPlan: plan, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 5 * time.Second, DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext}}}
	r.ctx, r.ending = context.WithCancel(ctx)
	if err := r.startAll(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// startAll starts the group, then the nodes, and waits until all of them serve.
func (r *Rig) startAll(ctx context.Context) (err error) {
	extra := "[log]\nform = json\n"
	if r.group, err = newCluster(ctx, r.Program, r.Dir, r.Instances, extra, WithoutEnv+"="+r.Without); err != nil {
		return err
	}
	if r.ready, err = newReadiness(); err != nil {
		return err
	}
	if err = r.await(time.Minute, func() error {
		v, err := r.Policy()
		if err == nil && v.Level < consensus.LevelFleet {
			err = fmt.Errorf("the group is at level %d", v.Level)
		}
		return err
	}); err != nil {
		return err
	}
	for i := 0; i < r.RigPlan.Nodes; i++ {
		n, err := r.add(i)
		if err != nil {
			return err
		}
		if err = n.start(); err != nil {
			return err
		}
	}
	return r.AllServe(0, time.Minute)
}

// WithoutEnv names guards that processes of a rig leave out.
const WithoutEnv = "UMBERWINCH_WITHOUT"

// Close ends all processes.
func (r *Rig) Close() { r.closed.Do(r.close) }

func (r *Rig) close() {
	r.ending()
	r.loads.Wait()
	for _, n := range r.nodes {
		n.Kill()
		n.kernel.Close()
		n.log.Close()
	}
	for _, s := range r.stores { // each is ended alone
		s.Close()
	}
	if r.group != nil {
		r.group.close()
	}
	if r.ready != nil {
		r.ready.ln.Close()
	}
	r.client.CloseIdleConnections()
}

func (r *Rig) add(i int) (*rigNode, error) {
	n := &rigNode{r: r, name: fmt.Sprintf("n%d", i+1), zone: fmt.Sprintf("z%d", 1+i%3), listen: loopback(8080)}
	s, err := readScenario("fleet", rigClasses)
	if err != nil {
		return nil, err
	}
	if n.kernel, err = NewKernel(loopback(7400), r.Seed+int64(i), float64(s.cores), s.classes,
		5*time.Millisecond); err != nil {
		return nil, err
	}
	store, at := "", ""
	if r.Below {
		n.kernel.calls = true
		if r.stores == nil {
			r.stores = map[string]*Store{}
		}
		if r.stores[n.zone] == nil {
			if r.stores[n.zone], err = NewStore(loopback(9042), r.Seed+int64(i), belowWorkers, belowCost, belowCold,
				belowFill); err != nil {
				return nil, err
			}
		}
		store = r.stores[n.zone].ln.Addr().String()
		peers, err := r.group.board.between("peers", n.name, n.listen)
		if err != nil {
			return nil, err
		}
		at = "at = " + peers + "\n"
	}
	if n.front, err = r.group.board.between("callers", n.name, n.listen); err != nil {
		return nil, err
	}
	var control []string
	for _, p := range r.group.procs {
		at, err := r.group.board.between(n.name, p.name, p.listen)
		if err != nil {
			return nil, err
		}
		control = append(control, at)
	}
	classes := s.classes
	if r.Odd == i+1 {
		classes = append(append([]vclass{}, s.classes[0]), s.classes[2])
	}
	raw, err := nodeConfig(n.name, n.listen, n.kernel.ln.Addr().String(), store, r.ready.ln.Addr().String(), s.cores, s.tenants,
		classes, "submit")
	if err != nil {
		return nil, err
	}
	n.config, n.ini = filepath.Join(r.Dir, n.name+".json"), filepath.Join(r.Dir, n.name+".ini")
	if err = os.WriteFile(n.config, raw, 0o600); err != nil {
		return nil, err
	}
	folder := ""
	if r.Folders {
		n.folder = filepath.Join(r.Dir, n.name)
		if err = os.MkdirAll(n.folder, 0o700); err != nil {
			return nil, err
		}
		folder = "folder = " + n.folder + "\n"
	}
	if err = os.WriteFile(n.ini, []byte(fmt.Sprintf("[log]\nform = json\n[fleet]\ncontrol = %s\nzone = %s\n%s%s",
		strings.Join(control, ", "), n.zone, at, folder)), 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.OpenFile(filepath.Join(r.Dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY,
		0o600); err != nil {
		return nil, err
	}
	r.nodes = append(r.nodes, n)
	return n, nil
}

// nodeCommand runs a node: by the program beside umberctl, or by umberctl's hidden command.
func nodeCommand(umberctl string) *exec.Cmd {
	if program := filepath.Join(filepath.Dir(umberctl), "umberwinch"); fileThere(program) {
		return exec.Command(program)
	}
	return exec.Command(umberctl, "node")
}

func fileThere(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// start runs the node's program.
func (n *rigNode) start() error {
	n.cmd = nodeCommand(n.r.Program)
	n.cmd.Stderr = n.log
	n.cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.config, "UMBERWINCH_FILE="+n.ini, WithoutEnv+"="+n.r.Without)
	n.ended, n.down, n.stopped = make(chan struct{}), false, false
	if err := n.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		n.r.event("stops", n.name)
		close(ended)
		if n.r.Keep {
			select {
			case <-n.r.ctx.Done():
			case <-time.After(2 * time.Second): // the platform's pace
				n.r.mu.Lock()
				down := n.down
				n.r.mu.Unlock()
				if !down && n.r.ctx.Err() == nil {
					n.start()
				}
			}
		}
	}(n.cmd, n.ended)
	return nil
}

func (r *Rig) event(kind, node string) {
	r.mu.Lock()
	r.events = append(r.events, FleetEvent{At: time.Now().UnixMicro() / 100, Kind: kind, Node: node})
	r.mu.Unlock()
}

// Kill ends a node as kill -9 does, and keeps it down.
func (n *rigNode) Kill() {
	n.r.mu.Lock()
	n.down = true
	n.r.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Kill()
		<-n.ended
	}
}

// Start begins a node that is down.
func (n *rigNode) Start() error { return n.start() }

// Drain ends it with the platform's notice, and keeps it down.
func (n *rigNode) Drain() {
	n.r.mu.Lock()
	n.down = true
	n.r.mu.Unlock()
	n.cmd.Process.Signal(syscall.SIGTERM)
}

// Stop has it stand still, Go on go on as if nothing was.
func (n *rigNode) Stop() {
	n.cmd.Process.Signal(syscall.SIGSTOP)
	n.stopped = true
	n.r.event("pause", n.name)
}

func (n *rigNode) GoOn() {
	n.r.event("resume", n.name)
	n.stopped = false
	n.cmd.Process.Signal(syscall.SIGCONT)
}

// sleep waits, unless the rig ends.
func (r *Rig) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(d):
	}
}

func (r *Rig) await(within time.Duration, holds func() error) error {
	var err error
	for end := time.Now().Add(within); time.Now().Before(end) && r.ctx.Err() == nil; {
		if err = holds(); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("not within %v: %w", within, errors.Join(err, r.ctx.Err()))
}

// ask brings something to any instance that answers.
func (r *Rig) ask(method, path string, in, out any) (int, error) {
	var last error
	for _, p := range r.group.procs {
		ctx, cancel := context.WithTimeout(r.ctx, 2*time.Second)
		code, err := r.group.call(ctx, method, p.listen, path, in, out)
		cancel()
		if err == nil {
			return code, nil
		}
		last = err
	}
	return 0, last
}

// Policy gives the leader's view.
func (r *Rig) Policy() (*consensus.PolicyView, error) {
	var v consensus.PolicyView
	if _, err := r.ask(http.MethodGet, "/v1/policy", nil, &v); err != nil {
		return nil, err
	}
	if !v.Leads {
		return nil, errors.New("no leader answered")
	}
	return &v, nil
}

// Nodes gives the leader's list.
func (r *Rig) Nodes() (map[string]consensus.NodeView, error) {
	var all []consensus.NodeView
	if _, err := r.ask(http.MethodGet, "/v1/nodes", nil, &all); err != nil {
		return nil, err
	}
	out := map[string]consensus.NodeView{}
	for _, n := range all {
		out[n.Name] = n
	}
	return out, nil
}

// AllServe waits until every node that is up serves under a version, and is ready by the platform's list.
func (r *Rig) AllServe(version uint64, within time.Duration) error {
	return r.await(within, func() error {
		all, err := r.Nodes()
		if err != nil {
			return err
		}
		for _, n := range r.nodes {
			if n.down || n.stopped {
				continue
			}
			v, ok := all[n.name]
			switch {
			case !ok || v.Out != "" || !v.Heard:
				return fmt.Errorf("%s is not in: %q", n.name, v.Out)
			case v.Fenced != "" || v.Serves != version:
				return fmt.Errorf("%s serves under version %d, fenced %q, expected version %d", n.name, v.Serves, v.Fenced,
					version)
			case !r.ready.is(n.name):
				return fmt.Errorf("%s is not ready by the list", n.name)
			}
		}
		return nil
	})
}

// Put makes a text the group's next version.
func (r *Rig) Put(text string) (uint64, error) {
	r.seq++
	var a consensus.Answer
	err := r.await(10*time.Second, func() error {
		var s consensus.Report
		if _, err := r.ask(http.MethodGet, "/v1/status", nil, &s); err != nil {
			return err
		}
		p := consensus.Put{Session: fmt.Sprintf("rig-%d-%d", r.Seed, r.seq), Seq: 1, Base: s.Version, Author: "lab", Text: text}
		_, err := r.ask(http.MethodPut, "/v1/config", p, &a)
		if err == nil && a.End == consensus.Conflict {
			r.seq++
			err = fmt.Errorf("%s", a.Reason)
		}
		return err
	})
	if err == nil && a.End != consensus.Taken {
		err = fmt.Errorf("the version is %s: %s", a.End, a.Reason)
	}
	return a.Version, err
}

// Propose begins a change to a text, and gives its number and version.
func (r *Rig) Propose(text string, p policy.Propose) (number, version uint64, err error) {
	if version, err = r.Put(text); err != nil {
		return 0, 0, err
	}
	p.Version, p.Author, p.Key = version, "lab", fmt.Sprintf("rig-%d-%08d", r.Seed, version)
	if p.Within == 0 {
		p.Within = 15_000
	}
	err = r.await(10*time.Second, func() error {
		var res struct {
			policy.Result
			Error string `json:"error"`
		}
		code, err := r.ask(http.MethodPost, "/v1/policy", policy.Op{Kind: "propose", Propose: &p}, &res)
		if err == nil && code != http.StatusOK {
			err = errors.New(res.Error)
		}
		number = res.Number
		return err
	})
	return number, version, err
}

// Step waits until a change is at one of some steps.
func (r *Rig) Step(number uint64, within time.Duration, steps ...string) (*policy.Change, error) {
	var c *policy.Change
	err := r.await(within, func() error {
		v, err := r.Policy()
		if err != nil {
			return err
		}
		c = nil
		for _, o := range append(v.Past, v.Now) {
			if o != nil && o.Number == number {
				c = o
			}
		}
		if c == nil {
			return fmt.Errorf("change %d is not known", number)
		}
		for _, s := range steps {
			if c.Step == s {
				return nil
			}
		}
		return fmt.Errorf("change %d is %s (%s; waits %v), expected %v", number, c.Step, c.Why, v.Waits, steps)
	})
	return c, err
}

// Prepared waits until the leader heard from a node that it prepared a version.
func (r *Rig) Prepared(node string, version uint64) error {
	return r.await(10*time.Second, func() error {
		all, err := r.Nodes()
		if err == nil && all[node].Prepared != version {
			err = fmt.Errorf("%s has not prepared version %d", node, version)
		}
		return err
	})
}

// cut parts nodes from all instances, both ways; heal ends every trouble of the lines.
func (r *Rig) cut(nodes ...*rigNode) { r.lines(lineFault{cut: true}, nodes...) }

// lines does something to the lines between nodes and instances, in the direction asked for by each fault.
func (r *Rig) lines(f lineFault, nodes ...*rigNode) {
	for _, n := range nodes {
		for _, p := range r.group.procs {
			r.group.board.set(n.name, p.name, f)
		}
	}
}

func (r *Rig) heal() { r.group.board.heal() }

// zoned gives the nodes of a zone.
func (r *Rig) zoned(zone string) (out []*rigNode) {
	for _, n := range r.nodes {
		if n.zone == zone {
			out = append(out, n)
		}
	}
	return out
}

// killLeader ends the leader's process and gives it, to be started again.
func (r *Rig) killLeader() (*proc, error) {
	var p *proc
	if err := r.await(10*time.Second, func() error {
		if p = r.group.leader(); p == nil {
			return errors.New("no leader")
		}
		return nil
	}); err != nil {
		return nil, err
	}
	r.group.kill(p)
	return p, nil
}

// ---- Callers.

// Calls is what became of callers' reqs.
type Calls struct {
	mu                              sync.Mutex
	Asked, Done, Shed, Lost, Errors int
	Tries                           int
	Times                           []float64 // ms of those done
	Each                            []Answered
}

// Answered is one req that a node answered.
type Answered struct {
	At    time.Time
	Node  *rigNode
	Code  int // 0: it had no answer
	Value float64
	Good  bool // done within its target
	Tries int
}

func (c *Calls) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("asked %d, done %d, shed %d, lost %d, errored %d, tries %d", c.Asked, c.Done, c.Shed, c.Lost, c.Errors,
		c.Tries)
}

// quantile gives a time that a share of reqs was done within.
func (c *Calls) quantile(q float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Times) == 0 {
		return 0
	}
	sort.Float64s(c.Times)
	return c.Times[min(len(c.Times)-1, int(q*float64(len(c.Times))))]
}

// Load sends reqs at a rate until the context ends, each to a node that the list says is ready, and elsewhere when it
// is turned away: so a req is lost only if nobody answered it in its time.
func (r *Rig) Load(ctx context.Context, rate float64) *Calls {
	c := &Calls{}
	s, _ := readScenario("fleet", rigClasses)
	chance := rand.New(rand.NewSource(r.Seed))
	r.loads.Add(1)
	go func() {
		defer r.loads.Done()
		var open sync.WaitGroup
		defer open.Wait()
		next := time.Now()
		for i := 0; ; i++ {
			next = next.Add(time.Duration(chance.ExpFloat64() / rate * float64(time.Second)))
			select {
			case <-ctx.Done():
				return
			case <-r.ctx.Done():
				return
			case <-time.After(time.Until(next)):
			}
			class, tenant, first := pickClass(s, chance.Float64()), chance.Intn(s.tenants), chance.Intn(len(r.nodes))
			open.Add(1)
			go func() { defer open.Done(); r.call(c, &s.classes[class], class == s.dearest, tenant, first) }()
		}
	}()
	return c
}

func pickClass(s *scenario, at float64) int {
	sum := 0.0
	for k := range s.classes {
		sum += s.classes[k].rate
	}
	for k := range s.classes {
		if at -= s.classes[k].rate / sum; at < 0 {
			return k
		}
	}
	return 0
}

// A caller asks three nodes at once, one after the other, then waits before each further try, twice as long each time from 30 ms:
// nine tries in the 3 s that most reqs have. Without a pace callers take the cores that a fleet which is
// down needs to come up, where machines are short of them.
const (
	maxTries = 20 // of those that are Eager; the others' time is over before
	atOnce   = 3
	firstGap = 30 * time.Millisecond
)

// call is one req with its tries.
func (r *Rig) call(c *Calls, class *vclass, keyed bool, tenant, first int) {
	began := time.Now()
	end := began.Add(time.Duration(class.handler.Timeout) * 100 * time.Microsecond)
	key := ""
	if keyed {
		key = newKey()
	}
	code, tries := 0, 0
	var last *rigNode
	sender := first*131 + tenant*17 + int(began.UnixNano()>>10)%64
	gap := firstGap
	for k := 0; tries < maxTries && time.Now().Before(end) && code != http.StatusOK; k++ {
		if k > 0 && k%len(r.nodes) == 0 {
			time.Sleep(firstGap) // the list was gone through once
		}
		n := r.nodes[(first+k)%len(r.nodes)]
		if !r.ready.is(n.name) || r.Odd == (first+k)%len(r.nodes)+1 && class.name == "fill" {
			continue
		}
		if keyed && tries > 0 && code != http.StatusServiceUnavailable {
			break // it may have run: elsewhere it would run again
		}
		if tries >= atOnce && !r.Eager {
			if gap > time.Until(end) {
				break // the next try would be for nobody
			}
			time.Sleep(gap)
			gap *= 2
		}
		ctx, cancel := context.WithDeadline(context.Background(), end)
		var told time.Duration
		code, told = tryReq(ctx, r.client, n.front, class.name, tenant, sender, key, tries > 0)
		cancel()
		tries++
		last = n
		if r.Patient && code == http.StatusServiceUnavailable {
			time.Sleep(min(told, time.Until(end)))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Asked++
	c.Tries += tries
	if r.Below {
		good := time.Since(began) <= time.Duration(class.handler.Target)*100*time.Microsecond && code == http.StatusOK
		c.Each = append(c.Each, Answered{time.Now(), last, code, class.handler.Value, good, tries})
	}
	switch {
	case code == 0 && tries == 0: // nobody was ready in all its time
		c.Shed++
	}
	switch code {
	case http.StatusOK:
		c.Done++
		c.Times = append(c.Times, float64(time.Since(began).Microseconds())/1000)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.Shed++
	case 0:
		c.Lost += min(tries, 1)
	default:
		c.Errors++
	}
}

// ---- The history.

// logLines reads a log of JSON lines; times are tenths of a ms.
func logLines(file string, take func(at int64, m map[string]any)) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		var m map[string]any
		if json.Unmarshal(s.Bytes(), &m) != nil {
			continue // a line that was being written when its process was killed, or a crash's
		}
		word, _ := m["time"].(string)
		t, err := time.Parse("2006-01-02T15:04:05.000Z07:00", word)
		if err != nil {
			continue
		}
		take(t.UnixMicro()/100, m)
	}
	return s.Err()
}

// History reads what happened from the logs of all processes.
func (r *Rig) History() ([]FleetEvent, error) {
	var all []FleetEvent
	lines := logLines
	type step struct {
		number float64
		name   string
	}
	first := map[step]FleetEvent{}
	var order []step
	if err := lines(filepath.Join(r.Dir, "instances.log"), func(at int64, m map[string]any) {
		if m["msg"] != "change of policy" {
			return
		}
		number, _ := m["change"].(float64)
		version, _ := m["version"].(float64)
		from, _ := m["from"].(float64)
		excl, _ := m["exclusive"].(bool)
		name, _ := m["step"].(string)
		k := step{number, name}
		if e, there := first[k]; !there || at < e.At {
			if !there {
				order = append(order, k)
			}
			first[k] = FleetEvent{At: at, Version: uint64(version), From: uint64(from), Excl: excl}
		}
	}); err != nil {
		return nil, err
	}
	r.inForce = map[uint64]float64{}
	for _, k := range order {
		e := first[k]
		if begun, there := first[step{k.number, policy.Preparing}]; there && k.name == policy.InForce {
			r.inForce[uint64(k.number)] = float64(e.At-begun.At) / 10
		}
		switch k.name {
		case policy.Held:
			e.Kind = "decided"
			all = append(all, e)
		case policy.InForce:
			if _, held := first[step{k.number, policy.Held}]; !held {
				e.Kind = "decided"
				all = append(all, e)
			}
			e.Kind = "forced"
			all = append(all, e)
		case policy.Settled, policy.CalledOff:
			e.Kind = map[string]string{policy.Settled: "settled", policy.CalledOff: "off"}[k.name]
			all = append(all, e)
		}
	}
	r.mu.Lock()
	own := append([]FleetEvent(nil), r.events...)
	r.mu.Unlock()
	for _, n := range r.nodes {
		var told []FleetEvent
		if err := lines(filepath.Join(r.Dir, n.name+".log"), func(at int64, m map[string]any) {
			msg, _ := m["msg"].(string)
			e := FleetEvent{At: at, Node: n.name}
			switch {
			case strings.HasPrefix(msg, "fleet: fenced"):
				e.Kind = "stops"
			case strings.HasPrefix(msg, "fleet: serves under version "):
				e.Kind = "serves"
				fmt.Sscanf(msg, "fleet: serves under version %d", &e.Version)
			case strings.HasPrefix(msg, "fleet: version ") && strings.HasSuffix(msg, " taken over"):
				e.Kind = "takes"
				fmt.Sscanf(msg, "fleet: version %d taken over", &e.Version)
			default:
				return
			}
			told = append(told, e)
		}); err != nil {
			return nil, err
		}
		for _, e := range own {
			if e.Node == n.name {
				told = append(told, e)
			}
		}
		all = append(all, nodeHistory(told)...)
	}
	return all, nil
}

// settle is within which a process that goes on has said that its first round fenced it, in tenths of a ms: a busy
// machine may let it wait for a core.
const settle = 10_000

// nodeHistory makes spans of service of what a node's log and the rig said: a process that stands still serves nothing,
// and one that goes on serves what it did unless its first round fenced it.
func nodeHistory(told []FleetEvent) (out []FleetEvent) {
	sort.SliceStable(told, func(i, k int) bool { return told[i].At < told[k].At })
	serves, under, before := false, uint64(0), false
	say := func(at int64, kind string) {
		out = append(out, FleetEvent{At: at, Kind: kind, Node: told[0].Node, Version: under})
	}
	for _, e := range told {
		switch e.Kind {
		case "serves":
			serves, under = true, e.Version
			say(e.At, "serves")
		case "takes":
			if under = e.Version; serves {
				say(e.At, "serves")
			}
		case "stops":
			if serves {
				say(e.At, "stops")
			}
			serves = false
		case "pause":
			if before = serves; serves {
				say(e.At, "stops")
			}
			serves = false
		case "resume":
			if !before {
				continue
			}
			fenced := false
			for _, o := range told { // logs have whole ms: a line may seem to come before what brought it about
				fenced = fenced || o.Kind == "stops" && o.At > e.At-10 && o.At <= e.At+settle
			}
			if !fenced {
				serves = true
				say(e.At+10, "serves")
			}
		}
	}
	return out
}

// Check holds what happened against the promises.
func (r *Rig) Check(p FleetPromises) (overlap int64, err error) {
	h, err := r.History()
	if err != nil {
		return 0, err
	}
	broken, overlap := CheckFleet(h, p)
	if broken != "" {
		return overlap, errors.New(broken)
	}
	return overlap, nil
}

// tail gives the end of a process's log, for a failure's report.
func (r *Rig) tail(name string, n int) string {
	raw, err := os.ReadFile(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(raw), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-n):], []byte("\n")))
}
