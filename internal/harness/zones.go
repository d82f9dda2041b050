package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// ZonesTest is a run of `umberctl faulttest zones`.
type ZonesTest struct {
	Seed          int64
	Quick         bool
	Size          int // nodes of the real part
	Out           string
	Without       zones.Guard
	ProcessGuards string
	Mode          string // virtual, real or both
	Schedules     int
	Program       string
	Only          string
	Part          int
	Parts         int

	cases []zoneCase // the cases to play; nil: zoneCases. RecoveryTest sets recoveryCases
}

// Run plays schedules and large fleets in virtual time, then processes, and reports.
func (r *ZonesTest) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	rep := &report.Report{Name: "zones", Title: "Leaving a zone that fails, and coming back",
		Head: []string{"PART", "NODES", "LOAD", "WAY", "VALUE DONE", "LEFT AFTER", "IN AGAIN AFTER", "STEPS",
			"BELOW, PEAK"}}
	rep.AddFigure("seed", "%d", r.Seed)
	if r.Mode != "real" {
		r.virtual(ctx, rep)
		if rep.Broken == "" && r.Without == 0 {
			r.playFailures(ctx, rep)
			if ctx.Err() == nil {
				r.calm(rep)
			}
		}
	}
	if r.Mode != "virtual" && rep.Broken == "" {
		if err := r.real(ctx, w, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	return rep.Finish(r.Out, w)
}

// OnlyCosts stands for the measurement beside nodes alone, without the cases.
const OnlyCosts = "costs"

// virtual plays schedules on all cores, each from a seed of its own.
func (r *ZonesTest) virtual(ctx context.Context, rep *report.Report) {
	n := r.Schedules
	if n == 0 {
		if n = 300; r.Quick {
			n = 60
		}
	}
	left, steps, back, broken := 0, 0, 0, brokenSchedules{}
	report.RunSeeds(ctx, r.Seed*1_000_000, n, func(s int64) *simulation.Zones {
		p := simulation.DrawZones(s)
		p.Without = r.Without
		v := simulation.NewZones(p)
		v.Play()
		return v
	}, func(s int64, v *simulation.Zones) bool {
		left, steps, back = left+len(v.Left), steps+v.Steps, back+v.BackStep
		broken.note(s, v.Broken)
		return false
	})
	rep.AddFigure("schedules", "%d", n)
	rep.AddFigure("broken", "%d", broken.count)
	rep.AddFigure("zones_left", "%d", left)
	rep.AddFigure("steps_in", "%d", steps)
	rep.AddFigure("steps_back", "%d", back)
	broken.report(rep)
}

// playFailures plays each kind of failure at sizes and loads, beside the baselines and the best that could be done.
func (r *ZonesTest) playFailures(ctx context.Context, rep *report.Report) {
	sizes, loads := []int{300, 5000}, []float64{0.5, 0.75}
	if r.Quick {
		sizes, loads = []int{300}, []float64{0.6}
	}
	for _, n := range sizes {
		for _, load := range loads {
			for _, kind := range []string{simulation.ZoneDead, simulation.ZoneKernels, simulation.ZoneSlow,
				simulation.ZoneErrors} {
				if ctx.Err() != nil {
					return
				}
				if n > 1000 && kind != simulation.ZoneDead && kind != simulation.ZoneSlow {
					continue
				}
				r.playFailure(rep, n, load, kind)
			}
		}
	}
}

// playFailure plays one kind of failure of a zone by the fleet, its baselines and the best that could be done.
func (r *ZonesTest) playFailure(rep *report.Report, n int, load float64, kind string) {
	base := simulation.ZonePlan{Seed: r.Seed, Nodes: n, Kinds: []string{kind}, Fails: 15_000, Heals: 45_000,
		Ends: 220_000, Load: load}
	for _, v := range playVariants(base, []zoneVariant{{"the fleet", func(*simulation.ZonePlan) {}},
		{"nodes alone", func(p *simulation.ZonePlan) { p.Off = true }},
		{"each by its own", func(p *simulation.ZonePlan) { p.Own = true }},
		{"at best", func(p *simulation.ZonePlan) { p.Oracle = true }}}) {
		if v.Broken != "" {
			rep.SetBroken("%d nodes, load %.2f, %s, %s: %s", n, load, kind, v.name, v.Broken)
		}
		after := func(m map[string]float64) string {
			if t, ok := m["z0"]; ok {
				return fmt.Sprintf("%.1f s", t/1000)
			}
			return "-"
		}
		peak := "-"
		if v.name == "the fleet" {
			peak = fmt.Sprintf("%.2f", v.Peak)
			seconds := v.Fleet.Now / 1000
			rep.Notes = append(rep.Notes, fmt.Sprintf(
				"%d nodes, load %.2f, %s: %.1f askings, %.2f entries and %.1f KB of them a "+
					"second; played in %v", n, load, kind, float64(v.Fleet.Heartbeats)/seconds,
				float64(v.Fleet.Entries)/seconds,
				float64(v.Fleet.Bytes)/1024/seconds, v.took.Round(time.Millisecond)))
			if n == 300 {
				v.Plot[0].Name, v.Plot[1].Name, v.Plot[2].Name = "value done", "below: asked over what it bears",
					"share of the zone"
				rep.Plots = append(rep.Plots, report.Plot{Title: fmt.Sprintf("%d nodes, load %.2f: %s", n, load, kind),
					X: "seconds; it fails at 15, ends at 45", Y: "share", Lines: v.Plot})
			}
		}
		rep.Rows = append(rep.Rows, []string{"virtual, " + kind, strconv.Itoa(n), fmt.Sprintf("%.2f", load), v.name,
			fmt.Sprintf("%.4f", v.Done/v.Asked), after(v.Left), after(v.Back),
			fmt.Sprintf("%d/%d", v.Steps, v.BackStep), peak})
	}
}

// calm plays hours of noise, in which no zone may be left.
func (r *ZonesTest) calm(rep *report.Report) {
	hours := 24.0
	if r.Quick {
		hours = 1
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	wrong := 0
	const parts = 6
	for i := 0; i < parts; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			v := simulation.NewZones(simulation.ZonePlan{Seed: r.Seed*100 + int64(i), Nodes: 15,
				Kinds: []string{simulation.ZoneNoise, simulation.ZoneNoise, simulation.ZoneNoise},
				Fails: 1000, Heals: hours*3600_000/parts - 10_000, Ends: hours * 3600_000 / parts,
				Load: 0.3 + 0.1*float64(i)})
			v.Play()
			mu.Lock()
			defer mu.Unlock()
			wrong += v.Wrong
			if v.Broken != "" {
				rep.SetBroken("noise: %s", v.Broken)
			}
		}()
	}
	wg.Wait()
	rep.AddFigure("noise_hours", "%.0f", hours)
	rep.AddFigure("wrong_leaves", "%d", wrong)
}

