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

// recoverCommand holds the flags of `control recover`.
type recoverCommand struct {
	configFile, chosenHash string
	listenTime             time.Duration
	apply, printJSON       bool
	snapshotFile           string
}

func newControlRecover() *cobra.Command {
	r := &recoverCommand{}
	c := &cobra.Command{Use: "recover",
		Short: "Restore a group that lost its state from node records and an old folder",
		Args:  exactArgs(0),
		Long: `Listen at the client address of the instance in --file, collect the records that nodes send, and
read the instance's folder or the snapshot in --from. Print what would be restored, the proof for it, and what remains
unknown. All instances of the old group must be stopped first. With --found, create the first instance of the group's
next generation in the instance's folder; the old folder is renamed and kept. Without --found, nothing is changed.`,
		RunE: func(cmd *cobra.Command, _ []string) error { return r.run(cmd.Context(), cmd.OutOrStdout()) }}
	f := c.Flags()
	f.StringVar(&r.configFile, "file", "deploy/control.ini", "settings file of the instance")
	f.DurationVar(&r.listenTime, "for", 15*time.Second,
		"time to listen for heartbeats of nodes, which come every few seconds; 0 to not listen")
	f.BoolVar(&r.apply, "found", false, "create the group's next generation from the restored state")
	f.StringVar(&r.chosenHash, "take", "",
		"hash, or its first digits, of the document to restore if two have the same version number")
	f.StringVar(&r.snapshotFile, "from", "", "`file` from \"control snapshot save\" to read instead of the folder")
	f.BoolVar(&r.printJSON, "json", false, "print JSON")
	return c
}

func (r *recoverCommand) run(ctx context.Context, w io.Writer) error {
	file, err := config.ReadControl(r.configFile)
	if err != nil {
		return usageError(err)
	}
	settings := consensus.ConfigFrom(file)
	stored, folderHasFiles, err := r.readStoredGroup(file.Data, settings)
	if err != nil {
		return err
	}
	records, contacted, err := r.collectRecords(ctx, file.Listen, w)
	if err != nil {
		return err
	}
	plan := recovery.PlanRestore(records, stored.Evidence(), r.chosenHash)
	if r.printJSON {
		if err = printJSON(w, plan); err != nil {
			return err
		}
	} else {
		r.printPlan(w, stored, plan, contacted)
	}
	switch {
	case plan.Conflict != "":
		return exitError{errors.New(plan.Conflict), exitRefused}
	case !r.apply:
		if !r.printJSON {
			fmt.Fprintln(w, "nothing was changed; run again with --found to restore this state")
		}
		return nil
	}
	if folderHasFiles {
		oldDir := fmt.Sprintf("%s.generation-%d-%s", file.Data, plan.Lost.Generation,
			time.Now().UTC().Format("20060102T150405"))
		if err = os.Rename(file.Data, oldDir); err != nil {
			return err
		}
		if !r.printJSON {
			fmt.Fprintf(w, "renamed the old folder to %s\n", oldDir)
		}
	}
	dir, err := wal.MakeDir(file.Data)
	if err != nil {
		return err
	}
	v, err := consensus.Recover(dir, settings, stored, plan)
	if err != nil {
		return err
	}
	if !r.printJSON {
		fmt.Fprintf(w, "generation %d is founded, with version %d. Start it with: umberctl control run --file %s\n"+
			"Add other instances with empty folders by start = join and umberctl control members add.\n",
			plan.Lost.Generation+1, v.Number, r.configFile)
	}
	return nil
}

// readStoredGroup reads the state of the group from --from or from the data folder; it is nil if the folder has none.
func (r *recoverCommand) readStoredGroup(data string, settings consensus.Config) (stored *consensus.StoredGroup,
	folderHasFiles bool, err error) {
	if entries, err := os.ReadDir(data); err == nil {
		folderHasFiles = len(entries) > 0
	}
	if r.snapshotFile != "" {
		raw, err := os.ReadFile(r.snapshotFile)
		if err != nil {
			return nil, folderHasFiles, usageError(err)
		}
		stored, err = consensus.ReadSnapshot(raw)
		return stored, folderHasFiles, err
	}
	if !folderHasFiles {
		return nil, false, nil
	}
	dir, err := wal.MakeDir(data)
	if err != nil {
		return nil, folderHasFiles, err
	}
	stored, err = consensus.ReadFolder(dir, settings)
	if errors.Is(err, consensus.ErrEmptyFolder) {
		return nil, folderHasFiles, nil
	}
	if err != nil {
		err = fmt.Errorf("failed to read folder %s: %w; move it away to restore from node records alone", data, err)
	}
	return stored, folderHasFiles, err
}

// collectRecords collects the records that nodes send during listenTime, or until the context ends. contacted is the
// number of nodes that made contact, with or without an accepted record.
func (r *recoverCommand) collectRecords(ctx context.Context, listen string, w io.Writer) (records []api.NodeRecord,
	contacted int, err error) {
	if r.listenTime <= 0 { // makes sure that no running instance uses the folder that is renamed
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: stop the instance that listens there first", err)
		}
		return nil, 0, ln.Close()
	}
	var mu sync.Mutex
	collector, err := consensus.StartRecordCollector(listen, func(k *api.NodeRecord, err error) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.printJSON:
		case err != nil:
			fmt.Fprintf(w, "rejected a node's record: %v\n", err)
		default:
			fmt.Fprintf(w, "%s of zone %s: served under version %d, minimum version %d, generation %d, entry %d\n",
				k.Name, k.Zone, k.ActiveVersion, k.MinVersion, k.Generation, k.Index)
		}
	})
	if err != nil {
		return nil, 0, err
	}
	if !r.printJSON {
		fmt.Fprintf(w, "listening on %s for %v\n", listen, r.listenTime)
	}
	select {
	case <-time.After(r.listenTime):
	case <-ctx.Done():
	}
	contacted, _ = collector.Counts()
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	records = collector.Stop(stopCtx)
	return records, contacted, ctx.Err()
}

func (r *recoverCommand) printPlan(w io.Writer, stored *consensus.StoredGroup, plan *recovery.RestorePlan,
	contacted int) {
	base := "none"
	if b := stored.Evidence(); b != nil {
		base = fmt.Sprintf("version %d in force, %d decided, entry %d", b.CommittedVersion, b.DecidedVersion, b.Index)
	}
	version := fmt.Sprintf("%d, with the text of version %d (%.16s)", plan.Version, plan.SourceVersion, plan.Hash)
	if plan.Version == plan.SourceVersion {
		version = fmt.Sprintf("%d (%.16s)", plan.Version, plan.Hash)
	}
	if plan.Hash == "" {
		version = "none"
	}
	rows := [][]string{{"group", fmt.Sprintf("%s, generation %d", groupOrNone(plan.Lost.Group), plan.Lost.Generation)},
		{"folder", base},
		{"nodes", fmt.Sprintf("%d sent a record, %d count", contacted, len(plan.Nodes))},
		{"restored", version}, {"proof", plan.Proof},
		{"zones", fmt.Sprintf("continue after epoch %d", plan.ZoneEpoch)},
		{"leases", fmt.Sprintf("of the old generation expire first, within %d ms",
			membership.LeaseSpanMS(plan.LeaseMS))}}
	for _, u := range plan.NotCounted {
		rows = append(rows, []string{"not counted", u})
	}
	for _, u := range plan.Unknown {
		rows = append(rows, []string{"unknown", u})
	}
	printTable(w, rows)
}
