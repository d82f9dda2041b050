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
	configFile, chosenHash string
	listenTime             time.Duration
	apply, printJSON       bool
	snapshotFile           string
}

func newControlRecover() *cobra.Command {
	r := &recoverCommand{}
	c := &cobra.Command{Use: "recover",
		Short: "Restore a group whose state is lost, from what nodes and an old folder hold",
		Args:  exactArgs(0), Long: `Listens where the instance of the operator's file listens for clients, which has
to be stopped, as all of the old group have to be. Nodes send their records, with what they served under;
the instance's folder, or the saved snapshot of --from, has its part. Shows what would be restored, on what
proof, and what can't be known. With --found it then makes the folder that of the first instance of the group's
next generation; the old folder is kept beside it. Nothing is ever restored without that.`,
		RunE: func(cmd *cobra.Command, _ []string) error { return r.run(cmd.Context(), cmd.OutOrStdout()) }}
	f := c.Flags()
	f.StringVar(&r.configFile, "file", "deploy/control.ini", "the operator's file of the instance")
	f.DurationVar(&r.listenTime, "for", 15*time.Second,
		"how long to listen for nodes; they send heartbeats every few seconds; 0: not at all")
	f.BoolVar(&r.apply, "found", false, "found the group anew from what was found")
	f.StringVar(&r.chosenHash, "take", "",
		"where two documents have one number: the hash, or its first digits, of the one to take")
	f.StringVar(&r.snapshotFile, "from", "", "a file of `control snapshot save`, in place of the folder")
	f.BoolVar(&r.printJSON, "json", false, "print JSON")
	return c
}

func (r *recoverCommand) run(ctx context.Context, w io.Writer) error {
	o, err := config.ReadControl(r.configFile)
	if err != nil {
		return usageError(err)
	}
	settings := consensus.ConfigFrom(o)
	stored, folderExists, err := r.readStoredGroup(o.Data, settings)
	if err != nil {
		return err
	}
	records, received, err := r.collectRecords(ctx, o.Listen, w)
	if err != nil {
		return err
	}
	plan := recovery.PlanRestore(records, stored.Evidence(), r.chosenHash)
	if r.printJSON {
		if err = printJSON(w, plan); err != nil {
			return err
		}
	} else {
		r.printPlan(w, stored, plan, received)
	}
	switch {
	case plan.Conflict != "":
		return exitError{errors.New(plan.Conflict), exitRefused}
	case !r.apply:
		if !r.printJSON {
			fmt.Fprintln(w, "nothing was changed; once this is what you want: the same with --found")
		}
		return nil
	}
	if folderExists {
		aside := fmt.Sprintf("%s.generation-%d-%s", o.Data, plan.Lost.Generation,
			time.Now().UTC().Format("20060102T150405"))
		if err = os.Rename(o.Data, aside); err != nil {
			return err
		}
		if !r.printJSON {
			fmt.Fprintf(w, "the old folder is %s now\n", aside)
		}
	}
	dir, err := wal.MakeDir(o.Data)
	if err != nil {
		return err
	}
	v, err := consensus.Recover(dir, settings, stored, plan)
	if err != nil {
		return err
	}
	if !r.printJSON {
		fmt.Fprintf(w, "generation %d is founded, with version %d. Start it with: umberctl control run --file %s\n"+
			"Other instances join it on empty folders, by start = join and umberctl control members add.\n",
			plan.Lost.Generation+1,
			v.Number, r.configFile)
	}
	return nil
}

// readStoredGroup reads what there is of the group's own state.
func (r *recoverCommand) readStoredGroup(data string, settings consensus.Config) (stored *consensus.StoredGroup, folderExists bool, err error) {
	if entries, err := os.ReadDir(data); err == nil {
		folderExists = len(entries) > 0
	}
	if r.snapshotFile != "" {
		raw, err := os.ReadFile(r.snapshotFile)
		if err != nil {
			return nil, folderExists, usageError(err)
		}
		stored, err = consensus.ReadSnapshot(raw)
		return stored, folderExists, err
	}
	if !folderExists {
		return nil, false, nil
	}
	dir, err := wal.MakeDir(data)
	if err != nil {
		return nil, folderExists, err
	}
	stored, err = consensus.ReadFolder(dir, settings)
	if errors.Is(err, consensus.ErrEmptyFolder) {
		return nil, folderExists, nil
	}
	if err != nil {
		err = fmt.Errorf("the folder can't be read: %w; move it away to restore from nodes alone", err)
	}
	return stored, folderExists, err
}

// collectRecords listens to nodes for the time given, or until the context ends.
func (r *recoverCommand) collectRecords(ctx context.Context, listen string, w io.Writer) (records []api.NodeRecord, received int,
	err error) {
	if r.listenTime <= 0 { // an instance that runs on would lose its folder under it
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
		case r.printJSON:
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
	if !r.printJSON {
		fmt.Fprintf(w, "listening at %s for %v\n", listen, r.listenTime)
	}
	select {
	case <-time.After(r.listenTime):
	case <-ctx.Done():
	}
	received, _ = g.Counts()
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	records = g.Stop(end)
	return records, received, ctx.Err()
}

func (r *recoverCommand) printPlan(w io.Writer, stored *consensus.StoredGroup, plan *recovery.RestorePlan, received int) {
	base := "none"
	if b := stored.Evidence(); b != nil {
		base = fmt.Sprintf("version %d in force, %d decided, entry %d", b.CommittedVersion, b.DecidedVersion, b.Index)
	}
	version := fmt.Sprintf("%d, which has the text of %d (%.16s)", plan.Version, plan.SourceVersion, plan.Hash)
	if plan.Version == plan.SourceVersion {
		version = fmt.Sprintf("%d (%.16s)", plan.Version, plan.Hash)
	}
	if plan.Hash == "" {
		version = "none"
	}
	rows := [][]string{{"group", fmt.Sprintf("%s, generation %d", groupOrNone(plan.Lost.Group), plan.Lost.Generation)},
		{"folder", base},
		{"nodes", fmt.Sprintf("%d sent a record, %d count", received, len(plan.Nodes))},
		{"restored", version}, {"proof", plan.Proof},
		{"zones", fmt.Sprintf("go on after epoch %d", plan.ZoneEpoch)},
		{"leases", fmt.Sprintf("of the old generation run out first, %d ms", membership.LeaseSpanMS(plan.LeaseMS))}}
	for _, u := range plan.NotCounted {
		rows = append(rows, []string{"not counted", u})
	}
	for _, u := range plan.Unknown {
		rows = append(rows, []string{"can't be known", u})
	}
	printTable(w, rows)
}
