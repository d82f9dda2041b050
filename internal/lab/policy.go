package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"umberwinch/internal/consensus"
	"umberwinch/internal/fleet"
	"umberwinch/internal/member"
	"umberwinch/internal/policy"
)

// Policy is a run of `umberctl lab policy`.
type Policy struct {
	Seed      int64
	Quick     bool
	Size      int // nodes of the real part
	Out       string
	Without   policy.Guard
	Words     string // the guards, as words for processes
	Mode      string // virtual, real or both
	Schedules int
	Changes   int
	Program   string
	Only      string // one case
	Part      int    // of Parts: which of the cases, for runs side by side; 0 of 0 for all
	Parts     int
}

// Numbers of the two modes. Quick ends within 50 s on four cores.
const (
	quickFleets  = 200
	longFleets   = 2000
	quickChanges = 10
	longChanges  = 100
)

// realLease is the lease of the real part's policies: short, so that what waits for one ends soon, and long beside a
// failover of the group.
const realLease = 2 * time.Second

// Run plays virtual schedules and large fleets, then processes, and reports.
func (r *Policy) Run(ctx context.Context, w io.Writer) (*Report, error) {
	rep := &Report{Name: "policy", Title: "A change of policy everywhere or nowhere",
		Head: []string{"PART", "NODES", "CHANGES", "SETTLED", "CALLED OFF", "MEDIAN", "99TH", "WORST", "OVERLAP"}}
	rep.Add("seed", "%d", r.Seed)
	if r.Mode != "real" {
		r.virtual(ctx, rep)
		if rep.Broken == "" && r.Without == 0 {
			r.large(rep)
		}
	}
	if r.Mode != "virtual" && rep.Broken == "" {
		if err := r.real(ctx, w, rep); err != nil {
			return nil, err
		}
	}
	return rep.end(r.Out, w)
}

// span gives the quantiles of times as a table's cells.
func span(times []float64) []string {
	sort.Float64s(times)
	at := func(q float64) string {
		if len(times) == 0 {
			return "-"
		}
		return fmt.Sprintf("%.0f ms", times[min(len(times)-1, int(q*float64(len(times))))])
	}
	return []string{at(0.5), at(0.99), at(1)}
}

func (r *Policy) row(rep *Report, part string, nodes, changes int, ends map[string]int, times []float64, overlap int64) {
	rep.Rows = append(rep.Rows, append(append([]string{part, strconv.Itoa(nodes), strconv.Itoa(changes),
		strconv.Itoa(ends[policy.Settled]), strconv.Itoa(ends[policy.CalledOff])}, span(times)...),
		fmt.Sprintf("%.0f ms", float64(overlap)/10)))
}

// virtual plays schedules of faults on all cores, each from a seed of its own.
func (r *Policy) virtual(ctx context.Context, rep *Report) {
	n := r.Schedules
	if n == 0 {
		if n = longFleets; r.Quick {
			n = quickFleets
		}
	}
	ends, causes, bad, first := map[string]int{}, map[string]int{}, 0, int64(-1)
	var times []float64
	var overlap int64
	why := ""
	eachSeed(ctx, r.Seed*1_000_000, n, func(s int64) *VFleet {
		f := NewVFleet(FleetPlan{Seed: s, Nodes: 9 + int(s%7), Ctl: 3 + 2*int(s%2), Changes: 5, Without: r.Without})
		f.Play()
		return f
	}, func(s int64, f *VFleet) bool {
		for k, v := range f.Ends {
			ends[k] += v
		}
		for k, v := range f.Causes {
			causes[k] += v
		}
		times, overlap = append(times, f.Times...), max(overlap, f.Overlap)
		if f.Broken != "" {
			if bad++; first < 0 || s < first {
				first, why = s, f.Broken
			}
		}
		return false
	})
	changes := ends[policy.Settled] + ends[policy.CalledOff]
	r.row(rep, "virtual, faults", 12, changes, ends, times, overlap)
	rep.Add("schedules", "%d", n)
	rep.Add("changes", "%d", changes)
	rep.Add("broken", "%d", bad)
	for _, c := range []string{"a node said no", "not prepared in time", "by the operator"} {
		rep.Notes = append(rep.Notes, fmt.Sprintf("virtual, faults: called off, %s: %d of %d", c, causes[c],
			ends[policy.CalledOff]))
	}
	if bad > 0 {
		rep.Break("seed %d of %d broken schedules: %s", first, bad, why)
	}
}

