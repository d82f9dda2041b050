package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/consensus"
)

// Timing of a local group.
const (
	// restartDelay is the time between an instance's exit and its restart. An instance that fails sooner than this
	// after its start, for example on an unusable folder, ends the command.
	restartDelay = 2 * time.Second
	// localStopTimeout is the time that an instance has to exit after SIGTERM before it is killed.
	localStopTimeout = 5 * time.Second
	// localJoinTimeout is the time for an instance to respond, and for all instances to become voters.
	localJoinTimeout  = 10 * time.Second
	localPollInterval = 20 * time.Millisecond
)

// peerPortOffset is subtracted from an instance's client port to get its peer port.
const peerPortOffset = 100

// localGroupOptions are the flags of `control local`.
type localGroupOptions struct {
	dir       string
	instances int
	firstPort int
}

func newControlLocal(clientFlags *clientOptions) *cobra.Command {
	var r localGroupOptions
	c := &cobra.Command{Use: "local", Short: "Run a group of control instances on loopback", Args: exactArgs(0),
		Long: `Start control instances as separate processes on loopback ports, join them into one group, print its
status and run until interrupted. An instance that exits is restarted after two seconds. Settings, logs and data
stay under --dir, and a later run with the same --dir resumes from them.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if r.instances < 1 || r.instances > 7 {
				return usageError(fmt.Errorf("--instances: found %d, expected 1 to 7", r.instances))
			}
			return r.run(cmd.Context(), clientFlags, cmd.OutOrStdout())
		}}
	c.Flags().StringVar(&r.dir, "dir", "control-local", "folder for settings, logs and data")
	c.Flags().IntVar(&r.instances, "instances", 3, "number of control instances, 1 to 7")
	c.Flags().IntVar(&r.firstPort, "port", 7201, "client port of the first instance; peer ports are lower by 100")
	return c
}

// run runs the group until the context ends or an instance fails to start.
func (r *localGroupOptions) run(ctx context.Context, clientFlags *clientOptions, w io.Writer) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err = os.MkdirAll(r.dir, 0o700); err != nil {
		return err
	}
	c, err := clientFlags.client()
	if err != nil {
		return err
	}
	g := &localGroup{program: program, client: c, out: w, failed: make(chan error, r.instances+1)}
	for i := range r.instances {
		name := string(rune('a' + i))
		g.instances = append(g.instances, &localInstance{name: name, listen: fmt.Sprintf("127.0.0.1:%d", r.firstPort+i),
			peer: fmt.Sprintf("127.0.0.1:%d", r.firstPort+i-peerPortOffset), data: filepath.Join(r.dir, name)})
	}
	if err = g.run(ctx); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, r.dir)
	}
	_, err = fmt.Fprintf(w, "all instances have exited; logs are in %s\n", r.dir)
	return err
}

// localGroup is a group whose instances are child processes of this one.
type localGroup struct {
	program     string
	client      *client
	out         io.Writer
	instances   []*localInstance
	supervisors sync.WaitGroup
	failed      chan error // buffered for one error of each instance and one of formGroup
}

// localInstance is an instance of a local group. Its settings and log are files beside its data folder.
type localInstance struct {
	name, listen, peer, data string
	process                  *exec.Cmd // owned by the supervisor once supervise runs
	firstPID                 int
}

func (i *localInstance) configFile() string { return i.data + ".ini" }
func (i *localInstance) logFile() string    { return i.data + ".log" }

// run starts all instances and returns once all have exited.
func (g *localGroup) run(ctx context.Context) error {
	running, stop := context.WithCancel(ctx)
	defer g.supervisors.Wait()
	defer stop()
	for n, i := range g.instances {
		if err := g.startSupervised(running, i, n == 0); err != nil {
			return err
		}
	}
	g.supervisors.Go(func() {
		if err := g.formGroup(running); err != nil && running.Err() == nil {
			g.failed <- err
		}
	})
	select {
	case err := <-g.failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// startSupervised writes an instance's settings, starts it, and restarts it whenever it exits.
func (g *localGroup) startSupervised(ctx context.Context, i *localInstance, createsGroup bool) error {
	if err := i.writeConfig(createsGroup); err != nil {
		return err
	}
	if err := g.start(ctx, i); err != nil {
		return err
	}
	i.firstPID = i.process.Process.Pid
	g.supervisors.Go(func() {
		if err := g.supervise(ctx, i); err != nil {
			g.failed <- err
		}
	})
	return nil
}

// start starts an instance's process; it is stopped when the context ends.
func (g *localGroup) start(ctx context.Context, i *localInstance) error {
	log, err := os.OpenFile(i.logFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the child process has its own descriptor
	p := exec.CommandContext(ctx, g.program, "control", "run", "--file", i.configFile())
	p.Stderr = log
	p.Cancel = func() error { return p.Process.Signal(syscall.SIGTERM) }
	p.WaitDelay = localStopTimeout
	i.process = p
	return p.Start()
}

// supervise restarts an instance whenever it exits, until the context ends.
func (g *localGroup) supervise(ctx context.Context, i *localInstance) error {
	for {
		startedAt := time.Now()
		err := i.process.Wait()
		if ctx.Err() != nil {
			return nil
		}
		if !endedBySignal(err) && time.Since(startedAt) < restartDelay {
			return fmt.Errorf("instance %s failed to start, see %s: %w", i.name, i.logFile(), err)
		}
		outcome := "status 0"
		if err != nil {
			outcome = err.Error()
		}
		fmt.Fprintf(g.out, "instance %s exited (%s), restarting it in %v\n", i.name, outcome, restartDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
		if err = g.start(ctx, i); err != nil {
			return err
		}
		fmt.Fprintf(g.out, "restarted instance %s, pid %d\n", i.name, i.process.Process.Pid)
	}
}

// endedBySignal reports whether a process was killed by a signal, or exited with status 0 as after SIGTERM.
func endedBySignal(err error) bool {
	var exit *exec.ExitError
	return err == nil || errors.As(err, &exit) && exit.ExitCode() < 0
}

// formGroup adds all instances to one group, and prints its status and addresses.
func (g *localGroup) formGroup(ctx context.Context) error {
	var addresses, pids []string
	for _, i := range g.instances {
		addresses = append(addresses, i.listen)
		pids = append(pids, fmt.Sprintf("instance %s: pid %d", i.name, i.firstPID))
	}
	g.client.addresses = addresses
	for _, address := range addresses {
		if err := g.client.addOnceUp(ctx, address); err != nil {
			return err
		}
	}
	if err := g.client.awaitVoters(ctx, len(addresses)); err != nil {
		return err
	}
	if err := g.client.printStatus(ctx, g.out); err != nil {
		return err
	}
	_, err := fmt.Fprintf(g.out, "%s\nrunning; show its status with: umberctl control status --at %s\n",
		strings.Join(pids, ", "), strings.Join(addresses, ","))
	return err
}

// addOnceUp adds an instance to the group once it responds, unless it is a member already.
func (c *client) addOnceUp(ctx context.Context, address string) error {
	for deadline := time.Now().Add(localJoinTimeout); ; time.Sleep(localPollInterval) {
		r, err := c.fetchReport(ctx, address)
		if err == nil {
			return c.addUnlessMember(ctx, address, r)
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("%s does not respond: %w", address, err)
		}
	}
}

func (c *client) addUnlessMember(ctx context.Context, address string, r *consensus.StatusReport) error {
	if r.Cluster != "" {
		return nil
	}
	ch, err := c.newAddChange(ctx, address)
	if err != nil {
		return err
	}
	return c.changeMembers(ctx, ch)
}

// awaitVoters waits until count instances are voters.
func (c *client) awaitVoters(ctx context.Context, count int) error {
	deadline := time.Now().Add(localJoinTimeout)
	for ; time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(localPollInterval) {
		rows, _, err := c.instanceRows(ctx)
		voters := 0
		for _, r := range rows {
			if r.Report != nil && (r.Report.Role == consensus.RoleLeader || r.Report.Role == consensus.RoleFollower) {
				voters++
			}
		}
		if err == nil && voters == count {
			return nil
		}
	}
	return fmt.Errorf("not all of %d instances became voters within %v", count, localJoinTimeout)
}

// writeConfig writes the instance's settings file unless it exists from an earlier run. The first instance creates the
// group; the others join it.
func (i *localInstance) writeConfig(createsGroup bool) error {
	if _, err := os.Stat(i.configFile()); err == nil {
		return nil
	}
	start := "join"
	if createsGroup {
		start = "new"
	}
	text := fmt.Sprintf(`; written by umberctl control local
[instance]
name = %s
data = %s
start = %s
peer = %s
listen = %s
`, i.name, i.data, start, i.peer, i.listen)
	return os.WriteFile(i.configFile(), []byte(text), 0o600)
}