// zoneRate is the callers' rate in the cases, requests a second over all nodes: a third of what three services bear
// warm.
const zoneRate = 180

// real plays the cases on processes, then measures what failures cost callers.
func (r *ZonesTest) real(ctx context.Context, w io.Writer, rep *report.Report) error {
	if r.Only != OnlyCosts {
		if err := r.realCases(ctx, w, rep); err != nil || r.Quick || rep.Broken != "" || r.Only != "" {
			return err
		}
	}
	return r.costs(ctx, rep, r.plan())
}

// realCases plays the cases that were asked for in one fleet under load, up to the first that breaks.
func (r *ZonesTest) realCases(ctx context.Context, w io.Writer, rep *report.Report) error {
	return withWorkFolder(ctx, rep, func(dir string) error { return r.realCasesIn(ctx, dir, w, rep) })
}

func (r *ZonesTest) realCasesIn(ctx context.Context, dir string, w io.Writer, rep *report.Report) error {
	b, err := r.begin(ctx, dir, "fence", "auto")
	if err != nil {
		return err
	}
	defer b.Close()
	b.out = w
	load, stop := context.WithCancel(ctx)
	defer stop()
	calls := b.Load(load, zoneRate)
	if err = b.awaitNormal(); err != nil {
		return err
	}
	kept, err := r.playCases(b, calls)
	if err = breakOrReturn(rep, err); err != nil {
		return err
	}
	stop()
	b.loads.Wait()
	rep.AddFigure("cases", "%d", kept)
	rep.Notes = append(rep.Notes, fmt.Sprintf("cases, real: callers: %v", calls))
	return nil
}

// playCases plays the cases one after the other, each once the fleet stands as usual, and counts those that kept their
// promises.
func (r *ZonesTest) playCases(b *zoneFixture, calls *CallResults) (kept int, err error) {
	before := ""
	for i, c := range r.all() {
		if !r.selection().takes(i, c.name, c.long) {
			continue
		}
		if before != "" {
			if err := b.awaitNormal(); err != nil {
				return kept, brokenPromise(fmt.Sprintf("%s: after it: %v", before, err))
			}
		}
		began, from := time.Now(), calls.count()
		if err := b.playCase(&c); err != nil {
			return kept, err
		}
		kept++
		fmt.Fprintf(b.out, "%-55s kept, %.1f s, %.3f of value done in time\n", c.name, time.Since(began).Seconds(),
			calls.valueInTime(from))
		before = c.name
	}
	return kept, nil
}

func (r *ZonesTest) selection() caseSelection {
	return caseSelection{only: r.Only, quick: r.Quick, part: r.Part, parts: r.Parts}
}

// playCase plays a case; then, with every link whole again, all nodes have to serve and the history to keep its
// promises.
func (b *zoneFixture) playCase(c *zoneCase) error {
	b.mayLeave = map[string]bool{}
	for _, z := range c.mayLeave {
		b.mayLeave[z] = true
	}
	began := time.Now()
	var v consensus.ZonesView
	if _, err := b.ask(http.MethodGet, "/v1/zones", nil, &v); err != nil {
		return err
	}
	b.firstEpoch = v.Epoch
	err := runCase(func() { c.run(b) })
	b.heal()
	if err == nil {
		err = b.AwaitAllServing(b.committedVersion, 40*time.Second)
	}
	if err == nil {
		err = b.checkHistory(began)
	}
	if err != nil {
		b.printDecisions(b.out)
		return brokenPromise(fmt.Sprintf("%s: %v", c.name, err))
	}
	return nil
}

// plan gives what is measured on processes.
func (r *ZonesTest) plan() *costPlan {
	if r.cases != nil {
		return &recoveryCosts
	}
	return &zoneCosts
}
