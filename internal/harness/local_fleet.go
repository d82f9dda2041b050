package harness

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"umberwinch/internal/control/policy"
)

// LocalFleet is a fleet on loopback addresses, for trying things out. Processes that exit are restarted.
type LocalFleet struct {
	Program, Dir     string
	Instances, Nodes int
	Rate             float64
	Seconds          int
}

// Run starts the fleet, prints commands to try and callers' results until the context ends, and at the end names the
// folder of the logs.
func (l *LocalFleet) Run(ctx context.Context, w io.Writer) error {
	if err := l.run(ctx, w); err != nil && ctx.Err() == nil {
		return fmt.Errorf("%w; logs are in %s", err, l.Dir)
	}
	_, err := fmt.Fprintf(w, "all processes have ended; logs are in %s\n", l.Dir)
	return err
}

func (l *LocalFleet) run(ctx context.Context, w io.Writer) error {
	// Outlives ctx, so that Close stops processes in order
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	detach := context.AfterFunc(ctx, cancel) // ctx aborts the start
	r, err := NewFleetProcesses(runCtx, FleetProcessesConfig{Program: l.Program, Dir: l.Dir, Seed: 1,
		Instances: l.Instances, Nodes: l.Nodes, PersistPolicy: true, RestartExited: true})
	if err != nil {
		return err
	}
	defer r.Close()
	number, version, err := r.Propose(policyText(5*time.Second, "fence", 1, ""), policy.Proposal{Reason: "the first"})
	if err == nil {
		_, err = r.AwaitStep(number, 30*time.Second, policy.Settled)
	}
	if err == nil {
		err = r.AwaitAllServing(version, 20*time.Second)
	}
	if err != nil {
		return err
	}
	detach()
	var addrs []string
	for _, p := range r.group.instances {
		addrs = append(addrs, p.listen)
	}
	fmt.Fprintf(w, "%d control instances, %d nodes in 3 zones, policy version %d in force; logs are in %s\n\n",
		l.Instances, l.Nodes, version, l.Dir)
	fmt.Fprintf(w, "ask:\n  umberctl nodes list --at %s\n  umberctl policy status --at %[1]s\n",
		strings.Join(addrs, ","))
	fmt.Fprintf(w, "change (on standard input):\n"+
		"  printf '[fleet]\\nlease = 5s\\nwhen_alone = fence\\n[tenant t0]\\nrate = 500\\n' |\n"+
		"    umberctl policy propose - --reason \"t0 grows\" --at %s\n", strings.Join(addrs, ","))
	fmt.Fprintln(w, "kill -9, or stop (kill -STOP) and continue (kill -CONT):")
	for _, p := range r.group.instances {
		fmt.Fprintf(w, "  control %s  pid %d  at %s\n", p.name, p.pid(), p.listen)
	}
	for _, n := range r.nodes {
		fmt.Fprintf(w, "  node %s of %s  pid %d  at %s\n", n.name, n.zone, n.process.pid(), n.listen)
	}
	fmt.Fprintln(w, "a process that exits is restarted after two seconds; Ctrl-C ends all")
	calls := r.Load(ctx, max(l.Rate, 0.001))
	tick := time.NewTicker(10 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintf(w, "callers: %v\n", calls)
			return nil
		case <-tick.C:
			fmt.Fprintf(w, "callers: %v\n", calls)
		}
	}
}