// large plays fleets of the full size, calm and with a third down, and beside them the two baselines: telling each node
// as it comes, and a majority of nodes.
func (r *Policy) large(rep *Report) {
	sizes := []int{300, 5000}
	if r.Quick {
		sizes = []int{300}
	}
	for _, n := range sizes {
		for _, c := range []struct {
			part string
			down float64
			way  string
		}{{"calm", 0, ""}, {"a third down", 0.33, ""}, {"a third down, each as it comes", 0.33, WayEach},
			{"a third down, majority", 0.33, WayMajority}} {
			started := time.Now()
			f := NewVFleet(FleetPlan{Seed: r.Seed, Nodes: n, Ctl: 3, Changes: 3, Calm: true, Down: c.down, Way: c.way,
				Lease: 10_000, Span: 60_000})
			f.Play()
			if f.Broken != "" {
				rep.Break("%d nodes, %s: %s", n, c.part, f.Broken)
			}
			r.row(rep, "virtual, "+c.part, n, len(f.Times), f.Ends, f.Times, f.Overlap)
			if c.way == "" {
				seconds := f.now / 1000
				rep.Notes = append(rep.Notes, fmt.Sprintf("%d nodes, %s: %.1f askings, %.2f entries and %.1f KB of them a "+
					"second; played in %v", n, c.part, float64(f.Asks)/seconds, float64(f.Entries)/seconds,
					float64(f.Bytes)/1024/seconds, time.Since(started).Round(time.Millisecond)))
			}
		}
	}
}

// policyText is a version's text; n makes each another.
func policyText(lease time.Duration, alone string, n int, more string) string {
	return fmt.Sprintf("[fleet]\nlease = %v\nwhen_alone = %s\n[tenant t0]\nrate = %d\n%s", lease, alone, 1000+n, more)
}

// bench is a rig under load, for the cases.
type bench struct {
	*Rig
	n     int // texts made so far
	force uint64
	lease time.Duration
	alone string
	more  string // that all its texts have
}

func (b *bench) text(more string) string {
	b.n++
	return policyText(b.lease, b.alone, b.n, b.more+more)
}

// change makes a change and waits until it is settled and all that are up serve under it.
func (b *bench) change(p policy.Propose) (*policy.Change, error) {
	number, version, err := b.Propose(b.text(""), p)
	if err != nil {
		return nil, err
	}
	return b.settled(number, version)
}

func (b *bench) settled(number, version uint64) (*policy.Change, error) {
	c, err := b.Step(number, 30*time.Second, policy.Settled, policy.CalledOff)
	if err != nil {
		return c, err
	}
	if c.Step != policy.Settled {
		return c, fmt.Errorf("change %d was called off: %s", number, c.Why)
	}
	b.force = version
	return c, b.AllServe(version, 20*time.Second)
}

// off waits until a change is called off, and holds the fleet to serving on under the older version.
func (b *bench) off(number uint64) (*policy.Change, error) {
	c, err := b.Step(number, 40*time.Second, policy.Settled, policy.CalledOff)
	if err != nil {
		return c, err
	}
	if c.Step != policy.CalledOff {
		return c, fmt.Errorf("change %d is settled, expected it called off", number)
	}
	return c, b.AllServe(b.force, 20*time.Second)
}

// callOff has an operator call a change off, and gives why it was not.
func (b *bench) callOff(number uint64) (no string, err error) {
	var res struct {
		Error string `json:"error"`
	}
	_, err = b.ask(http.MethodPost, "/v1/policy", policy.Op{Kind: "off", Number: number, By: "lab", Why: "on second thoughts"},
		&res)
	return res.Error, err
}

// one sends one req to one node.
func (b *bench) one(name string) (code int, backOff time.Duration, err error) {
	for _, n := range b.nodes {
		if n.name == name {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			code, backOff = tryReq(ctx, b.client, n.front, "view", 0, 0, "", false)
			return code, backOff, fmt.Errorf("%s answers %d", name, code)
		}
	}
	return 0, 0, fmt.Errorf("no node %s", name)
}

// failed is how a step of a case ends it.
type failed struct{ err error }

// must and got go on with a case where a step went well; played takes what did not for the case's end.
func must(err error) {
	if err != nil {
		panic(failed{err})
	}
}

func got[T any](v T, err error) T {
	must(err)
	return v
}

func played(run func()) (err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case failed:
			err = r.err
		default:
			panic(r)
		}
	}()
	run()
	return nil
}

