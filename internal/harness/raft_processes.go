package harness

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"umberwinch/internal/report"
)

// real kills leaders of real processes under load and measures how long no write is taken.
func (r *RaftTest) real(ctx context.Context, rep *report.Report) error {
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
		if err := r.killLeaders(ctx, rep, &plot, size, kills, "[disk]\nsnapshot_mb = 1\n"); err != nil {
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
	return r.timeouts(ctx, rep)
}

// timeouts shows what the election timeout costs and saves: time without writes after a kill on a calm
// machine, and elections that nothing called for while four times as many threads as cores want to run.
func (r *RaftTest) timeouts(ctx context.Context, rep *report.Report) error {
	plot := report.Plot{Title: "Election timeout: failover against false elections on a busy machine", X: "timeout, ms",
		Y: "ms without writes; false elections x 100"}
	calm, busy := report.Line{Name: "failover, median"}, report.Line{Name: "false elections in 10 s, x 100"}
	for _, tick := range []int{5, 10, 25, 50, 100} {
		sub := &report.Report{}
		if err := r.killLeaders(ctx, sub, &report.Plot{}, 3, 8, fmt.Sprintf("[group]\ntick = %dms\n",
			tick)); err != nil {
			return err
		}
		median, _ := strconv.Atoi(sub.FigureValue("kills3_median_ms"))
		wrong, err := r.falseElections(ctx, tick)
		if err != nil {
			return err
		}
		calm.Points = append(calm.Points, [2]float64{float64(tick * 10), float64(median)})
		busy.Points = append(busy.Points, [2]float64{float64(tick * 10), float64(100 * wrong)})
		rep.Rows = append(rep.Rows, []string{fmt.Sprintf("timeout %d ms", tick*10), "3", "8 kills, 10 s busy",
			"-", fmt.Sprintf("%d elections", wrong), report.FormatMilliseconds(int64(median)), "-",
			sub.FigureValue("kills3_worst_ms") + " ms"})
	}
	plot.Lines = []report.Line{calm, busy}
	rep.Plots = append(rep.Plots, plot)
	return nil
}

// falseElections counts terms begun within 10 s with all cores wanted four times over.
func (r *RaftTest) falseElections(ctx context.Context, tick int) (terms uint64, err error) {
	extra := fmt.Sprintf("[group]\ntick = %dms\n", tick)
	err = withGroup(ctx, r.Program, &report.Report{}, 3, extra, func(c *controlProcesses) error {
		before, err := c.report(c.procs[0])
		if err != nil {
			return err
		}
		l := c.startLoad(ctx, 2)
		defer l.close()
		busyFor(ctx, 10*time.Second)
		if err := l.end(); err != nil {
			return err
		}
		return c.await(ctx, func() error {
			after, err := c.report(c.procs[0])
			if err == nil {
				terms = after.Term - before.Term
			}
			return err
		})
	})
	return terms, err
}

// busyFor wants all cores of the machine four times over for a while.
func busyFor(ctx context.Context, span time.Duration) {
	was, threads := runtime.GOMAXPROCS(0), 4*runtime.NumCPU()
	runtime.GOMAXPROCS(threads + 2)
	defer runtime.GOMAXPROCS(was)
	var stop atomic.Bool
	var busy sync.WaitGroup
	for range threads {
		busy.Go(func() {
			for x := 1; !stop.Load(); {
				x = x*31 + 7
			}
		})
	}
	pause(ctx, span)
	stop.Store(true)
	busy.Wait()
}

// speed measures puts without faults, by one client and by many.
func (r *RaftTest) speed(ctx context.Context, rep *report.Report) error {
	for _, clients := range []int{1, 64} {
		if err := r.speedWith(ctx, rep, clients); err != nil {
			return err
		}
	}
	return nil
}

// speedWith measures puts by so many clients on a group of its own.
func (r *RaftTest) speedWith(ctx context.Context, rep *report.Report, clients int) error {
	return withGroup(ctx, r.Program, rep, 3, "", func(c *controlProcesses) error {
		l := c.startLoad(ctx, clients)
		defer l.close()
		pause(ctx, time.Second)
		before, err := c.report(c.leader())
		if err != nil {
			return err
		}
		l.mu.Lock()
		puts, versions := l.puts, len(l.committed)
		l.times.Reset()
		l.mu.Unlock()
		started := time.Now()
		pause(ctx, 10*time.Second)
		l.mu.Lock()
		puts, versions = l.puts-puts, len(l.committed)-versions
		took := time.Since(started).Seconds()
		l.mu.Unlock()
		after, err := c.report(c.leader())
		if err != nil {
			return err
		}
		if err := l.end(); err != nil {
			rep.SetBroken("%d clients: %v", clients, err)
		}
		key := fmt.Sprintf("clients%d", clients)
		rep.AddFigure(key+"_puts_per_s", "%.0f", float64(puts)/took)
		rep.AddFigure(key+"_versions_per_s", "%.0f", float64(versions)/took)
		rep.AddFigure(key+"_syncs_per_put", "%.2f", float64(after.Syncs-before.Syncs)/float64(max(1, puts)))
		rep.Rows = append(rep.Rows, []string{fmt.Sprintf("put, %d clients", clients), "3", "10 s",
			strconv.Itoa(puts), "-", us(l.times.ValueAtQuantile(50)), us(l.times.ValueAtQuantile(99)),
			us(l.times.Max())})
		return nil
	})
}

func us(n int64) string { return fmt.Sprintf("%.2f ms", float64(n)/1000) }
