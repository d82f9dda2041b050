package harness

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/internal/report"
)

// leaderKills takes one leader after the other from a group under load, and measures how long no write is taken.
type leaderKills struct {
	group   *controlProcesses
	load    *putLoad
	random  *rand.Rand
	kinds   []string // faults that an instance may be started with
	gaps    *hdrhistogram.Histogram
	byFault map[string]int
}

// leaderLoss is how one leader was lost.
type leaderLoss struct {
	leader *instanceProcess
	fault  string
	cut    bool          // it is parted from the others, and its process goes on
	ended  bool          // its process is gone
	at     time.Duration // since the load's begin
}

// killLeaders has clients put under load while each leader in turn fails by a fault drawn from the seed. Another
// instance has to take writes within realWithin, and at the end the history has to hold each version that a client was
// told, once.
func (r *RaftTest) killLeaders(ctx context.Context, rep *report.Report, plot *report.Plot, size, kills int,
	extra string) error {
	return withGroup(ctx, r.Program, rep, size, extra, func(c *controlProcesses) error {
		k := &leaderKills{group: c, random: rand.New(rand.NewSource(r.Seed)), gaps: hdrhistogram.New(1, 60_000, 3),
			kinds: append([]string{"", diskStalls, diskFull}, stepNames()...), byFault: map[string]int{}}
		k.load = c.startLoad(ctx, max(1, r.Clients))
		defer k.load.close()
		if err := k.armAll(ctx); err != nil {
			return err
		}
		if err := breakOrReturn(rep, k.loseLeaders(ctx, kills)); err != nil {
			return err
		}
		if err := k.load.end(); err != nil {
			rep.SetBroken("%d instances: %v", size, err)
		}
		k.addResults(rep, plot)
		return nil
	})
}

// armAll starts each instance anew with a fault of its own, which a signal sets off later.
func (k *leaderKills) armAll(ctx context.Context) error {
	for _, p := range k.group.procs {
		k.group.kill(p)
		if err := k.group.start(p, k.drawFault()); err != nil {
			return err
		}
		if err := k.group.await(ctx, func() error {
			r, err := k.group.report(p)
			if err == nil && r.OutOfContact {
				err = errors.New("out of touch")
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

func (k *leaderKills) drawFault() string { return k.kinds[k.random.Intn(len(k.kinds))] }

func (k *leaderKills) loseLeaders(ctx context.Context, kills int) error {
	for number := 1; number <= kills && ctx.Err() == nil; number++ {
		if err := k.loseLeader(ctx, number); err != nil {
			return err
		}
	}
	return nil
}

// loseLeader takes the leader from the group, holds the others to taking writes again in time, and brings it back.
func (k *leaderKills) loseLeader(ctx context.Context, number int) error {
	time.Sleep(time.Duration(100+k.random.Intn(200)) * time.Millisecond)
	loss, err := k.strike(ctx)
	if err != nil {
		return err
	}
	if !loss.ended { // writes go on until the fault shows: it is over once another leads
		if err := k.awaitOtherLeader(ctx, loss.leader); err != nil {
			return brokenPromise(fmt.Sprintf("kill %d: leader %q is not followed: %v", number, loss.fault, err))
		}
	}
	gap := k.awaitWrite(ctx, loss.at)
	if gap <= 0 || gap > realWithin {
		return brokenPromise(fmt.Sprintf("no write was taken for %v after kill %d of a leader of %d at %q",
			time.Since(k.load.started)-loss.at, number, len(k.group.procs), loss.fault))
	}
	k.byFault[loss.fault]++
	k.gaps.RecordValue(gap.Milliseconds())
	return k.restore(ctx, loss)
}

// strike sets off the leader's fault, or parts the leader from the others.
func (k *leaderKills) strike(ctx context.Context) (*leaderLoss, error) {
	leader, err := k.group.awaitLeader(ctx, groupPatience)
	if err != nil {
		return nil, err
	}
	loss := &leaderLoss{leader: leader, fault: leader.fault, cut: k.random.Intn(8) == 0}
	if loss.cut {
		loss.fault = cutOff
	}
	loss.at = time.Since(k.load.started)
	if loss.ended = k.group.crashAt(leader, loss.cut); loss.ended {
		loss.at = time.Since(k.load.started)
	}
	return loss, nil
}

func (k *leaderKills) awaitOtherLeader(ctx context.Context, lost *instanceProcess) error {
	return k.group.await(ctx, func() error {
		if leader := k.group.leader(); leader == nil || leader == lost {
			return errors.New("no other leader")
		}
		return nil
	})
}

// awaitWrite waits until a write is taken after a moment, twice as long as is promised at most. It gives how long that
// took; not above zero: none was.
func (k *leaderKills) awaitWrite(ctx context.Context, since time.Duration) time.Duration {
	for k.load.lastAnswer.Load() <= int64(since) && ctx.Err() == nil &&
		time.Since(k.load.started)-since <= 2*realWithin {
		time.Sleep(time.Millisecond)
	}
	return time.Duration(k.load.lastAnswer.Load()) - since
}

// restore ends the fault and waits until the instance that led takes part again, before the next leader is lost.
func (k *leaderKills) restore(ctx context.Context, loss *leaderLoss) error {
	p := loss.leader
	if !loss.ended && !loss.cut { // its disk failed: once it answers it is ended, and starts anew
		if err := k.group.awaitUp(ctx, p); err != nil {
			return err
		}
		k.group.kill(p)
		loss.ended = true
	}
	k.group.forwarders.heal()
	if loss.ended {
		if err := k.group.start(p, k.drawFault()); err != nil {
			return err
		}
	}
	return k.group.await(ctx, func() error {
		r, err := k.group.report(p)
		if err == nil && (r.OutOfContact || r.Role != "follower" && r.Role != "leader") {
			err = fmt.Errorf("%s is %s", p.name, r.Role)
		}
		return err
	})
}

// addResults brings the row, figures, notes and plot of a group's run into the report.
func (k *leaderKills) addResults(rep *report.Report, plot *report.Plot) {
	size, gaps := len(k.group.procs), k.gaps
	rep.Rows = append(rep.Rows, []string{"leader lost", strconv.Itoa(size),
		strconv.FormatInt(gaps.TotalCount(), 10), strconv.Itoa(k.load.puts), strconv.FormatBool(rep.Broken != ""),
		report.FormatMilliseconds(gaps.ValueAtQuantile(50)), report.FormatMilliseconds(gaps.ValueAtQuantile(99)),
		report.FormatMilliseconds(gaps.Max())})
	key := fmt.Sprintf("kills%d", size)
	rep.AddFigure(key, "%d", gaps.TotalCount())
	rep.AddFigure(key+"_median_ms", "%d", gaps.ValueAtQuantile(50))
	rep.AddFigure(key+"_p99_ms", "%d", gaps.ValueAtQuantile(99))
	rep.AddFigure(key+"_worst_ms", "%d", gaps.Max())
	for _, fault := range append(k.kinds, cutOff) {
		if n := k.byFault[fault]; n > 0 {
			rep.Notes = append(rep.Notes, fmt.Sprintf("%d instances: %d leaders: %s", size, n, faultText(fault)))
		}
	}
	rep.AddFigure(key+"_versions", "%d", len(k.load.committed))
	line := report.Line{Name: fmt.Sprintf("%d instances", size)}
	for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 100} {
		line.Points = append(line.Points, [2]float64{float64(gaps.ValueAtQuantile(q)), q / 100})
	}
	plot.Lines = append(plot.Lines, line)
}

// faultText names a fault for the report.
func faultText(kind string) string {
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
