package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/config"
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/wal"
)

// recoverCommand is a run of `umberctl control recover`.
type recoverCommand struct {
	file, take  string
	wait        time.Duration
	found, json bool
	from        string
}

func newRecover() *cobra.Command {
	r := &recoverCommand{}
	c := &cobra.Command{Use: "recover",
		Short: "Restore a group whose state is lost, from what nodes and an old folder hold",
		Args:  exact(0), Long: `Listens where the instance of the operator's file listens for clients, which has
to be stopped, as all of the old group have to be. Nodes send their records, with what they served under;
the instance's folder, or the saved snapshot of --from, has its part. Shows what would be restored, on what
proof, and what can't be known. With --found it then makes the folder that of the first instance of the group's
next generation; the old folder is kept beside it. Nothing is ever restored without that.`,
		RunE: func(cmd *cobra.Command, _ []string) error { return r.run(cmd.Context(), cmd.OutOrStdout()) }}
	f := c.Flags()
	f.StringVar(&r.file, "file", "deploy/control.ini", "the operator's file of the instance")
	f.DurationVar(&r.wait, "for", 15*time.Second,
		"how long to listen for nodes; they send heartbeats every few seconds; 0: not at all")
	f.BoolVar(&r.found, "found", false, "found the group anew from what was found")
	f.StringVar(&r.take, "take", "",
		"where two documents have one number: the hash, or its first digits, of the one to take")
	f.StringVar(&r.from, "from", "", "a file of `control snapshot save`, in place of the folder")
	f.BoolVar(&r.json, "json", false, "print JSON")
	return c
}

func (r *recoverCommand) run(ctx context.Context, w io.Writer) error {
	o, err := config.ReadControl(r.file)
	if err != nil {
		return usage(err)
	}
	plan := consensus.ConfigFrom(o)
	old, there, err := r.old(o.Data, plan)
	if err != nil {
		return err
	}
	kept, asked, err := r.gather(ctx, o.Listen, w)
	if err != nil {
		return err
	}
	found := recovery.PlanRestore(kept, old.Evidence(), r.take)
	if r.json {
		if err = printJSON(w, found); err != nil {
			return err
		}
	} else {
		r.show(w, old, found, asked)
	}
	switch {
	case found.Conflict != "":
		return coded{errors.New(found.Conflict), exitRefused}
	case !r.found:
		if !r.json {
			fmt.Fprintln(w, "nothing was changed; once this is what you want: the same with --found")
		}
		return nil
	}
	if there {
		aside := fmt.Sprintf("%s.generation-%d-%s", o.Data, found.Lost.Generation,
			time.Now().UTC().Format("20060102T150405"))
		if err = os.Rename(o.Data, aside); err != nil {
			return err
		}
		if !r.json {
			fmt.Fprintf(w, "the old folder is %s now\n", aside)
		}
	}
	dir, err := wal.MakeDir(o.Data)
	if err != nil {
		return err
	}
	v, err := consensus.Recover(dir, plan, old, found)
	if err != nil {
		return err
	}
	if !r.json {
		fmt.Fprintf(w, "generation %d is founded, with version %d. Start it with: umberctl control run --file %s\n"+
			"Other instances join it on empty folders, by start = join and umberctl control members add.\n",
			found.Lost.Generation+1,
			v.Number, r.file)
	}
	return nil
}

// old reads what there is of the group's own state.
func (r *recoverCommand) old(data string, plan consensus.Config) (old *consensus.StoredGroup, there bool, err error) {
	if entries, err := os.ReadDir(data); err == nil {
		there = len(entries) > 0
	}
	if r.from != "" {
		raw, err := os.ReadFile(r.from)
		if err != nil {
			return nil, there, usage(err)
		}
		old, err = consensus.ReadSnapshot(raw)
		return old, there, err
	}
	if !there {
		return nil, false, nil
	}
	dir, err := wal.MakeDir(data)
	if err != nil {
		return nil, there, err
	}
	old, err = consensus.ReadFolder(dir, plan)
	if errors.Is(err, consensus.ErrEmptyFolder) {
		return nil, there, nil
	}
	if err != nil {
		err = fmt.Errorf("the folder can't be read: %w; move it away to restore from nodes alone", err)
	}
	return old, there, err
}

// gather listens to nodes for the time given, or until the context ends.
func (r *recoverCommand) gather(ctx context.Context, listen string, w io.Writer) (kept []api.NodeRecord, asked int,
	err error) {
	if r.wait <= 0 { // an instance that runs on would lose its folder under it
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: the instance that listens there has to be stopped first", err)
		}
		return nil, 0, ln.Close()
	}
	var mu sync.Mutex
	g, err := consensus.StartCollector(listen, func(k *api.NodeRecord, err error) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.json:
		case err != nil:
			fmt.Fprintf(w, "a node's record does not count: %v\n", err)
		default:
			fmt.Fprintf(w, "%s of zone %s: served under version %d, minimum version %d, generation %d, entry %d\n",
				k.Name, k.Zone,
				k.ActiveVersion, k.MinVersion, k.Generation, k.Index)
		}
	})
	if err != nil {
		return nil, 0, err
	}
	if !r.json {
		fmt.Fprintf(w, "listening at %s for %v\n", listen, r.wait)
	}
	select {
	case <-time.After(r.wait):
	case <-ctx.Done():
	}
	asked, _ = g.Counts()
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	kept = g.Stop(end)
	return kept, asked, ctx.Err()
}

func (r *recoverCommand) show(w io.Writer, old *consensus.StoredGroup, f *recovery.RestorePlan, asked int) {
	base := "none"
	if b := old.Evidence(); b != nil {
		base = fmt.Sprintf("version %d in force, %d decided, entry %d", b.CommittedVersion, b.DecidedVersion, b.Index)
	}
	version := fmt.Sprintf("%d, which has the text of %d (%.16s)", f.Version, f.SourceVersion, f.Hash)
	if f.Version == f.SourceVersion {
		version = fmt.Sprintf("%d (%.16s)", f.Version, f.Hash)
	}
	if f.Hash == "" {
		version = "none"
	}
	rows := [][]string{{"group", fmt.Sprintf("%s, generation %d", orNone(f.Lost.Group), f.Lost.Generation)},
		{"folder", base},
		{"nodes", fmt.Sprintf("%d sent a record, %d count", asked, len(f.Nodes))},
		{"restored", version}, {"proof", f.Proof},
		{"zones", fmt.Sprintf("go on after epoch %d", f.ZoneEpoch)},
		{"leases", fmt.Sprintf("of the old generation run out first, %d ms", membership.LeaseSpanMS(f.LeaseMS))}}
	for _, u := range f.NotCounted {
		rows = append(rows, []string{"not counted", u})
	}
	for _, u := range f.Unknown {
		rows = append(rows, []string{"can't be known", u})
	}
	table(w, rows)
}
