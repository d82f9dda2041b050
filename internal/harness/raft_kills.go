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
	group      *controlProcesses
	load       *putLoad
	random     *rand.Rand
	faultKinds []string // faults that an instance may be started with
	writeGaps  *hdrhistogram.Histogram
	byFault    map[string]int
}

// leaderLoss is how one leader was lost.
type leaderLoss struct {
	leader      *instanceProcess
	fault       string
	partitioned bool          // it is parted from the others, and its process goes on
	exited      bool          // its process is gone
	lostAt      time.Duration // since the load's begin
}

// killLeaders has clients put under load while each leader in turn fails by a fault drawn from the seed. Another
// instance has to take writes within maxFailoverTime, and at the end the history has to hold each version that a client was
// told, once.
func (r *RaftTest) killLeaders(ctx context.Context, rep *report.Report, plot *report.Plot, size, kills int,
	extra string) error {
	return withGroup(ctx, r.Program, rep, size, extra, func(c *controlProcesses) error {
		k := &leaderKills{group: c, random: rand.New(rand.NewSource(r.Seed)), writeGaps: hdrhistogram.New(1, 60_000, 3),
			faultKinds: append([]string{"", faultDiskStall, faultDiskFull}, stepNames()...), byFault: map[string]int{}}
		k.load = c.startLoad(ctx, max(1, r.Clients))
		defer k.load.close()
		if err := k.restartArmed(ctx); err != nil {
			return err
		}
		if err := recordViolation(rep, k.loseLeaders(ctx, kills)); err != nil {
			return err
		}
		if err := k.load.stopAndCheck(); err != nil {
			rep.Break("%d instances: %v", size, err)
		}
		k.addResults(rep, plot)
		return nil
	})
}

// restartArmed starts each instance anew with a fault of its own, which a signal sets off later.
func (k *leaderKills) restartArmed(ctx context.Context) error {
	for _, p := range k.group.instances {
		k.group.kill(p)
		if err := k.group.start(p, k.drawFault()); err != nil {
			return err
		}
		if err := k.group.await(ctx, func() error {
			r, err := k.group.status(p)
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

func (k *leaderKills) drawFault() string { return k.faultKinds[k.random.Intn(len(k.faultKinds))] }

func (k *leaderKills) loseLeaders(ctx context.Context, kills int) error {
	for number := 1; number <= kills && ctx.Err() == nil; number++ {
		if err := k.loseLeader(ctx, number); err != nil {
			return err
		}
	}
	return nil
}

// replaceLeader takes the leader from the group, holds the others to taking writes again in time, and brings it back.
func (k *leaderKills) loseLeader(ctx context.Context, number int) error {
	time.Sleep(time.Duration(100+k.random.Intn(200)) * time.Millisecond)
	loss, err := k.failLeader(ctx)
	if err != nil {
		return err
	}
	if !loss.exited { // writes go on until the fault shows: it is over once another leads
		if err := k.awaitOtherLeader(ctx, loss.leader); err != nil {
			return invariantError(fmt.Sprintf("kill %d: leader %q is not followed: %v", number, loss.fault, err))
		}
	}
	gap := k.awaitWrite(ctx, loss.lostAt)
	if gap <= 0 || gap > maxFailoverTime {
		return invariantError(fmt.Sprintf("no write was taken for %v after kill %d of a leader of %d at %q",
			time.Since(k.load.started)-loss.lostAt, number, len(k.group.instances), loss.fault))
	}
	k.byFault[loss.fault]++
	k.writeGaps.RecordValue(gap.Milliseconds())
	return k.restore(ctx, loss)
}

// failLeader sets off the leader's fault, or parts the leader from the others.
func (k *leaderKills) failLeader(ctx context.Context) (*leaderLoss, error) {
	leader, err := k.group.awaitLeader(ctx, groupTimeout)
	if err != nil {
		return nil, err
	}
	loss := &leaderLoss{leader: leader, fault: leader.fault, partitioned: k.random.Intn(8) == 0}
	if loss.partitioned {
		loss.fault = faultPartition
	}
	loss.lostAt = time.Since(k.load.started)
	if loss.exited = k.group.injectFault(leader, loss.partitioned); loss.exited {
		loss.lostAt = time.Since(k.load.started)
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
	for k.load.lastResponse.Load() <= int64(since) && ctx.Err() == nil &&
		time.Since(k.load.started)-since <= 2*maxFailoverTime {
		time.Sleep(time.Millisecond)
	}
	return time.Duration(k.load.lastResponse.Load()) - since
}

// restore ends the fault and waits until the instance that led takes part again, before the next leader is lost.
func (k *leaderKills) restore(ctx context.Context, loss *leaderLoss) error {
	p := loss.leader
	if !loss.exited && !loss.partitioned { // its disk failed: once it answers it is ended, and starts anew
		if err := k.group.awaitResponding(ctx, p); err != nil {
			return err
		}
		k.group.kill(p)
		loss.exited = true
	}
	k.group.forwarders.heal()
	if loss.exited {
		if err := k.group.start(p, k.drawFault()); err != nil {
			return err
		}
	}
	return k.group.await(ctx, func() error {
		r, err := k.group.status(p)
		if err == nil && (r.OutOfContact || r.Role != "follower" && r.Role != "leader") {
			err = fmt.Errorf("%s is %s", p.name, r.Role)
		}
		return err
	})
}

// addResults brings the row, figures, notes and plot of a group's run into the report.
func (k *leaderKills) addResults(rep *report.Report, plot *report.Plot) {
	size, gaps := len(k.group.instances), k.writeGaps
	rep.Rows = append(rep.Rows, []string{"leader lost", strconv.Itoa(size),
		strconv.FormatInt(gaps.TotalCount(), 10), strconv.Itoa(k.load.puts), strconv.FormatBool(rep.Broken != ""),
		report.Milliseconds(gaps.ValueAtQuantile(50)), report.Milliseconds(gaps.ValueAtQuantile(99)),
		report.Milliseconds(gaps.Max())})
	key := fmt.Sprintf("kills%d", size)
	rep.Add(key, "%d", gaps.TotalCount())
	rep.Add(key+"_median_ms", "%d", gaps.ValueAtQuantile(50))
	rep.Add(key+"_p99_ms", "%d", gaps.ValueAtQuantile(99))
	rep.Add(key+"_worst_ms", "%d", gaps.Max())
	for _, fault := range append(k.faultKinds, faultPartition) {
		if n := k.byFault[fault]; n > 0 {
			rep.Notes = append(rep.Notes, fmt.Sprintf("%d instances: %d leaders: %s", size, n, faultText(fault)))
		}
	}
	rep.Add(key+"_versions", "%d", len(k.load.committed))
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
	case faultPartition:
		return "cut off from all others"
	case faultDiskStall:
		return "its disk stalled " + diskStallTime.String()
	case faultDiskFull:
		return "its disk was full"
	}
	return "killed itself before " + kind
}
