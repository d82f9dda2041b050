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

// Times of a local group.
const (
	// restartDelay is how long after its end an instance is started again. One that ends by itself sooner than that
	// does not come up at all, as on a folder that can't be used, and ends the command.
	restartDelay = 2 * time.Second
	// localStopTimeout is how long an instance may take to end before it is killed.
	localStopTimeout = 5 * time.Second
	// localJoinTimeout is how long an instance may take to answer, and the group to have all of them as voters.
	localJoinTimeout = 10 * time.Second
	// localPollInterval is the pause between two looks at instances that are not up yet.
	localPollInterval = 20 * time.Millisecond
)

// peerPortOffset is how far below an instance's port for clients its port for peers is.
const peerPortOffset = 100

// localGroupOptions is what the flags of `control local` ask for.
type localGroupOptions struct {
	dir       string
	instances int
	firstPort int
}

func newControlLocal(a *clientOptions) *cobra.Command {
	var r localGroupOptions
	c := &cobra.Command{Use: "local", Short: "Run a whole group on loopback, for a look", Args: exactArgs(0),
		Long: `Starts instances as processes of their own on loopback ports, takes them into one group, shows it
and runs until it is interrupted. One that ends is started again two seconds later; the others go on meanwhile.
Their files, logs and folders stay under --dir, so a later start goes on where this one ended.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if r.instances < 1 || r.instances > 7 {
				return usageError(fmt.Errorf("--instances: found %d, expected 1 to 7", r.instances))
			}
			return r.run(cmd.Context(), a, cmd.OutOrStdout())
		}}
	c.Flags().StringVar(&r.dir, "dir", "control-local", "folder for their files, logs and data")
	c.Flags().IntVar(&r.instances, "instances", 3, "how many")
	c.Flags().IntVar(&r.firstPort, "port", 7201, "first port for clients; peers have those 100 below")
	return c
}

// run runs the group until the context ends or an instance does not come up.
func (r *localGroupOptions) run(ctx context.Context, a *clientOptions, w io.Writer) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err = os.MkdirAll(r.dir, 0o700); err != nil {
		return err
	}
	c, err := a.client()
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
	_, err = fmt.Fprintf(w, "all instances have ended; logs are in %s\n", r.dir)
	return err
}

// localGroup is a group whose instances are processes of this one.
type localGroup struct {
	program     string
	client      *client
	out         io.Writer
	instances   []*localInstance
	supervisors sync.WaitGroup
	failed      chan error // why the group can't go on; has room for one of each instance and of the set-up
}

// localInstance is one of them. Its data is in a folder, its settings and log beside that under the folder's name.
type localInstance struct {
	name, listen, peer, data string
	process                  *exec.Cmd // its supervisor's alone once it began
	firstPID                 int
}

func (i *localInstance) configFile() string { return i.data + ".ini" }
func (i *localInstance) logFile() string    { return i.data + ".log" }

// run starts all instances and returns once all have ended.
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

// startSupervised starts an instance for the first time, and has it started again whenever it ends.
func (g *localGroup) startSupervised(ctx context.Context, i *localInstance, founds bool) error {
	if err := i.writeConfig(founds); err != nil {
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

// start runs an instance's process until the context ends.
func (g *localGroup) start(ctx context.Context, i *localInstance) error {
	log, err := os.OpenFile(i.logFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	p := exec.CommandContext(ctx, g.program, "control", "run", "--file", i.configFile())
	p.Stderr = log
	p.Cancel = func() error { return p.Process.Signal(syscall.SIGTERM) }
	p.WaitDelay = localStopTimeout
	i.process = p
	return p.Start()
}

// supervise starts an instance again whenever it ends, until the context does.
func (g *localGroup) supervise(ctx context.Context, i *localInstance) error {
	for {
		began := time.Now()
		err := i.process.Wait()
		if ctx.Err() != nil {
			return nil
		}
		if !endedBySignal(err) && time.Since(began) < restartDelay {
			return fmt.Errorf("instance %s does not come up, see %s: %w", i.name, i.logFile(), err)
		}
		how := "status 0"
		if err != nil {
			how = err.Error()
		}
		fmt.Fprintf(g.out, "instance %s ended (%s); it is started again in %v, the others go on\n", i.name, how,
			restartDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
		if err = g.start(ctx, i); err != nil {
			return err
		}
		fmt.Fprintf(g.out, "instance %s is up again, pid %d\n", i.name, i.process.Process.Pid)
	}
}

// endedBySignal says whether an instance was killed, or asked to end: then it ends without an error.
func endedBySignal(err error) bool {
	var exit *exec.ExitError
	return err == nil || errors.As(err, &exit) && exit.ExitCode() < 0
}

// formGroup takes all instances into one group, and says how it is reached.
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
	_, err := fmt.Fprintf(g.out, "%s\nrunning; ask it with: umberctl control status --at %s\n",
		strings.Join(pids, ", "),
		strings.Join(addresses, ","))
	return err
}

// addOnceUp takes an instance into the group once it answers, unless it is a member already.
func (c *client) addOnceUp(ctx context.Context, address string) error {
	for end := time.Now().Add(localJoinTimeout); ; time.Sleep(localPollInterval) {
		r, err := c.fetchReport(ctx, address)
		if err == nil {
			return c.addUnlessMember(ctx, address, r)
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("%s does not answer: %w", address, err)
		}
	}
}

func (c *client) addUnlessMember(ctx context.Context, address string, r *consensus.Report) error {
	if r.Cluster != "" {
		return nil
	}
	ch, err := c.newAddChange(ctx, address)
	if err != nil {
		return err
	}
	return c.changeMembers(ctx, ch)
}

// awaitVoters waits until so many instances are voters.
func (c *client) awaitVoters(ctx context.Context, count int) error {
	end := time.Now().Add(localJoinTimeout)
	for ; time.Now().Before(end) && ctx.Err() == nil; time.Sleep(localPollInterval) {
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
	return fmt.Errorf("not all instances became voters in %v", localJoinTimeout)
}

// writeConfig writes the operator's file, unless it is there from an earlier run.
func (i *localInstance) writeConfig(founds bool) error {
	if _, err := os.Stat(i.configFile()); err == nil {
		return nil
	}
	start := "join"
	if founds {
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
