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

// leaderKills makes the leaders of a group fail in turn under load, and measures the time without an acknowledged
// write.
type leaderKills struct {
	group      *controlProcesses
	load       *putLoad
	random     *rand.Rand
	faultKinds []string // faults that an instance may be started with; "": killed with SIGKILL
	writeGaps  *hdrhistogram.Histogram
	byFault    map[string]int
}

// leaderLoss is one failure of a leader.
type leaderLoss struct {
	leader      *instanceProcess
	fault       string
	partitioned bool          // the leader is partitioned from the others and keeps running
	exited      bool          // its process has exited
	lostAt      time.Duration // since the start of the load
}

// killLeaders makes each leader in turn fail by a fault drawn from the seed, while clients put. Another instance has
// to acknowledge writes within maxFailoverTime, and at the end the history has to contain each acknowledged version
// once.
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

// restartArmed restarts each instance with a fault drawn for it, which a signal triggers later.
func (k *leaderKills) restartArmed(ctx context.Context) error {
	for _, p := range k.group.instances {
		k.group.kill(p)
		if err := k.group.start(p, k.drawFault()); err != nil {
			return err
		}
		if err := k.group.await(ctx, func() error {
			r, err := k.group.status(p)
			if err == nil && r.OutOfContact {
				err = fmt.Errorf("instance %s is out of contact with a majority", p.name)
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

// loseLeader makes the leader fail, checks that the others acknowledge writes in time, and restores it.
func (k *leaderKills) loseLeader(ctx context.Context, number int) error {
	time.Sleep(time.Duration(100+k.random.Intn(200)) * time.Millisecond)
	loss, err := k.failLeader(ctx)
	if err != nil {
		return err
	}
	if !loss.exited { // writes may continue until the fault takes effect, so wait for another leader first
		if err := k.awaitOtherLeader(ctx, loss.leader); err != nil {
			return invariantError(fmt.Sprintf("kill %d: leader %s failed by %q, want another leader within %v: %v",
				number, loss.leader.name, faultText(loss.fault), groupTimeout, err))
		}
	}
	gap := k.awaitWrite(ctx, loss.lostAt)
	if gap <= 0 || gap > maxFailoverTime {
		return invariantError(fmt.Sprintf("kill %d: leader %s of %d instances failed by %q: no write acknowledged "+
			"for %v, want one within %v", number, loss.leader.name, len(k.group.instances), faultText(loss.fault),
			time.Since(k.load.started)-loss.lostAt, maxFailoverTime))
	}
	k.byFault[loss.fault]++
	k.writeGaps.RecordValue(gap.Milliseconds())
	return k.restore(ctx, loss)
}

// failLeader triggers the leader's fault, or partitions the leader from the others.
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

// awaitWrite waits, for 2*maxFailoverTime at most, until a write is acknowledged after a time since the start of the
// load. It returns the time that this took; if no write was acknowledged, it isn't above 0.
func (k *leaderKills) awaitWrite(ctx context.Context, since time.Duration) time.Duration {
	for k.load.lastResponse.Load() <= int64(since) && ctx.Err() == nil &&
		time.Since(k.load.started)-since <= 2*maxFailoverTime {
		time.Sleep(time.Millisecond)
	}
	return time.Duration(k.load.lastResponse.Load()) - since
}

// restore removes the fault and waits until the instance is a follower or leader again.
func (k *leaderKills) restore(ctx context.Context, loss *leaderLoss) error {
	p := loss.leader
	if !loss.exited && !loss.partitioned { // a disk fault: the instance is killed once it responds, and restarted
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
			err = fmt.Errorf("instance %s has role %s, out of contact %v; want it a follower or leader in contact",
				p.name, r.Role, r.OutOfContact)
		}
		return err
	})
}

// addResults adds the row, figures, notes and plot of a group's run to the report.
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

// faultText describes a fault in the report.
func faultText(kind string) string {
	switch kind {
	case "":
		return "kill -9"
	case faultPartition:
		return "partitioned from all others"
	case faultDiskStall:
		return "disk stalled for " + diskStallTime.String()
	case faultDiskFull:
		return "disk full"
	}
	return "crashed before step " + kind
}
