package simulation

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/admission"
	"umberwinch/internal/node/pools"
	"umberwinch/internal/report"
)

//go:embed scenarios/*.txt
var scenarioFiles embed.FS

// Pools is a run of `umberctl lab pools`: each scenario in virtual time with pools, without, with fixed ones,
// and with a plain pool before a short queue, from the same seed.
type Pools struct {
	Seed    int64
	Quick   bool
	Size    int // servers
	Out     string
	Without string // reserve, limits or heavy
	Only    string // one scenario
}

// PoolGuards are what can be taken out.
var PoolGuards = []string{"reserve", "limits"}

var poolWays = []string{"pools", "off", "fixed", "plain"}

// Promises of docs/design/pools.md, as far as virtual time can show them.
const (
	cheapServed  = 0.95 // of the cheapest class's reqs done within their target, in every scenario
	keepsServing = 0.03 // the most valued class loses at most so much by pools
)

// Scenario is one text file:
//
//	cores N | tenants N | for SECONDS | load SHARE      of capacity, by mean work
//	class NAME work=MS share=S [tail=SIGMA] [target=MS] [timeout=MS] [value=V] [tries=N]
//	at SECONDS CLASS KEY=VALUE ...      rate=TIMES work=TIMES heavy=SHARE times=N hangs=SHARE surge=TENANT by=TIMES
//	at SECONDS load SHARE | cores N | drain SECONDS
//	swing SECONDS LOW HIGH              load goes to and fro
//
//	holds CLASS SHARE                   so much of it is done in time with pools
//
// share is the class's part of all reqs. cheapest names the class whose promise is checked, dearest the one
// that must not lose by pools.
type Scenario struct {
	name              string
	Cores, Tenants    int
	span              virtualTime
	load              float64
	Classes           []Class
	shares            []float64
	at                []scenarioChange
	Cheapest, Dearest int
	holds             []serviceTarget
	exempt            bool // the promise on the cheapest class does not hold here, as the file says why
}

// serviceTarget is a share of a class's reqs that has to be done in time with pools.
type serviceTarget struct {
	class int
	share float64
}

type scenarioChange struct {
	at    virtualTime
	class int // -1 for the server
	words map[string]float64
	kind  string
}

// ReadScenario reads a scenario; its errors name file, line, what was found and what was expected.
func ReadScenario(name, text string) (*Scenario, error) {
	s := &Scenario{name: name, Cores: 6, Tenants: 4, span: 120 * second, load: 1, Cheapest: -1, Dearest: -1}
	for n, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if w := strings.Fields(line); len(w) > 0 {
			if err := s.line(w); err != nil {
				return nil, fmt.Errorf("%s:%d: %w", name, n+1, err)
			}
		}
	}
	if len(s.Classes) == 0 || s.Cheapest < 0 || s.Dearest < 0 {
		return nil, fmt.Errorf("%s: %d classes, expected some, a cheapest and a dearest", name, len(s.Classes))
	}
	sort.SliceStable(s.at, func(i, k int) bool { return s.at[i].at < s.at[k].at })
	return s, nil
}

