package harness

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// RaftTest is a run of `umberctl faulttest raft`.
type RaftTest struct {
	Seed           int64
	Quick          bool
	Size           int // instances in a group; 0: groups of 3 and of 5
	Out            string
	DisabledGuards consensus.Guard
	Mode           string // virtual, real or both
	Schedules      int    // in virtual time; 0: the default of quick or not
	Kills          int    // of leaders of processes; 0: the default of quick or not
	Clients        int    // clients that put while leaders are killed
	Program        string // umberctl, run as an instance
}

// Schedules and kills, with --quick and without, and the runs in which a violating schedule is shrunk.
const (
	quickRaftSchedules = 400
	longRaftSchedules  = 6000
	quickKills         = 10
	longKills          = 200
	maxShrinkRuns      = 80
)

// Run runs schedules in virtual time, then groups of processes, and writes the report.
func (r *RaftTest) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	rep := &report.Report{Name: "raft", Title: "The replicated group under faults",
		Head: []string{"PART", "GROUPS", "RUNS", "STEPS OR PUTS", "BROKEN", "MEDIAN", "99TH", "WORST"}}
	rep.AddFigure("seed", "%d", r.Seed)
	if r.Mode != "real" {
		r.runVirtual(ctx, rep)
	}
	if r.Mode != "virtual" && rep.Broken == "" && r.DisabledGuards == 0 {
		if err := r.runProcesses(ctx, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	return rep.Finish(r.Out, w)
}

// groupSize returns the number of instances of a schedule's group.
func (r *RaftTest) groupSize(seed int64) int {
	if r.Size > 0 {
		return r.Size
	}
	return 3 + int(seed%2)*2
}

// runVirtual runs schedules on all cores, each from a seed of its own. The report names the violation of the lowest
// seed, with the shortest list of faults that reproduces it.
func (r *RaftTest) runVirtual(ctx context.Context, rep *report.Report) {
	n := r.Schedules
	if n == 0 {
		n = longRaftSchedules
		if r.Quick {
			n = quickRaftSchedules
		}
	}
	started := time.Now()
	var first *simulation.Result
	steps, calls, terms, played, violations := 0, 0, 0, 0, 0
	report.RunSeeds(ctx, r.Seed*1000003, n, func(s int64) simulation.Result {
		size := r.groupSize(s)
		return simulation.Play(s, size, simulation.DrawFaults(s, size, simulation.ScheduleMilliseconds),
			r.DisabledGuards, nil)
	}, func(_ int64, res simulation.Result) bool {
		played, steps, calls, terms = played+1, steps+res.Steps, calls+res.Calls, terms+res.Terms
		if res.Broken != "" {
			if violations++; first == nil || res.Seed < first.Seed {
				first = &res
			}
		}
		return violations > 0 && r.DisabledGuards != 0 // with a disabled guard one violation suffices
	})
	elapsed := time.Since(started)
	rep.Rows = append(rep.Rows, []string{"virtual", groupSizes(r.Size), strconv.Itoa(played), strconv.Itoa(steps),
		strconv.Itoa(violations), "-", "-", "-"})
	rep.AddFigure("schedules", "%d", played)
	rep.AddFigure("broken", "%d", violations)
	rep.AddFigure("steps", "%d", steps)
	rep.AddFigure("calls", "%d", calls)
	rep.AddFigure("terms", "%d", terms)
	rep.AddFigure("schedules_per_min", "%.0f", float64(played)/elapsed.Minutes())
	if first == nil {
		return
	}
	size := r.groupSize(first.Seed)
	faults := simulation.Shrink(first.Seed, size, simulation.DrawFaults(first.Seed, size,
		simulation.ScheduleMilliseconds), r.DisabledGuards, maxShrinkRuns)
	rep.Notes = append(rep.Notes, fmt.Sprintf("seed %d of %d instances: %s\nwith these faults alone:\n%s",
		first.Seed,
		size, first.Broken, simulation.FaultLines(faults)))
	rep.SetBroken("seed %d: %s", first.Seed, first.Broken)
}

func groupSizes(size int) string {
	if size == 0 {
		return "3 and 5"
	}
	return strconv.Itoa(size)
}

// Replay runs one schedule and prints each event.
func Replay(w io.Writer, seed int64, size int, without consensus.Guard) simulation.Result {
	faults := simulation.DrawFaults(seed, size, simulation.ScheduleMilliseconds)
	return simulation.Play(seed, size, faults, without, func(s string) { fmt.Fprintln(w, s) })
}