// made is a change that was proposed.
type made struct{ number, version uint64 }

// proposes makes a change with more in its text than usual.
func (b *bench) proposes(more string, p policy.Propose) made {
	number, version, err := b.Propose(b.text(more), p)
	must(err)
	return made{number, version}
}

// held begins a change that one node does not get to prepare, so that it stays at the first step; others have prepared it.
func (b *bench) held(slow *rigNode, p policy.Propose, others ...*rigNode) made {
	b.lines(lineFault{deaf: "GET /v1/config"}, slow)
	c := b.proposes("", p)
	for _, n := range others {
		must(b.Prepared(n.name, c.version))
	}
	return c
}

// goesOn lets a node that was held take part again, and waits until the change stands at one of some steps.
func (b *bench) goesOn(slow *rigNode, c made, steps ...string) *policy.Change {
	b.lines(lineFault{}, slow)
	return got(b.Step(c.number, 30*time.Second, steps...))
}

// settles waits until a change has settled and all that are up serve under it; follows, until that is so of one that not all
// took part in, once they can again.
func (b *bench) settles(c made) *policy.Change { return got(b.settled(c.number, c.version)) }

func (b *bench) follows(c made) {
	got(b.Step(c.number, 30*time.Second, policy.Settled))
	b.heal()
	b.force = c.version
	b.allServe(c.version)
}

func (b *bench) allServe(version uint64) { must(b.AllServe(version, 60*time.Second)) }

// leaderLost kills the leader, has the others settle a change, and starts it again.
func (b *bench) leaderLost(c made) {
	p := got(b.killLeader())
	b.heal()
	b.settles(c)
	must(b.group.start(p, ""))
}

// others are the instances but the first: without them there is no majority.
func (b *bench) others(do func(p *proc)) {
	for _, p := range b.group.procs[1:] {
		do(p)
	}
}

func (b *bench) starts(p *proc) { must(b.group.start(p, "")) }

// policyCase is one hard case on processes.
type policyCase struct {
	name string
	run  func(b *bench)
	long bool // not with --quick
}

