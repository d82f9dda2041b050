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

// runProcesses kills leaders of groups of processes under load and measures the time without an acknowledged write.
// Unless quick, it also measures puts and election timeouts.
func (r *RaftTest) runProcesses(ctx context.Context, rep *report.Report) error {
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
	plot := report.Plot{Title: "Writes after a failure of the leader", X: "ms without an acknowledged write",
		Y: "share of kills"}
	for _, size := range sizes {
		if err := r.killLeaders(ctx, rep, &plot, size, kills, "[disk]\nsnapshot_mb = 1\n"); err != nil {
			return err
		}
	}
	rep.Plots = append(rep.Plots, plot)
	if r.Quick || rep.Broken != "" {
		return nil
	}
	if err := r.measurePuts(ctx, rep); err != nil {
		return err
	}
	return r.measureElectionTimeouts(ctx, rep)
}

// measureElectionTimeouts measures, by election timeout, the time without writes after a kill on an idle machine,
// and the false elections while all cores are overcommitted.
func (r *RaftTest) measureElectionTimeouts(ctx context.Context, rep *report.Report) error {
	plot := report.Plot{Title: "Election timeout: failover against false elections on a busy machine", X: "timeout, ms",
		Y: "ms without writes; false elections x 100"}
	idle, busy := report.Line{Name: "failover, median"}, report.Line{Name: "false elections in 10 s, x 100"}
	for _, tick := range []int{5, 10, 25, 50, 100} {
		idleReport := &report.Report{}
		if err := r.killLeaders(ctx, idleReport, &report.Plot{}, 3, 8, fmt.Sprintf("[group]\ntick = %dms\n",
			tick)); err != nil {
			return err
		}
		median, _ := strconv.Atoi(idleReport.Find("kills3_median_ms"))
		elections, err := r.falseElections(ctx, tick)
		if err != nil {
			return err
		}
		idle.Points = append(idle.Points, [2]float64{float64(tick * 10), float64(median)})
		busy.Points = append(busy.Points, [2]float64{float64(tick * 10), float64(100 * elections)})
		rep.Rows = append(rep.Rows, []string{fmt.Sprintf("timeout %d ms", tick*10), "3", "8 kills, 10 s busy",
			"-", fmt.Sprintf("%d elections", elections), report.Milliseconds(int64(median)), "-",
			idleReport.Find("kills3_worst_ms") + " ms"})
	}
	plot.Lines = []report.Line{idle, busy}
	rep.Plots = append(rep.Plots, plot)
	return nil
}

// falseElections counts the terms begun within 10 s while all cores are overcommitted.
func (r *RaftTest) falseElections(ctx context.Context, tick int) (terms uint64, err error) {
	extra := fmt.Sprintf("[group]\ntick = %dms\n", tick)
	err = withGroup(ctx, r.Program, &report.Report{}, 3, extra, func(c *controlProcesses) error {
		before, err := c.status(c.instances[0])
		if err != nil {
			return err
		}
		l := c.startLoad(ctx, 2)
		defer l.close()
		saturateCores(ctx, 10*time.Second)
		if err := l.stopAndCheck(); err != nil {
			return err
		}
		return c.await(ctx, func() error {
			after, err := c.status(c.instances[0])
			if err == nil {
				terms = after.Term - before.Term
			}
			return err
		})
	})
	return terms, err
}

// saturateCores keeps four runnable threads per core busy for a time.
func saturateCores(ctx context.Context, span time.Duration) {
	previous, threads := runtime.GOMAXPROCS(0), 4*runtime.NumCPU()
	runtime.GOMAXPROCS(threads + 2)
	defer runtime.GOMAXPROCS(previous)
	var stop atomic.Bool
	var busy sync.WaitGroup
	for range threads {
		busy.Go(func() {
			for x := 1; !stop.Load(); {
				x = x*31 + 7
			}
		})
	}
	sleepContext(ctx, span)
	stop.Store(true)
	busy.Wait()
}

// measurePuts measures puts without faults, by one client and by 64.
func (r *RaftTest) measurePuts(ctx context.Context, rep *report.Report) error {
	for _, clients := range []int{1, 64} {
		if err := r.measurePutsWith(ctx, rep, clients); err != nil {
			return err
		}
	}
	return nil
}

// measurePutsWith measures puts by a number of clients on a group of its own, for 10 s after a second of warm-up.
func (r *RaftTest) measurePutsWith(ctx context.Context, rep *report.Report, clients int) error {
	return withGroup(ctx, r.Program, rep, 3, "", func(c *controlProcesses) error {
		l := c.startLoad(ctx, clients)
		defer l.close()
		sleepContext(ctx, time.Second)
		before, err := c.status(c.leader())
		if err != nil {
			return err
		}
		l.mu.Lock()
		puts, versions := l.puts, len(l.committed)
		l.latencies.Reset()
		l.mu.Unlock()
		started := time.Now()
		sleepContext(ctx, 10*time.Second)
		l.mu.Lock()
		puts, versions = l.puts-puts, len(l.committed)-versions
		seconds := time.Since(started).Seconds()
		l.mu.Unlock()
		after, err := c.status(c.leader())
		if err != nil {
			return err
		}
		if err := l.stopAndCheck(); err != nil {
			rep.Break("%d clients: %v", clients, err)
		}
		key := fmt.Sprintf("clients%d", clients)
		rep.Add(key+"_puts_per_s", "%.0f", float64(puts)/seconds)
		rep.Add(key+"_versions_per_s", "%.0f", float64(versions)/seconds)
		rep.Add(key+"_syncs_per_put", "%.2f", float64(after.Syncs-before.Syncs)/float64(max(1, puts)))
		rep.Rows = append(rep.Rows, []string{fmt.Sprintf("put, %d clients", clients), "3", "10 s",
			strconv.Itoa(puts), "-", formatMicroseconds(l.latencies.ValueAtQuantile(50)),
			formatMicroseconds(l.latencies.ValueAtQuantile(99)), formatMicroseconds(l.latencies.Max())})
		return nil
	})
}

func formatMicroseconds(n int64) string { return fmt.Sprintf("%.2f ms", float64(n)/1000) }