func (s *Scenario) class(name string) (int, error) {
	for k := range s.Classes {
		if s.Classes[k].Name == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("class %q, expected one named before", name)
}

func (s *Scenario) line(w []string) (err error) {
	number := func(i int) float64 {
		if i >= len(w) {
			err = errors.New("a number is missing")
			return 0
		}
		v, bad := strconv.ParseFloat(w[i], 64)
		if bad != nil {
			err = fmt.Errorf("%q, expected a number", w[i])
		}
		return v
	}
	pairs := func(from int) map[string]float64 {
		out := map[string]float64{}
		for _, p := range w[from:] {
			k, v, _ := strings.Cut(p, "=")
			f, bad := strconv.ParseFloat(v, 64)
			if bad != nil {
				err = fmt.Errorf("%q, expected KEY=NUMBER", p)
			}
			out[k] = f
		}
		return out
	}
	switch w[0] {
	case "cores":
		s.Cores = int(number(1))
	case "tenants":
		s.Tenants = int(number(1))
	case "for":
		s.span = virtualTime(number(1) * float64(second))
	case "load":
		s.load = number(1)
	case "exempt":
		s.exempt = true
	case "cheapest", "dearest":
		if len(w) < 2 {
			return errors.New("a class is missing")
		}
		k, bad := s.class(w[1])
		if bad != nil {
			return bad
		}
		if w[0] == "cheapest" {
			s.Cheapest = k
		} else {
			s.Dearest = k
		}
	case "holds":
		k, bad := s.class(w[1])
		s.holds = append(s.holds, serviceTarget{k, number(2)})
		return errors.Join(err, bad)
	case "class":
		p := pairs(2)
		get := func(key string, def float64) float64 {
			if v, ok := p[key]; ok {
				return v
			}
			return def
		}
		s.Classes = append(s.Classes, Class{Name: w[1], Work: get("work", 10) * 10, WorkSigma: get("tail", 0),
			surge: -1,
			tries: int(get("tries", 2)), Handler: admission.Handler{LatencyObjective: virtualTime(get("target", 1000) * 10),
				Timeout: virtualTime(get("timeout", 5000) * 10), Value: get("value", 1)}})
		s.shares = append(s.shares, get("share", 1))
	case "swing":
		for at, k := 0.0, 0; at < float64(s.span)/float64(second); at, k = at+number(1), k+1 {
			if err != nil || number(1) <= 0 {
				return errors.Join(err, errors.New("a swing takes a time above 0"))
			}
			s.at = append(s.at, scenarioChange{at: virtualTime(at * float64(second)), class: -1, kind: "load",
				words: map[string]float64{"load": number(2 + k%2)}})
		}
	case "at":
		if len(w) < 4 {
			return errors.New("expected at SECONDS WHAT VALUE")
		}
		c := scenarioChange{at: virtualTime(number(1) * float64(second)), class: -1, kind: w[2]}
		switch w[2] {
		case "load", "cores", "drain":
			c.words = map[string]float64{w[2]: number(3)}
		default:
			k, bad := s.class(w[2])
			if bad != nil {
				return bad
			}
			c.class, c.words = k, pairs(3)
		}
		s.at = append(s.at, c)
	default:
		return fmt.Errorf("%q is not known", w[0])
	}
	return err
}

// Rates gives each class its requests a second so that all together offer a share of capacity.
func (s *Scenario) Rates(load float64) []float64 {
	work := 0.0
	for k := range s.Classes {
		work += s.shares[k] * s.Classes[k].Work / float64(second)
	}
	out := make([]float64, len(s.Classes))
	for k := range out {
		out[k] = load * float64(s.Cores) / work * s.shares[k]
	}
	return out
}

// way makes the decider of one way.
func (s *Scenario) way(way, without string) (decider, *pools.Pools) {
	if way == "plain" {
		return &plainQueue{slots: 2 * s.Cores}, nil
	}
	d := &admission.Deployment{Start: second, FleetSize: 1, Callers: 8, RoundInterval: 10, OverQuotaWeight: 0.05, Cores: s.Cores,
		MaxRunsPerCore: 5,
		MemoryKB:       1 << 20, RunMemoryFactor: 2, TableEntryKB: 1, Cancellation: admission.CancelNever, DrainGrace: second, MaxRetryAfter: 5 * second,
		IdleTimeout: 30 * second}
	p := pools.Plan{Reserve: way == "pools" && without != "reserve", Tenants: s.Tenants}
	total := 0.0
	for k := range s.Classes {
		total += s.shares[k] * s.Classes[k].Work
	}
	for k := range s.Classes {
		c := &s.Classes[k]
		d.Handlers = append(d.Handlers, c.Handler)
		one := pools.Class{Name: c.Name, Value: c.Handler.Value}
		if way == "fixed" { // what an operator would set from a calm day's shares, with room for half as much again
			one.MaxFraction, one.FixedLimit = min(1, max(0.1, 1.5*s.shares[k]*c.Work/total)), true
		} else if without == "limits" {
			one.MaxFraction, one.FixedLimit = 1, true
		}
		p.Classes = append(p.Classes, one)
	}
	for i := 0; i < s.Tenants; i++ {
		rate := 0.0
		for _, r := range s.Rates(1) {
			rate += r
		}
		d.Tenants = append(d.Tenants, admission.Tenant{Quota: rate / float64(s.Tenants)})
	}
	if way == "off" {
		return admission.New(d), nil
	}
	o := pools.New(p)
	d.Pools = o
	return admission.New(d), o
}

// outcome is what came of one scenario with one way, over all servers.
type outcome struct {
	out     []tallies
	busiest float64 // share of the cores in use over the fullest window
	most    float64 // runs a core
	value   float64
	limits  [][]float64 // of the first server, by second
}

// play runs a scenario's servers one after the other, each from a seed of its own.
func (s *Scenario) play(seed int64, size int, way, without string) *outcome {
	all := &outcome{out: make([]tallies, len(s.Classes))}
	for k := range all.out {
		all.out[k].times = hdrhistogram.New(1, 10_000_000, 2)
		all.out[k].served, all.out[k].came = make([]int, s.span/second+2), make([]int, s.span/second+2)
	}
	for n := 0; n < size; n++ {
		d, p := s.way(way, without)
		s.one(all, seed*1000+int64(n), d, p, n == 0)
	}
	return all
}

func (s *Scenario) one(all *outcome, seed int64, d decider, p *pools.Pools, watch bool) {
	load := s.load
	rates := s.Rates(load)
	classes := append([]Class{}, s.Classes...)
	for k := range classes {
		classes[k].Rate = rates[k]
	}
	v := newEmulatedServer(seed, d, s.Cores, classes, s.Tenants, s.span+second)
	times, works := make([]float64, len(classes)), make([]float64, len(classes))
	for k := range times {
		times[k], works[k] = 1, 1
	}
	next := 0
	for now := second; now < s.span+second; now += second {
		for next < len(s.at) && s.at[next].at <= now-second {
			s.apply(v, s.at[next], &load, times, works)
			next++
		}
		rates = s.Rates(load)
		for k := range v.classes {
			v.classes[k].Rate = rates[k] * times[k]
			v.classes[k].Work = s.Classes[k].Work * works[k]
		}
		if v.drained {
			for k := range v.classes {
				v.classes[k].Rate = 0
			}
		}
		v.until(now + second)
		if watch && p != nil {
			var row []float64
			for _, view := range p.Status() {
				row = append(row, min(view.Limit, 30))
			}
			all.limits = append(all.limits, row)
		}
	}
	for k := range v.classes {
		v.classes[k].arrivals = math.MaxInt64 / 2
	}
	v.until(v.now + 10*second) // what is open has its end
	for k := range all.out {
		a, b := &all.out[k], &v.out[k]
		a.asked, a.inTime, a.late = a.asked+b.asked, a.inTime+b.inTime, a.late+b.late
		a.fair, a.fairInTime = a.fair+b.fair, a.fairInTime+b.fairInTime
		a.shed, a.errored = a.shed+b.shed, a.errored+b.errored
		a.times.Merge(b.times)
		all.value += float64(b.inTime) * s.Classes[k].Handler.Value
		for i := range a.served {
			a.served[i] += b.served[i]
			a.came[i] += b.came[i]
		}
	}
	for _, b := range v.busy {
		all.busiest = max(all.busiest, b/float64(window))
	}
	all.most = max(all.most, v.most)
}

func (s *Scenario) apply(v *server, c scenarioChange, load *float64, times, works []float64) {
	if c.class < 0 {
		switch c.kind {
		case "load":
			*load = c.words["load"]
		case "cores":
			v.cores = c.words["cores"]
		case "drain":
			v.drained = true
			v.round(&admission.Round{Drain: true, KillAt: v.now + virtualTime(c.words["drain"]*float64(second))})
		}
		return
	}
	k := &v.classes[c.class]
	for _, key := range []string{"rate", "work", "heavy", "times", "hangs", "surge", "by"} {
		x, ok := c.words[key]
		if !ok {
			continue
		}
		switch key {
		case "rate":
			times[c.class] = x
		case "work":
			works[c.class] = x
		case "heavy":
			k.HeavyShare = x
		case "times":
			k.HeavyFactor = x
		case "hangs":
			k.hangs = x
		case "surge":
			k.surge = int(x)
		case "by":
			k.surgeBy = x
		}
	}
}

func (t *tallies) good() float64 { return float64(t.inTime) / float64(max(1, t.asked)) }

// Run plays all scenarios in all ways and reports.
func (r *Pools) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	rep := &report.Report{Name: "pools", Title: "Pools of run slots, in virtual time",
		Head: []string{"SCENARIO", "CLASS", "ASKED", "POOLS", "OFF", "FIXED", "PLAIN", "95TH POOLS", "95TH OFF"}}
	size := r.Size
	if size == 0 {
		if size = 24; r.Quick {
			size = 6
		}
	}
	files, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil, err
	}
	var all []*Scenario
	for _, f := range files {
		raw, err := scenarioFiles.ReadFile("scenarios/" + f.Name())
		if err != nil {
			return nil, err
		}
		name := strings.TrimSuffix(f.Name(), ".txt")
		if r.Only != "" && name != r.Only {
			continue
		}
		s, err := ReadScenario(name, string(raw))
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("no scenario %q", r.Only)
	}
	started := time.Now()
	done := r.playAll(ctx, all, size)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	rep.Add("seed", "%d", r.Seed)
	rep.Add("servers", "%d", size)
	least, reqs := 1.0, 0
	for i, s := range all {
		o := done[i]
		for k := range s.Classes {
			row := []string{s.name, s.Classes[k].Name, strconv.Itoa(o["pools"].out[k].asked)}
			for _, way := range poolWays {
				row = append(row, fmt.Sprintf("%.3f", o[way].out[k].good()))
				reqs += o[way].out[k].asked
			}
			rep.Rows = append(rep.Rows, append(row, report.Milliseconds(o["pools"].out[k].times.ValueAtQuantile(95)/10),
				report.Milliseconds(o["off"].out[k].times.ValueAtQuantile(95)/10)))
		}
		rep.Rows = append(rep.Rows, []string{"", "value", "", fmt.Sprintf("%.0f", o["pools"].value),
			fmt.Sprintf("%.0f", o["off"].value), fmt.Sprintf("%.0f", o["fixed"].value),
			fmt.Sprintf("%.0f", o["plain"].value), fmt.Sprintf("%.1f runs a core", o["pools"].most), ""})
		r.check(rep, s, o, &least)
		rep.Plots = append(rep.Plots, limitPlot(s, o["pools"]), servedPlot(s, o))
	}
	rep.Add("scenarios", "%d", len(all))
	rep.Add("reqs", "%d", reqs)
	rep.Add("cheapest_least", "%.3f", least)
	rep.Notes = append(rep.Notes, fmt.Sprintf("%.1f s for %d reqs", time.Since(started).Seconds(), reqs))
	return rep.End(r.Out, w)
}