var policyCases = []policyCase{
	{name: "a change, and one without overlap", run: func(b *bench) {
		got(b.change(policy.Propose{}))
		got(b.change(policy.Propose{Exclusive: true}))
	}},
	{name: "killed before it prepared", run: func(b *bench) {
		n := b.nodes[0]
		c := b.held(n, policy.Propose{})
		n.Kill()
		b.heal()
		b.settles(c)
		must(n.Start())
		b.allServe(c.version)
	}},
	{name: "killed after it prepared", run: func(b *bench) {
		slow, n := b.nodes[1], b.nodes[0]
		c := b.held(slow, policy.Propose{}, n)
		n.Kill()
		b.heal()
		b.settles(c)
		must(n.Start())
		b.allServe(c.version)
	}},
	{name: "killed between the decision and being told", run: func(b *bench) {
		slow, n, cut := b.nodes[1], b.nodes[0], b.nodes[2]
		c := b.held(slow, policy.Propose{}, n, cut)
		b.lines(lineFault{muteBack: true}, n, cut) // neither hears any more, and the slow one goes on
		b.goesOn(slow, c, policy.InForce, policy.Settled)
		n.Kill() // the other one is fenced instead
		got(b.Step(c.number, 20*time.Second, policy.Settled))
		b.heal()
		must(n.Start())
		b.follows(c)
	}},
	{name: "stopped past its lease and continued", run: func(b *bench) {
		n := b.nodes[3%len(b.nodes)]
		n.Stop()
		defer func() {
			if n.stopped {
				n.GoOn()
			}
		}()
		c := got(b.change(policy.Propose{}))
		n.GoOn()
		b.allServe(c.Version)
	}},
	{name: "a zone cut off from the group, not from its callers", run: func(b *bench) {
		b.cut(b.zoned("z2")...)
		b.follows(b.proposes("", policy.Propose{}))
	}},
	{name: "one-way cuts", run: func(b *bench) {
		b.lines(lineFault{mute: true}, b.nodes[0])
		b.lines(lineFault{muteBack: true}, b.nodes[1])
		b.follows(b.proposes("", policy.Propose{}))
	}},
	{name: "the leader killed while nodes prepare", run: func(b *bench) {
		b.leaderLost(b.held(b.nodes[4%len(b.nodes)], policy.Propose{}, b.nodes[0]))
	}},
	{name: "the leader killed while it is held, without overlap", run: func(b *bench) {
		cut, slow := b.nodes[5%len(b.nodes)], b.nodes[1]
		c := b.held(slow, policy.Propose{Exclusive: true}, cut)
		b.lines(lineFault{muteBack: true}, cut)
		b.goesOn(slow, c, policy.Held, policy.InForce, policy.Settled)
		b.leaderLost(c)
	}},
	{name: "no majority in the middle, and back", run: func(b *bench) {
		c := b.held(b.nodes[1], policy.Propose{Within: 30_000})
		b.others(b.group.kill)
		time.Sleep(b.lease + b.lease/2) // past every lease
		b.heal()
		b.others(b.starts)
		b.settles(c)
	}},
	{name: "an instance that is slow, and the leader", run: func(b *bench) {
		p := b.group.leader()
		if p == nil {
			must(errors.New("no leader"))
		}
		for _, n := range b.nodes {
			b.group.board.set(n.name, p.name, lineFault{delay: time.Second})
		}
		got(b.change(policy.Propose{}))
	}},
	{name: "a node says no", run: func(b *bench) {
		c := got(b.off(b.proposes("[class fill]\nkind = replayable\nvalue = 2\nresponse_target = 500ms\nclient_timeout = 3s\n",
			policy.Propose{}).number))
		if !strings.Contains(c.Why, "class fill: found it in the policy") {
			must(fmt.Errorf("called off for %q, expected the odd node's no", c.Why))
		}
	}},
	{name: "a node never answers", run: func(b *bench) {
		got(b.off(b.held(b.nodes[0], policy.Propose{Within: 3000}).number))
	}},
	{name: "it is left behind, and comes after", run: func(b *bench) {
		b.follows(b.held(b.nodes[0], policy.Propose{Within: 3000, Spare: 1}))
	}},
	{name: "says prepared and forgets it", run: func(b *bench) {
		slow, n := b.nodes[1], b.nodes[0]
		c := b.held(slow, policy.Propose{}, n)
		n.Kill()
		must(n.Start())
		b.lines(lineFault{}, slow)
		b.settles(c)
	}},
	{name: "restarts in a loop", run: func(b *bench) {
		n := b.nodes[2]
		stop, done := make(chan struct{}), make(chan error, 1)
		go func() {
			for {
				select {
				case <-stop:
					done <- nil
					return
				case <-time.After(300 * time.Millisecond):
				}
				n.Kill()
				if err := n.Start(); err != nil {
					done <- err
					return
				}
			}
		}()
		c := made{}
		err := played(func() {
			c = b.proposes("", policy.Propose{Within: 20_000})
			got(b.Step(c.number, 30*time.Second, policy.Settled))
		})
		close(stop)
		must(errors.Join(err, <-done))
		b.follows(c)
	}},
	{name: "joins in the middle", run: func(b *bench) {
		n, slow := b.nodes[0], b.nodes[1]
		n.Kill()
		c := b.held(slow, policy.Propose{})
		must(n.Start())
		must(b.Prepared(n.name, c.version))
		b.heal()
		b.settles(c)
	}},
	{name: "drains in the middle", run: func(b *bench) {
		n, slow := b.nodes[0], b.nodes[1]
		c := b.held(slow, policy.Propose{})
		n.Drain()
		must(b.await(10*time.Second, func() error {
			all, err := b.Nodes()
			if err == nil && all[n.name].Out != fleet.Left {
				err = fmt.Errorf("%s is %q, expected %q", n.name, all[n.name].Out, fleet.Left)
			}
			return err
		}))
		b.heal()
		b.settles(c)
		<-n.ended
		must(n.Start())
		b.allServe(c.version)
	}},
	{name: "a version that would shed everything", run: func(b *bench) {
		more := ""
		for _, c := range []string{"view", "submit"} {
			more += fmt.Sprintf("[class %s]\nkind = %s\nretired = yes\nresponse_target = 300ms\nclient_timeout = 3s\n", c,
				map[string]string{"view": "replayable", "submit": "uniqued\nwindow = 20s"}[c])
		}
		if c := got(b.off(b.proposes(more, policy.Propose{}).number)); !strings.Contains(c.Why, "reqs of the trial were shed") {
			must(fmt.Errorf("called off for %q, expected the trial's finding", c.Why))
		}
	}},
	{name: "called off before it is decided, and not after", run: func(b *bench) {
		slow := b.nodes[1]
		c := b.held(slow, policy.Propose{})
		if no := got(b.callOff(c.number)); no != "" {
			must(fmt.Errorf("before it is decided: %s, expected it called off", no))
		}
		got(b.off(c.number))
		b.heal()
		c = b.held(slow, policy.Propose{}, b.nodes[0])
		b.lines(lineFault{}, slow)
		must(b.Prepared(slow.name, c.version))
		got(b.Step(c.number, 20*time.Second, policy.InForce, policy.Settled))
		if got(b.callOff(c.number)) == "" {
			must(errors.New("after it was decided: called off, expected a no"))
		}
		b.settles(c)
	}},
	{name: "its next incarnation hears nothing", run: func(b *bench) {
		// Under a lease that is long beside what a slow machine takes to go on, so that the change can't wait it out by chance.
		b.lease = 4 * realLease
		got(b.change(policy.Propose{}))
		b.lease = realLease // of the next one
		slow, n := b.nodes[1], b.nodes[0]
		c := b.held(slow, policy.Propose{Within: 30_000}, n)
		n.Kill()
		must(os.Remove(filepath.Join(n.folder, "policy.json"))) // it forgets what it prepared
		b.lines(lineFault{muteBack: true}, n)                   // it joins, and no answer reaches it
		before := got(b.Nodes())
		must(n.Start())
		must(b.await(10*time.Second, func() error {
			all, err := b.Nodes()
			if err == nil && all[n.name].Lease.ID == before[n.name].Lease.ID {
				err = fmt.Errorf("%s has not begun anew", n.name)
			}
			return err
		}))
		is := b.goesOn(slow, c, policy.InForce, policy.Settled)
		if v := got(b.Nodes())[n.name]; v.Since < is.Decided && (v.Out == "" || v.OutAt > is.Decided) {
			must(fmt.Errorf("decided at %d, and %s, in since %d and without the version, was out at %d", is.Decided, n.name,
				v.Since, v.OutAt))
		}
		b.heal()
		b.settles(c)
	}},
	{name: "an instance that is behind speaks to a node that starts", run: func(b *bench) {
		n := b.nodes[4%len(b.nodes)]
		var s consensus.Report
		got(b.ask(http.MethodGet, "/v1/status", nil, &s))
		var was consensus.Version
		got(b.ask(http.MethodGet, fmt.Sprintf("/v1/config?version=%d&read=stale", b.force), nil, &was))
		old := fleet.Named{Version: was.Number, Hash: was.Hash}
		says := got(json.Marshal(fleet.Told{Cluster: s.Cluster, Term: s.Term, Index: s.Applied, Lease: 1 << 30, LeaseMS: 60_000,
			Need: old.Version, Force: old, Again: 200}))
		c := got(b.change(policy.Propose{}))
		n.Kill()
		b.lines(lineFault{says: says}, n)
		must(n.Start())
		time.Sleep(b.lease)
		if code, _, _ := b.one(n.name); code == http.StatusOK {
			must(fmt.Errorf("%s serves by the word of an instance that is behind", n.name))
		}
		b.heal()
		n.Kill() // the one that lied is not asked for a minute
		must(n.Start())
		b.allServe(c.Version)
	}},
	{name: "a zone cut off from its callers, not from the group", run: func(b *bench) {
		for _, n := range b.zoned("z3") {
			b.group.board.set("callers", n.name, lineFault{cut: true})
		}
		c := got(b.change(policy.Propose{}))
		b.heal()
		b.allServe(c.Version)
	}},
	{name: "the leader killed before it has settled", run: func(b *bench) {
		cut, slow := b.nodes[5%len(b.nodes)], b.nodes[1]
		c := b.held(slow, policy.Propose{}, cut)
		b.lines(lineFault{muteBack: true}, cut)
		b.goesOn(slow, c, policy.InForce, policy.Settled)
		b.leaderLost(c)
	}},
	{name: "the leader kills itself at each step of its work", long: true, run: func(b *bench) {
		for _, point := range consensus.Points {
			for _, p := range b.group.procs { // started anew, so that a signal arms the crash
				b.group.kill(p)
				must(b.group.start(p, point))
				b.allServe(b.force)
			}
			c := b.held(b.nodes[2], policy.Propose{Exclusive: true})
			p := got(b.killLeader()) // by the step it is armed for
			b.heal()
			b.starts(p)
			if _, err := b.settled(c.number, c.version); err != nil {
				must(fmt.Errorf("at %s: %w", point, err))
			}
		}
	}},
	{name: "two in five down, back one by one, at first without the group", run: func(b *bench) {
		down := b.nodes[:2*len(b.nodes)/5]
		for _, n := range down {
			n.Kill()
		}
		c := got(b.change(policy.Propose{}))
		b.others(b.group.kill)
		must(down[0].Start())
		time.Sleep(b.lease)
		if code, _, _ := b.one(down[0].name); code == http.StatusOK {
			must(fmt.Errorf("%s serves, and nobody can have told it what is in force", down[0].name))
		}
		if b.ready.is(down[0].name) {
			must(fmt.Errorf("%s is ready by the list, and takes nothing", down[0].name))
		}
		b.others(b.starts)
		for _, n := range down[1:] {
			must(n.Start())
			b.allServe(c.Version)
		}
	}},
}

