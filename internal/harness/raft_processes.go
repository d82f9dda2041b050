package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/report"
)

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
			x := 1
			for !stop.Load() {
				x = x*31 + 7
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

func (r *RaftTest) killLeaders(ctx context.Context, _ io.Writer, rep *report.Report, plot *report.Plot, size, kills int,
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
		if ended {
			if err := c.start(p, kinds[chance.Intn(len(kinds))]); err != nil {
				return err
			}
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
		if err := r.speedWith(ctx, rep, clients); err != nil {
			return err
		}
	}
	return nil
}

// speedWith measures puts by so many clients on a group of its own.
func (r *RaftTest) speedWith(ctx context.Context, rep *report.Report, clients int) error {
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
	return nil
}

func us(n int64) string { return fmt.Sprintf("%.2f ms", float64(n)/1000) }
