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
	Seed                  int64
	Quick                 bool
	Size                  int // nodes of the fleet of processes
	Out                   string
	DisabledGuards        zones.Guard
	DisabledProcessGuards string
	Mode                  string // virtual, real or both
	Schedules             int
	Program               string
	Only                  string
	Part                  int
	Parts                 int

	cases []zoneCase // nil: zoneCases; RecoveryTest sets recoveryCases
}

// Run runs schedules and large fleets in virtual time, then a fleet of processes, and writes the report.
func (r *ZonesTest) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	rep := &report.Report{Name: "zones", Title: "Evacuation and return of a failed zone",
		Head: []string{"PART", "NODES", "LOAD", "WAY", "VALUE DONE", "LEFT AFTER", "IN AGAIN AFTER", "STEPS",
			"BELOW, PEAK"}}
	rep.AddFigure("seed", "%d", r.Seed)
	if r.Mode != "real" {
		r.runVirtual(ctx, rep)
		if rep.Broken == "" && r.DisabledGuards == 0 {
			r.playFailures(ctx, rep)
			if ctx.Err() == nil {
				r.runNoise(rep)
			}
		}
	}
	if r.Mode != "virtual" && rep.Broken == "" {
		if err := r.runProcesses(ctx, w, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	return rep.Finish(r.Out, w)
}

// OnlyCosts selects, in place of a case, the measurement of failures' costs.
const OnlyCosts = "costs"

// runVirtual runs schedules on all cores, each from a seed of its own.
func (r *ZonesTest) runVirtual(ctx context.Context, rep *report.Report) {
	n := r.Schedules
	if n == 0 {
		if n = 300; r.Quick {
			n = 60
		}
	}
	evacuations, steps, stepsBack, violating := 0, 0, 0, violatingSchedules{}
	report.RunSeeds(ctx, r.Seed*1_000_000, n, func(s int64) *simulation.ZoneSimulation {
		p := simulation.DrawZonePlan(s)
		p.DisabledGuards = r.DisabledGuards
		v := simulation.NewZoneSimulation(p)
		v.Play()
		return v
	}, func(s int64, v *simulation.ZoneSimulation) bool {
		evacuations, steps, stepsBack = evacuations+len(v.EvacuationDelaysMS), steps+v.RampSteps, stepsBack+v.StepsBack
		violating.record(s, v.Broken)
		return false
	})
	rep.AddFigure("schedules", "%d", n)
	rep.AddFigure("broken", "%d", violating.count)
	rep.AddFigure("zones_left", "%d", evacuations)
	rep.AddFigure("steps_in", "%d", steps)
	rep.AddFigure("steps_back", "%d", stepsBack)
	violating.report(rep)
}

// playFailures runs each kind of zone failure for several sizes and loads.
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

// playFailure runs one kind of zone failure with the fleet's evacuation, with the baselines and with an oracle.
func (r *ZonesTest) playFailure(rep *report.Report, n int, load float64, kind string) {
	base := simulation.ZonePlan{Seed: r.Seed, Nodes: n, Faults: []string{kind}, FaultStartMS: 15_000,
		FaultEndMS: 45_000, EndMS: 220_000, Load: load}
	for _, v := range playVariants(base, []zoneVariant{{"the fleet", func(*simulation.ZonePlan) {}},
		{"nodes alone", func(p *simulation.ZonePlan) { p.NoEvacuation = true }},
		{"each by its own", func(p *simulation.ZonePlan) { p.SelfEjection = true }},
		{"at best", func(p *simulation.ZonePlan) { p.Oracle = true }}}) {
		if v.Broken != "" {
			rep.SetBroken("%d nodes, load %.2f, %s, %s: %s", n, load, kind, v.name, v.Broken)
		}
		delay := func(m map[string]float64) string {
			if t, ok := m["z0"]; ok {
				return fmt.Sprintf("%.1f s", t/1000)
			}
			return "-"
		}
		peak := "-"
		if v.name == "the fleet" {
			peak = fmt.Sprintf("%.2f", v.PeakRampLoad)
			seconds := v.Fleet.Now / 1000
			rep.Notes = append(rep.Notes, fmt.Sprintf(
				"%d nodes, load %.2f, %s: per second %.1f heartbeats, %.2f entries, %.1f KB of "+
					"entries; simulated in %v", n, load, kind, float64(v.Fleet.Heartbeats)/seconds,
				float64(v.Fleet.Entries)/seconds,
				float64(v.Fleet.EntryBytes)/1024/seconds, v.realTime.Round(time.Millisecond)))
			if n == 300 {
				v.Plot[0].Name, v.Plot[1].Name, v.Plot[2].Name = "value done", "stores: load over capacity",
					"share of the zone"
				rep.Plots = append(rep.Plots, report.Plot{Title: fmt.Sprintf("%d nodes, load %.2f: %s", n, load, kind),
					X: "seconds; failure from 15 to 45", Y: "share", Lines: v.Plot})
			}
		}
		rep.Rows = append(rep.Rows, []string{"virtual, " + kind, strconv.Itoa(n), fmt.Sprintf("%.2f", load), v.name,
			fmt.Sprintf("%.4f", v.CompletedWeight/v.OfferedWeight), delay(v.EvacuationDelaysMS),
			delay(v.RecoveryTimesMS),
			fmt.Sprintf("%d/%d", v.RampSteps, v.StepsBack), peak})
	}
}

// runNoise runs hours of noise without a failure, in which no zone may be evacuated.
func (r *ZonesTest) runNoise(rep *report.Report) {
	hours := 24.0
	if r.Quick {
		hours = 1
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	falseEvacuations := 0
	const parts = 6
	for i := 0; i < parts; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			v := simulation.NewZoneSimulation(simulation.ZonePlan{Seed: r.Seed*100 + int64(i), Nodes: 15,
				Faults:       []string{simulation.ZoneNoise, simulation.ZoneNoise, simulation.ZoneNoise},
				FaultStartMS: 1000, FaultEndMS: hours*3600_000/parts - 10_000, EndMS: hours * 3600_000 / parts,
				Load: 0.3 + 0.1*float64(i)})
			v.Play()
			mu.Lock()
			defer mu.Unlock()
			falseEvacuations += v.UnjustifiedEvacuations
			if v.Broken != "" {
				rep.SetBroken("noise: %s", v.Broken)
			}
		}()
	}
	wg.Wait()
	rep.AddFigure("noise_hours", "%.0f", hours)
	rep.AddFigure("wrong_leaves", "%d", falseEvacuations)
}