// OnlyLoad stands for the changes under load and the group asked by a fleet of the full size, without the cases.
const OnlyLoad = "load"

// PolicyCases names the cases.
func PolicyCases() (names []string) {
	names = append(names, OnlyLoad)
	for _, c := range policyCases {
		names = append(names, c.name)
	}
	return names
}

// begin starts a rig with a first policy.
func (r *Policy) begin(ctx context.Context, dir string, alone string) (*bench, error) {
	n := r.Size
	if n == 0 {
		n = 9
	}
	rig, err := NewRig(ctx, RigPlan{Program: r.Program, Dir: dir, Seed: r.Seed, Instances: 3, Nodes: n, Without: r.Words,
		Odd: n, Folders: true})
	if err != nil {
		return nil, err
	}
	b := &bench{Rig: rig, lease: realLease, alone: alone}
	if err = b.settleFirst(); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// settleFirst proposes the first version and waits until it is settled.
func (b *bench) settleFirst() error {
	number, version, err := b.Propose(b.text(""), policy.Propose{})
	if err == nil {
		_, err = b.settled(number, version)
	}
	return err
}

// promises of the real part: a lease as the group counts it, and some ms of logs and rounds.
func (b *bench) promises() FleetPromises {
	return FleetPromises{Overlap: int64(fleet.Span(uint64(b.lease.Milliseconds())))*10 + 2000, Fences: b.alone == "fence"}
}

// real plays the cases on processes, then many changes under load.
func (r *Policy) real(ctx context.Context, w io.Writer, rep *Report) error {
	dir, err := os.MkdirTemp("", "lab-policy-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	b, err := r.begin(ctx, dir, "fence")
	if err != nil {
		return err
	}
	defer b.Close()
	if r.Only == OnlyLoad {
		if err = r.many(ctx, b, rep); err != nil || rep.Broken != "" {
			return err
		}
		if err = r.fencing(ctx, b, rep); err != nil {
			return err
		}
		b.Close()
		return r.crowd(ctx, rep)
	}
	load, stop := context.WithCancel(ctx)
	calls := b.Load(load, 100)
	kept := 0
	for i, c := range policyCases {
		if r.Parts > 0 && i%r.Parts != r.Part {
			continue
		}
		if r.Only != "" && c.name != r.Only || r.Only == "" && c.long && r.Quick {
			continue
		}
		started := time.Now()
		err := played(func() { c.run(b) })
		b.heal()
		if err == nil {
			err = b.AllServe(b.force, 60*time.Second)
		}
		if err != nil {
			rep.Break("%s: %v", c.name, err)
			break
		}
		if _, err = b.Check(b.promises()); err != nil {
			rep.Break("%s: %v", c.name, err)
			break
		}
		kept++
		fmt.Fprintf(w, "%-55s kept, %.1f s\n", c.name, time.Since(started).Seconds())
	}
	stop()
	b.loads.Wait()
	rep.Add("cases", "%d", kept)
	rep.Notes = append(rep.Notes, fmt.Sprintf("cases, real: callers: %v", calls))
	if rep.Broken != "" || r.Only != "" {
		return nil
	}
	if err = r.many(ctx, b, rep); err != nil || r.Quick || rep.Broken != "" {
		return err
	}
	if err = r.fencing(ctx, b, rep); err != nil {
		return err
	}
	b.Close()
	return r.crowd(ctx, rep)
}

// fencing measures what it costs callers that a zone is cut off from the group and stops serving: the same load for as
// long, whole and cut.
func (r *Policy) fencing(ctx context.Context, b *bench, rep *Report) error {
	const span = 10 * time.Second
	for _, cut := range []bool{false, true} {
		if cut {
			b.cut(b.zoned("z2")...)
			time.Sleep(b.lease + b.lease/2)
		}
		load, stop := context.WithTimeout(ctx, span)
		calls := b.Load(load, 200)
		b.loads.Wait()
		stop()
		what := map[bool]string{false: "whole", true: "zone_cut"}[cut]
		rep.Add(what+"_done_of", "%d/%d", calls.Done, calls.Asked)
		rep.Add(what+"_tries_each", "%.3f", float64(calls.Tries)/float64(max(1, calls.Asked)))
		rep.Add(what+"_ms_99th", "%.0f", calls.quantile(0.99))
	}
	b.heal()
	return b.AllServe(b.force, 20*time.Second)
}

// crowdNodes is the fleet that a group of processes is asked by, played by as many members in this one.
const crowdNodes = 5000

// crowd measures what a fleet of the full size costs the group: processes of the control service, asked by members over
// sockets, each with a connection of its own.
func (r *Policy) crowd(ctx context.Context, rep *Report) error {
	dir, err := os.MkdirTemp("", "lab-policy-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := newCluster(ctx, r.Program, dir, 3, "")
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	m := &crowd{c: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: crowdNodes, MaxIdleConns: 3 * crowdNodes}},
		began: time.Now()}
	defer m.client.CloseIdleConnections()
	stop := m.begin(ctx, 1, 10*time.Second)
	defer func() { stop() }()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(25 * time.Second):
	}
	const span = 20 * time.Second
	leader := c.leader()
	if leader == nil {
		return errors.New("no leader")
	}
	view := func() (v consensus.PolicyView, err error) {
		_, err = c.call(ctx, http.MethodGet, leader.listen, "/v1/policy", nil, &v)
		return v, err
	}
	was, err := view()
	if err != nil {
		return err
	}
	cpu, err := cpuOf(leader.pid())
	if err != nil {
		return err
	}
	m.asked.Store(0)
	m.lost.Store(0)
	time.Sleep(span)
	is, err := view()
	if err != nil {
		return err
	}
	after, err := cpuOf(leader.pid())
	if err != nil {
		return err
	}
	rep.Add("crowd_nodes", "%d", is.In)
	rep.Add("crowd_askings_per_s", "%.0f", float64(m.asked.Load())/span.Seconds())
	rep.Add("crowd_entries_per_s", "%.2f", float64(is.Beats-was.Beats)/span.Seconds())
	rep.Add("crowd_kb_per_s", "%.1f", float64(is.Bytes-was.Bytes)/1024/span.Seconds())
	rep.Add("crowd_leader_cores", "%.2f", (after-cpu).Seconds()/span.Seconds())
	rep.Add("crowd_lost", "%d", m.lost.Load())
	if is.In != crowdNodes || m.lost.Load() > m.asked.Load()/100 {
		rep.Break("a group asked by %d nodes has %d in, and %d of %d askings were lost", crowdNodes, is.In, m.lost.Load(),
			m.asked.Load())
		return nil
	}
	// All nodes and the group are killed, and come back within a second of each other.
	stop()
	for _, p := range c.procs {
		c.kill(p)
	}
	m.client.CloseIdleConnections()
	back := time.Now()
	for _, p := range c.procs {
		if err := c.start(p, ""); err != nil {
			return err
		}
	}
	stop = m.begin(ctx, 2, time.Second)
	leads, peak, before := time.Duration(0), int64(0), m.asked.Load()
	for m.in.Load() < crowdNodes && time.Since(back) < time.Minute && ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		now := m.asked.Load()
		peak, before = max(peak, now-before), now
		if leads == 0 && c.leader() != nil {
			leads = time.Since(back)
		}
	}
	all := time.Since(back)
	if leader = c.leader(); leader == nil {
		return errors.New("no leader")
	}
	after, err = cpuOf(leader.pid())
	if err != nil {
		return err
	}
	rep.Add("restart_leads_ms", "%d", leads.Milliseconds())
	rep.Add("restart_all_in_ms", "%d", all.Milliseconds())
	rep.Add("restart_askings_per_s_peak", "%d", 10*peak)
	rep.Add("restart_leader_cpu_s", "%.2f", after.Seconds())
	rep.Add("restart_leader_mb", "%.0f", rssOf(leader.pid()))
	if m.in.Load() < crowdNodes {
		rep.Break("a group and %d nodes restart at once, and %d are in after %v", crowdNodes, m.in.Load(), all)
	}
	return nil
}

