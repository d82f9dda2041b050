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
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

func newLocal(a *access) *cobra.Command {
	var dir string
	var size, port int
	c := &cobra.Command{Use: "local", Short: "Run a whole group on loopback, for a look", Args: exact(0),
		Long: `Starts instances as processes of their own on loopback ports, takes them into one group, shows it and runs
until it is interrupted. One that ends is started again two seconds later; the others go on meanwhile. Their files and folders stay under --dir, so a later start goes on where this one ended.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if size < 1 || size > 7 {
				return usage(fmt.Errorf("--instances: found %d, expected 1 to 7", size))
			}
			return runLocal(cmd, a, dir, size, port)
		}}
	c.Flags().StringVar(&dir, "dir", "control-local", "folder for their files and data")
	c.Flags().IntVar(&size, "instances", 3, "how many")
	c.Flags().IntVar(&port, "port", 7201, "first port for clients; peers have those 100 below")
	return c
}

func runLocal(cmd *cobra.Command, a *access, dir string, size, port int) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	c.at = nil
	running, stop := context.WithCancel(cmd.Context())
	defer stop()
	ended := make(chan error, size)
	var listens, pids []string
	var logs []*os.File
	defer func() {
		for _, l := range logs {
			l.Close()
		}
	}()
	for i := 0; i < size; i++ {
		name := string(rune('a' + i))
		listen := fmt.Sprintf("127.0.0.1:%d", port+i)
		file := filepath.Join(dir, name+".ini")
		if err := writeLocal(file, dir, name, listen, port-100+i, i == 0); err != nil {
			return err
		}
		out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return err
		}
		logs = append(logs, out)
		begin := func() (*exec.Cmd, error) {
			child := exec.CommandContext(running, self, "control", "run", "--file", file)
			child.Stderr = out
			child.Cancel = func() error { return child.Process.Signal(syscall.SIGTERM) }
			child.WaitDelay = 5 * time.Second
			return child, child.Start()
		}
		child, err := begin()
		if err != nil {
			return err
		}
		go func() { ended <- again(running, cmd.OutOrStdout(), name, child, begin) }()
		listens, pids = append(listens, listen), append(pids, fmt.Sprintf("instance %s: pid %d", name, child.Process.Pid))
	}
	c.at = listens
	go func() {
		err := c.gather(running, listens)
		if err == nil {
			err = c.status(running, cmd.OutOrStdout())
		}
		if err != nil && running.Err() == nil {
			ended <- err
		} else if running.Err() == nil {
			fmt.Fprintf(cmd.OutOrStdout(), "%s\nrunning; ask it with: umberctl control status --at %s\n",
				strings.Join(pids, ", "), strings.Join(listens, ","))
		}
	}()
	select {
	case err = <-ended:
		size--
	case <-cmd.Context().Done():
		err = nil
	}
	stop()
	for ; size > 0; size-- {
		<-ended
	}
	return err
}

// again starts an instance anew whenever it ends, until the context does.
func again(ctx context.Context, w io.Writer, name string, child *exec.Cmd, begin func() (*exec.Cmd, error)) error {
	for {
		began := time.Now()
		err := child.Wait()
		if ctx.Err() != nil {
			return nil
		}
		var exit *exec.ExitError
		if killed := errors.As(err, &exit) && exit.ExitCode() < 0; !killed && time.Since(began) < againAfter {
			return fmt.Errorf("instance %s does not come up, see its log: %w", name, err)
		}
		fmt.Fprintf(w, "instance %s ended (%v); it is started again in %v, the others go on\n", name, err, againAfter)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(againAfter):
		}
		if child, err = begin(); err != nil {
			return err
		}
		fmt.Fprintf(w, "instance %s is up again, pid %d\n", name, child.Process.Pid)
	}
}

// gather takes all instances into one group, those that are not yet.
func (c *client) gather(ctx context.Context, listens []string) error {
	for _, listen := range listens {
		for end := time.Now().Add(10 * time.Second); ; {
			r, err := c.report(ctx, listen)
			if err == nil && r.Cluster != "" {
				break
			}
			if err == nil {
				ch, err := c.adding(ctx, listen)
				if err != nil {
					return err
				}
				if err = c.change(ctx, ch); err != nil {
					return err
				}
				break
			}
			if ctx.Err() != nil || time.Now().After(end) {
				return fmt.Errorf("%s does not answer: %w", listen, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		rows, _, err := c.rows(ctx)
		voters := 0
		for _, r := range rows {
			if r.Report != nil && (r.Report.Role == "leader" || r.Report.Role == "follower") {
				voters++
			}
		}
		if err == nil && voters == len(listens) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("not all instances became voters in 10 s")
}

func writeLocal(file, dir, name, listen string, peer int, found bool) error {
	if _, err := os.Stat(file); err == nil {
		return nil
	}
	start := map[bool]string{true: "new", false: "join"}[found]
	return os.WriteFile(file, []byte(fmt.Sprintf(`; written by umberctl control local
[instance]
name = %s
data = %s
start = %s
peer = 127.0.0.1:%d
listen = %s
`, name, filepath.Join(dir, name), start, peer, listen)), 0o600)
}
