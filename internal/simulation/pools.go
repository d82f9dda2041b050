package simulation

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"umberwinch/internal/report"
)

// PoolTest runs `umberctl faulttest pools`: each scenario in virtual time with pools, without pools, with fixed pool
// limits, and with a plain FIFO queue, all from the same seed.
type PoolTest struct {
	Seed    int64
	Quick   bool
	Size    int // servers; 0 for the default
	Out     string
	Without string // the disabled guard, one of PoolGuards; empty: none
	Only    string // name of the scenario to run; empty: all
}

// Run simulates all scenarios in all variants and writes the report.
func (r *PoolTest) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	rep := &report.Report{Name: "pools", Title: "Pools of run slots, in virtual time",
		Head: []string{"SCENARIO", "CLASS", "OFFERED", "POOLS", "OFF", "FIXED", "PLAIN", "95TH POOLS", "95TH OFF"}}
	size := r.Size
	if size == 0 {
		if size = 24; r.Quick {
			size = 6
		}
	}
	scenarios, err := r.loadScenarios()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	results := r.simulateAll(ctx, scenarios, size)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	rep.AddFigure("seed", "%d", r.Seed)
	rep.AddFigure("servers", "%d", size)
	minInTime, requests := 1.0, 0
	for i, s := range scenarios {
		o := results[i]
		for k := range s.Classes {
			for _, variant := range poolVariants {
				requests += o[variant].classes[k].offered
			}
		}
		rep.Rows = append(rep.Rows, s.tableRows(o)...)
		r.checkScenario(rep, s, o, &minInTime)
		rep.Plots = append(rep.Plots, limitPlot(s, o["pools"]), servedPlot(s, o))
	}
	rep.AddFigure("scenarios", "%d", len(scenarios))
	rep.AddFigure("reqs", "%d", requests)
	rep.AddFigure("cheapest_least", "%.3f", minInTime)
	rep.Notes = append(rep.Notes, fmt.Sprintf("%.1f s for %d reqs", time.Since(started).Seconds(), requests))
	return rep.Finish(r.Out, w)
}

// loadScenarios reads all scenarios, or the selected one.
func (r *PoolTest) loadScenarios() ([]*Scenario, error) {
	files, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil, err
	}
	var all []*Scenario
	for _, f := range files {
		name := strings.TrimSuffix(f.Name(), ".txt")
		if r.Only != "" && name != r.Only {
			continue
		}
		raw, err := scenarioFiles.ReadFile("scenarios/" + f.Name())
		if err != nil {
			return nil, err
		}
		s, err := ReadScenario(name, string(raw))
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("scenario %q does not exist", r.Only)
	}
	return all, nil
}

// tableRows gives the scenario's rows of the report: for each class the fraction completed in time by each variant,
// then the completed value.
func (s *Scenario) tableRows(o map[string]*variantResult) (rows [][]string) {
	percentile95 := func(variant string, k int) string {
		return report.FormatMilliseconds(o[variant].classes[k].latencies.ValueAtQuantile(95) / 10)
	}
	value := []string{"", "value", ""}
	for k := range s.Classes {
		row := []string{s.name, s.Classes[k].Name, strconv.Itoa(o["pools"].classes[k].offered)}
		for _, variant := range poolVariants {
			row = append(row, fmt.Sprintf("%.3f", o[variant].classes[k].inTimeFraction()))
		}
		rows = append(rows, append(row, percentile95("pools", k), percentile95("off", k)))
	}
	for _, variant := range poolVariants {
		value = append(value, fmt.Sprintf("%.0f", o[variant].completedValue))
	}
	return append(rows, append(value, fmt.Sprintf("%.1f runs per core", o["pools"].peakRuns), ""))
}

// simulateAll simulates each scenario in each variant and returns the results by scenario and variant.
func (r *PoolTest) simulateAll(ctx context.Context, scenarios []*Scenario, size int) []map[string]*variantResult {
	results := make([]map[string]*variantResult, len(scenarios))
	for i := range results {
		results[i] = map[string]*variantResult{}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, s := range scenarios {
		for _, variant := range poolVariants {
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-slots; wg.Done() }()
				if ctx.Err() != nil {
					return
				}
				o := s.simulate(r.Seed, size, variant, r.Without)
				mu.Lock()
				results[i][variant] = o
				mu.Unlock()
			}()
		}
	}
	wg.Wait()
	return results
}

// checkScenario checks the invariants of one scenario and lowers minInTime to the cheapest class's fraction in time.
func (r *PoolTest) checkScenario(rep *report.Report, s *Scenario, o map[string]*variantResult, minInTime *float64) {
	with, off := o["pools"], o["off"]
	cheapest := &with.classes[s.Cheapest]
	// Of tenants within their quota.
	inTime := float64(cheapest.withinQuotaInTime) / float64(max(1, cheapest.withinQuota))
	if !s.exemptCheapest {
		*minInTime = min(*minInTime, inTime)
		if inTime < minCheapestInTime {
			rep.SetBroken("%s: %.3f of %s completed in time, want at least %.2f", s.name, inTime,
				s.Classes[s.Cheapest].Name, minCheapestInTime)
		}
	}
	if a, b := with.classes[s.HighestValue].inTimeFraction(),
		off.classes[s.HighestValue].inTimeFraction(); a < b-maxDearestLoss {
		rep.SetBroken("%s: %.3f of %s completed in time with pools, %.3f without", s.name, a,
			s.Classes[s.HighestValue].Name, b)
	}
	for _, target := range s.targets {
		if got := with.classes[target.class].inTimeFraction(); got < target.fraction {
			rep.SetBroken("%s: %.3f of %s completed in time, want at least %.2f", s.name, got,
				s.Classes[target.class].Name, target.fraction)
		}
	}
	if with.peakRuns > 5 { // the emulated cores lose throughput above it
		rep.SetBroken("%s: %.1f runs per core, want at most 5", s.name, with.peakRuns)
	}
}

func limitPlot(s *Scenario, o *variantResult) report.Plot {
	p := report.Plot{Title: s.name + ": pool limits of one server (30: unlimited)", X: "s", Y: "run slots"}
	for k := range s.Classes {
		l := report.Line{Name: s.Classes[k].Name}
		for i, row := range o.limits {
			l.Points = append(l.Points, [2]float64{float64(i), row[k]})
		}
		p.Lines = append(p.Lines, l)
	}
	return p
}

func servedPlot(s *Scenario, o map[string]*variantResult) report.Plot {
	p := report.Plot{Title: s.name + ": " + s.Classes[s.Cheapest].Name + " completed in time", X: "s", Y: "share"}
	for _, variant := range poolVariants {
		l := report.Line{Name: variant}
		t := &o[variant].classes[s.Cheapest]
		for i := 5; i+5 < len(t.arrivedPerSecond); i += 5 {
			arrived, served := 0, 0
			for k := i; k < i+5; k++ {
				arrived, served = arrived+t.arrivedPerSecond[k], served+t.inTimePerSecond[k]
			}
			if arrived > 0 {
				l.Points = append(l.Points, [2]float64{float64(i), float64(served) / float64(arrived)})
			}
		}
		p.Lines = append(p.Lines, l)
	}
	return p
}