// crowd is a fleet of members in this process.
type crowd struct {
	c      *cluster
	client *http.Client
	began  time.Time
	asked  atomic.Int64
	lost   atomic.Int64
	in     atomic.Int64 // members that hold a lease
	wg     sync.WaitGroup
}

// begin starts all members within a time; the end it gives waits for them.
func (m *crowd) begin(ctx context.Context, life int, within time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	m.in.Store(0)
	var control []string
	for _, p := range m.c.procs {
		control = append(control, p.listen)
	}
	for i := 0; i < crowdNodes; i++ {
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			time.Sleep(time.Duration(i) * within / crowdNodes)
			name := fmt.Sprintf("n%04d", i)
			m.one(ctx, member.Plan{Name: name, Zone: fmt.Sprint("z", i%3), Control: control,
				Nonce: fmt.Sprintf("crowd-%d-%s", life, name), Seed: uint32(i)})
		}()
	}
	return func() { cancel(); m.wg.Wait() }
}

// one is one member, with a connection of its own.
func (m *crowd) one(ctx context.Context, plan member.Plan) {
	now := func() uint64 { return uint64(time.Since(m.began).Milliseconds()) + 1000 }
	n, in := member.New(plan, nil, now()), false
	for ctx.Err() == nil {
		a, no, due := n.Ask(now())
		if !due {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(max(n.Due(), now()+1)-now()) * time.Millisecond):
			}
			continue
		}
		m.asked.Add(1)
		raw, _ := json.Marshal(a)
		try, cancel := context.WithTimeout(ctx, time.Duration(n.Within())*time.Millisecond)
		var told fleet.Told
		err := postJSON(try, m.client, "http://"+n.Address()+"/v1/nodes", raw, &told)
		cancel()
		if err != nil {
			m.lost.Add(1)
			n.Failed(now(), no)
		} else if err = n.Answered(now(), no, told); err != nil {
			m.lost.Add(1)
		}
		if !in && n.Lease() != 0 {
			in = true
			m.in.Add(1)
		}
	}
}