func (r *Pools) playAll(ctx context.Context, all []*Scenario, size int) []map[string]*outcome {
	done := make([]map[string]*outcome, len(all))
	for i := range done {
		done[i] = map[string]*outcome{}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, s := range all {
		for _, way := range poolWays {
			room <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-room; wg.Done() }()
				if ctx.Err() != nil {
					return
				}
				o := s.play(r.Seed, size, way, r.Without)
				mu.Lock()
				done[i][way] = o
				mu.Unlock()
			}()
		}
	}
	wg.Wait()
	return done
}

// check holds one scenario to the promises.
func (r *Pools) check(rep *report.Report, s *Scenario, o map[string]*outcome, least *float64) {
	with, off := o["pools"], o["off"]
	cheap := &with.out[s.Cheapest]
	good := float64(cheap.fairInTime) / float64(max(1, cheap.fair)) // of tenants within their share
	if !s.exempt {
		*least = min(*least, good)
		if good < cheapServed {
			rep.Break("%s: %.3f of %s in time, expected %.2f", s.name, good, s.Classes[s.Cheapest].Name, cheapServed)
		}
	}
	if a, b := with.out[s.Dearest].good(), off.out[s.Dearest].good(); a < b-keepsServing {
		rep.Break("%s: %.3f of %s in time with pools, %.3f without", s.name, a, s.Classes[s.Dearest].Name, b)
	}
	for _, h := range s.holds {
		if got := with.out[h.class].good(); got < h.share {
			rep.Break("%s: %.3f of %s in time, expected %.2f", s.name, got, s.Classes[h.class].Name, h.share)
		}
	}
	if with.most > 5 { // what the emulated cores survive; the module keeps a fifth off it
		rep.Break("%s: %.1f runs a core", s.name, with.most)
	}
}

func limitPlot(s *Scenario, o *outcome) report.Plot {
	p := report.Plot{Title: s.name + ": limits at one server (30: none)", X: "s", Y: "run slots"}
	for k := range s.Classes {
		l := report.Line{Name: s.Classes[k].Name}
		for i, row := range o.limits {
			l.Points = append(l.Points, [2]float64{float64(i), row[k]})
		}
		p.Lines = append(p.Lines, l)
	}
	return p
}

func servedPlot(s *Scenario, o map[string]*outcome) report.Plot {
	p := report.Plot{Title: s.name + ": " + s.Classes[s.Cheapest].Name + " done in time", X: "s", Y: "share"}
	for _, way := range poolWays {
		l := report.Line{Name: way}
		t := &o[way].out[s.Cheapest]
		for i := 5; i+5 < len(t.came); i += 5 {
			came, served := 0, 0
			for k := i; k < i+5; k++ {
				came, served = came+t.came[k], served+t.served[k]
			}
			if came > 0 {
				l.Points = append(l.Points, [2]float64{float64(i), float64(served) / float64(came)})
			}
		}
		p.Lines = append(p.Lines, l)
	}
	return p
}
