package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/config"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/harness"
	"umberwinch/internal/logging"
	"umberwinch/internal/wal"
)

func newControl() *cobra.Command {
	c := &cobra.Command{Use: "control", Short: "The control service: run an instance, see and change a group"}
	var a access
	a.flags(c)
	c.AddCommand(newRun(), newLocal(&a), newStatus(&a), newMembers(&a), newSnapshot(&a), newRecover())
	return c
}

func newRun() *cobra.Command {
	var file string
	c := &cobra.Command{Use: "run", Short: "Run one instance until SIGTERM", Args: exact(0),
		Long: `Runs one instance of the control service by the operator's file. SIGTERM hands the lead over and ends it;
SIGHUP reads the certificates again. A write or sync that fails ends it with status 1.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := config.ReadControl(file)
			if err != nil {
				return usage(err)
			}
			return runInstance(cmd.Context(), o, cmd.ErrOrStderr())
		}}
	c.Flags().StringVar(&file, "file", "deploy/control.ini", "the operator's file")
	return c
}

func runInstance(ctx context.Context, o *config.Control, out io.Writer) error {
	log := logging.New(out, o.LogForm, o.LogFrom)
	g, err := consensus.Start(o, log, harness.FaultsFromEnvironment())
	if err != nil {
		return err
	}
	api, err := g.Serve()
	if err != nil {
		g.Stop(ctx)
		return err
	}
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-hups:
			if err := g.Reload(); err != nil {
				log.WithField(logging.Error, err).Error("certificates not taken, the old ones stay")
			} else {
				log.Info("certificates read again")
			}
		case <-g.Done():
			api.Stop()
			log.WithField(logging.Error, g.Err()).Error("the instance can't go on")
			return g.Err()
		case <-ctx.Done():
			log.Info("ending")
			end, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			g.Stop(end)
			api.Stop()
			return g.Err()
		}
	}
}

func newStatus(a *access) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show each instance of a group", Args: exact(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			return c.status(cmd.Context(), cmd.OutOrStdout())
		}}
}

// row is one instance as status shows it.
type row struct {
	Name   string            `json:"name"`
	Listen string            `json:"listen"`
	Report *consensus.Report `json:"report,omitempty"`
	Error  string            `json:"error,omitempty"`
}

// rows asks every member of the group, as the instance says that is furthest of those asked first.
func (c *client) rows(ctx context.Context) ([]row, *consensus.Report, error) {
	var best *consensus.Report
	var last error
	for _, at := range c.at {
		r, err := c.report(ctx, at)
		if err != nil {
			last = fmt.Errorf("%s: %w", at, err)
			continue
		}
		if best == nil || r.Applied > best.Applied {
			best = r
		}
	}
	if best == nil {
		return nil, nil, coded{fmt.Errorf("no instance answers: %w", last), exitUnknown}
	}
	var out []row
	if len(best.Members) == 0 {
		out = append(out, row{Name: best.Name, Report: best})
	}
	for _, m := range best.Members {
		r, err := c.report(ctx, m.Listen)
		one := row{Name: m.Name, Listen: m.Listen, Report: r}
		if err != nil {
			one.Error = err.Error()
		}
		out = append(out, one)
	}
	return out, best, nil
}

func (c *client) report(ctx context.Context, at string) (*consensus.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	res, err := c.one(ctx, at, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var r consensus.Report
	return &r, json.NewDecoder(res.Body).Decode(&r)
}

func (c *client) status(ctx context.Context, w io.Writer) error {
	rows, best, err := c.rows(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(w, rows)
	}
	fmt.Fprintf(w, "group %s, version %d\n", orNone(best.Cluster), best.Version)
	return table(w, statusTable(rows, best.Commit))
}

func orNone(s string) string {
	if s == "" {
		return "none yet"
	}
	return s
}

func statusTable(rows []row, commit uint64) [][]string {
	out := [][]string{{"NAME", "LISTEN", "ROLE", "TERM", "LOG", "APPLIED", "LAG", "VERSION", "DISK", "AWAY",
		"NOTE"}}
	for _, r := range rows {
		if r.Report == nil {
			out = append(out, []string{r.Name, r.Listen, "-", "-", "-", "-", "-", "-", "-", "-", "no answer"})
			continue
		}
		s, note := r.Report, ""
		switch {
		case s.Barred != "":
			note = s.Barred
		case s.OutOfContact:
			note = "out of touch: may be old"
		}
		lag := uint64(0)
		if commit > s.Applied {
			lag = commit - s.Applied
		}
		out = append(out, []string{r.Name, r.Listen, s.Role, strconv.FormatUint(s.Term, 10),
			fmt.Sprintf("%d-%d", s.FirstIndex, s.LastIndex), strconv.FormatUint(s.Applied, 10), strconv.FormatUint(lag, 10),
			strconv.FormatUint(s.Version, 10), fmt.Sprintf("%.1f MB", float64(s.DiskBytes)/(1<<20)),
			fmt.Sprintf("%d ms", s.SinceLeaderMS), note})
	}
	return out
}

func newMembers(a *access) *cobra.Command {
	c := &cobra.Command{Use: "members", Short: "Add, promote, remove or replace instances; hand the lead over"}
	change := func(use, short string, n int, make func(context.Context, *client, []string) (consensus.Change,
		error)) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: exact(n),
			RunE: func(cmd *cobra.Command, args []string) error {
				c, err := a.client()
				if err != nil {
					return err
				}
				ch, err := make(cmd.Context(), c, args)
				if err != nil {
					return err
				}
				if err = c.change(cmd.Context(), ch); err != nil {
					return err
				}
				return c.status(cmd.Context(), cmd.OutOrStdout())
			}})
	}
	change("add LISTEN", "Take in the instance that listens at LISTEN: a learner, and a voter once it caught up", 1,
		func(ctx context.Context, c *client, args []string) (consensus.Change, error) {
			return c.adding(ctx, args[0])
		})
	for _, op := range []string{"promote", "remove"} {
		change(op+" NAME", map[string]string{"promote": "Make a learner a voter",
			"remove": "Remove an instance"}[op], 1,
			func(ctx context.Context, c *client, args []string) (consensus.Change, error) {
				m, err := c.member(ctx, args[0])
				return consensus.Change{Op: op, Member: m}, err
			})
	}
	change("replace NAME BY", "Make the learner BY a voter and remove NAME, in one step", 2,
		func(ctx context.Context, c *client, args []string) (consensus.Change, error) {
			gone, err := c.member(ctx, args[0])
			if err != nil {
				return consensus.Change{}, err
			}
			m, err := c.member(ctx, args[1])
			return consensus.Change{Op: "replace", Member: m, ReplacedID: gone.ID}, err
		})
	change("transfer NAME", "Hand the lead to an instance", 1,
		func(ctx context.Context, c *client, args []string) (consensus.Change, error) {
			m, err := c.member(ctx, args[0])
			return consensus.Change{Op: "transfer", Member: m}, err
		})
	return c
}

// adding asks an instance who it is.
func (c *client) adding(ctx context.Context, listen string) (consensus.Change, error) {
	res, err := c.one(ctx, listen, http.MethodGet, "/v1/self", nil)
	if err != nil {
		return consensus.Change{}, fmt.Errorf("%s, the instance to be added: %w", listen, err)
	}
	defer res.Body.Close()
	var s consensus.Self
	if err = json.NewDecoder(res.Body).Decode(&s); err != nil {
		return consensus.Change{}, err
	}
	return consensus.Change{Op: "add", Member: consensus.Member{ID: s.ID, Name: s.Name, Peer: s.Peer,
		Listen: s.Listen, Promote: true}}, nil
}

func (c *client) member(ctx context.Context, name string) (consensus.Member, error) {
	_, best, err := c.rows(ctx)
	if err != nil {
		return consensus.Member{}, err
	}
	names := make([]string, 0, len(best.Members))
	for _, m := range best.Members {
		if m.Name == name {
			return m, nil
		}
		names = append(names, m.Name)
	}
	return consensus.Member{}, usage(fmt.Errorf("found no instance %q, expected one of %s", name,
		strings.Join(names, ", ")))
}

// change asks for a change of members. Asked again it is found done, or refused for what it is.
func (c *client) change(ctx context.Context, ch consensus.Change) error {
	body, err := json.Marshal(ch)
	if err != nil {
		return err
	}
	if ch.Op == "transfer" { // only the leader can
		if rows, _, err := c.rows(ctx); err == nil {
			for _, r := range rows {
				if r.Report != nil && r.Report.Role == "leader" {
					c.at = append([]string{r.Listen}, c.at...)
				}
			}
		}
	}
	res, err := c.ask(ctx, http.MethodPost, "/v1/members", body)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func newSnapshot(a *access) *cobra.Command {
	c := &cobra.Command{Use: "snapshot", Short: "Save a group's state to a file, or begin a new group from one"}
	c.AddCommand(&cobra.Command{Use: "save FILE", Short: "Save the state, as new as any answer before",
		Args: exact(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			res, err := c.ask(cmd.Context(), http.MethodGet, "/v1/snapshot", nil)
			if err != nil {
				return err
			}
			defer res.Body.Close()
			n, err := saveFile(args[0], res.Body)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "saved version %s, %d bytes, to %s\n",
				res.Header.Get(consensus.HeaderVersion),
				n, args[0])
			return nil
		}})
	var file string
	restore := &cobra.Command{Use: "restore FILE",
		Short: "Make an empty folder the first instance of a new group",
		Args:  exact(1), Long: `Writes the saved state into the folder of the operator's file, which has to be empty, as
the first instance of a new group with an id of its own. For when a majority of the old group is lost for good: what
was agreed on after the save is lost, and what is left of the old group is refused by the new one.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := config.ReadControl(file)
			if err != nil {
				return usage(err)
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return usage(err)
			}
			dir, err := wal.MakeDir(o.Data)
			if err != nil {
				return err
			}
			v, err := consensus.Restore(dir, consensus.ConfigFrom(o), raw)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "a new group of one with version %d from %s; what came after it is lost.\n"+
				"Start it with: umberctl control run --file %s\n", v.Number, args[0], file)
			return nil
		}}
	restore.Flags().StringVar(&file, "file", "deploy/control.ini", "the operator's file of the instance")
	c.AddCommand(restore)
	return c
}

// saveFile writes beside and renames, so that a file is there whole or not at all.
func saveFile(path string, from io.Reader) (int64, error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return 0, err
	}
	defer os.Remove(f.Name())
	n, err := io.Copy(f, from)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return n, err
	}
	return n, os.Rename(f.Name(), path)
}

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
		defer out.Close()
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

// Again, and how long after its end, an instance of a local group is started; one that ends by itself
// sooner than that does not come up at all, as on a folder that can't be used, and ends the command.
const againAfter = 2 * time.Second

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