// zoneRate is the callers' rate in the cases, in requests per second over all nodes: about a third of the warm
// stores' capacity.
const zoneRate = 180

// runProcesses runs the cases on processes, then measures the cost of failures to callers.
func (r *ZonesTest) runProcesses(ctx context.Context, w io.Writer, rep *report.Report) error {
	if r.Only != OnlyCosts {
		if err := r.runCases(ctx, w, rep); err != nil || r.Quick || rep.Broken != "" || r.Only != "" {
			return err
		}
	}
	return r.measureCosts(ctx, rep, r.selectCostPlan())
}

// runCases runs the selected cases in one fleet under load, up to the first violation.
func (r *ZonesTest) runCases(ctx context.Context, w io.Writer, rep *report.Report) error {
	return withWorkFolder(ctx, rep, func(dir string) error { return r.runCasesIn(ctx, dir, w, rep) })
}

func (r *ZonesTest) runCasesIn(ctx context.Context, dir string, w io.Writer, rep *report.Report) error {
	b, err := r.startFixture(ctx, dir, "fence", "auto")
	if err != nil {
		return err
	}
	defer b.Close()
	b.out = w
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	calls := b.Load(loadCtx, zoneRate)
	if err = b.awaitCapacityKnown(); err != nil {
		return err
	}
	passed, err := r.playCases(b, calls)
	if err = recordViolation(rep, err); err != nil {
		return err
	}
	stop()
	b.loads.Wait()
	rep.AddFigure("cases", "%d", passed)
	rep.Notes = append(rep.Notes, fmt.Sprintf("cases, real: callers: %v", calls))
	return nil
}

// playCases runs the selected cases in turn, each once the group knows all zones' capacity, and counts those without
// a violation.
func (r *ZonesTest) playCases(b *zoneFixture, calls *CallResults) (passed int, err error) {
	previous := ""
	for i, c := range r.allCases() {
		if !r.selection().includes(i, c.name, c.long) {
			continue
		}
		if previous != "" {
			if err := b.awaitCapacityKnown(); err != nil {
				return passed, invariantError(fmt.Sprintf("%s: the fleet is not back to normal: %v", previous, err))
			}
		}
		startedAt, from := time.Now(), calls.numCalls()
		if err := b.playCase(&c); err != nil {
			return passed, err
		}
		passed++
		fmt.Fprintf(b.out, "%-55s kept, %.1f s, %.3f of value done in time\n", c.name, time.Since(startedAt).Seconds(),
			calls.inTimeValueShare(from))
		previous = c.name
	}
	return passed, nil
}

func (r *ZonesTest) selection() caseSelection {
	return caseSelection{only: r.Only, quick: r.Quick, part: r.Part, parts: r.Parts}
}

// playCase runs a case. Afterwards, with all link faults removed, all nodes have to serve and the history has to
// hold its invariants.
func (b *zoneFixture) playCase(c *zoneCase) error {
	b.mayEvacuate = map[string]bool{}
	for _, z := range c.mayEvacuate {
		b.mayEvacuate[z] = true
	}
	startedAt := time.Now()
	var v consensus.ZonesView
	if _, err := b.requestAny(http.MethodGet, "/v1/zones", nil, &v); err != nil {
		return err
	}
	b.firstEpoch = v.Epoch
	err := runCase(func() { c.run(b) })
	b.heal()
	if err == nil {
		err = b.AwaitAllServing(b.committedVersion, 40*time.Second)
	}
	if err == nil {
		err = b.checkHistory(startedAt)
	}
	if err != nil {
		b.printDecisions(b.out)
		return invariantError(fmt.Sprintf("%s: %v", c.name, err))
	}
	return nil
}

// selectCostPlan returns the measurement of the test: zones' failures, or recovery.
func (r *ZonesTest) selectCostPlan() *costPlan {
	if r.cases != nil {
		return &recoveryCosts
	}
	return &zoneCosts
}