// rssOf gives a process's resident memory in MB, 0 if it can't be told.
func rssOf(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, resident int
	if n, _ := fmt.Sscan(string(raw), &size, &resident); err != nil || n < 2 {
		return 0
	}
	return float64(resident*os.Getpagesize()) / (1 << 20)
}

func postJSON(ctx context.Context, client *http.Client, url string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", res.Status, raw)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// cpuOf gives the processor time that a process has used.
func cpuOf(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat: found %q", pid, raw)
	}
	user, err1 := strconv.Atoi(f[11])
	system, err2 := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2) // the kernel counts in 1/100 s
}

// many makes changes one after the other under load, none of which a caller may notice.
func (r *Policy) many(ctx context.Context, b *bench, rep *Report) error {
	n := r.Changes
	if n == 0 {
		if n = longChanges; r.Quick {
			n = quickChanges
		}
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	calls := b.Load(load, 200)
	time.Sleep(time.Second)
	before, ends, times, numbers := calls.String(), map[string]int{}, []float64{}, []uint64{}
	for i := 0; i < n && ctx.Err() == nil; i++ {
		c, err := b.change(policy.Propose{})
		if err != nil {
			rep.Break("change %d of %d under load: %v", i+1, n, err)
			return nil
		}
		ends[c.Step]++
		numbers = append(numbers, c.Number)
	}
	stop()
	b.loads.Wait()
	overlap, err := b.Check(b.promises())
	if err != nil {
		rep.Break("%d changes under load: %v", n, err)
	}
	for _, c := range numbers {
		times = append(times, b.inForce[c])
	}
	r.row(rep, "real, under load", len(b.nodes), n, ends, times, overlap)
	rep.Add("real_changes", "%d", n)
	rep.Add("asked", "%d", calls.Asked)
	rep.Add("lost", "%d", calls.Lost)
	rep.Add("shed", "%d", calls.Shed)
	rep.Add("errored", "%d", calls.Errors)
	rep.Notes = append(rep.Notes, "before the first change: "+before,
		fmt.Sprintf("done within %.0f ms in the median, %.0f at the 99th", calls.quantile(0.5), calls.quantile(0.99)))
	if calls.Lost+calls.Shed+calls.Errors > 0 {
		rep.Break("callers noticed %d changes: %v", n, calls)
	}
	return nil
}
