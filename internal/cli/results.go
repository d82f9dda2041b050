package cli

import (
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"sort"

	"github.com/spf13/cobra"

	"umberwinch/internal/node/resultstore"
	"umberwinch/internal/wal"
)

// newResults has the commands about a folder of stored results.
func newResults() *cobra.Command {
	c := &cobra.Command{Use: "results", Short: "Stored results, offline: a folder that no node uses"}
	c.AddCommand(newResultsStat(), newResultsList(), newResultsVerify(), newResultsCompact())
	return c
}

// readNote is what stat and list promise of a folder that they read.
const readNote = `
Each record's checksum is verified. A folder in use, or a damaged one, is refused and left as it is; a tail that was
never synced is cut off, as a start would.`

func newResultsStat() *cobra.Command {
	var asJSON bool
	short := "How many idempotency keys a folder holds, by state"
	c := &cobra.Command{Use: "stat FOLDER", Short: short, Args: exactArgs(1), Long: short + "." + readNote,
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := readResults(args[0], false)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), v)
			}
			return printTable(cmd.OutOrStdout(), v.statRows())
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func newResultsList() *cobra.Command {
	var asJSON bool
	var limit int
	short := "Its idempotency keys, by their digests, with what is left of their windows"
	c := &cobra.Command{Use: "list FOLDER", Short: short, Args: exactArgs(1), Long: short + "." + readNote,
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := readResults(args[0], true)
			if err != nil {
				return err
			}
			if limit > 0 {
				v.List = v.List[:min(limit, len(v.List))]
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), v)
			}
			return printTable(cmd.OutOrStdout(), v.listRows())
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().IntVar(&limit, "most", 0, "so many keys at most, those that expire first; 0 for all")
	return c
}

func newResultsVerify() *cobra.Command {
	return &cobra.Command{Use: "verify FOLDER", Short: "Verify each record's checksum and that it fits those before it",
		Args: exactArgs(1), Long: `Reads the whole folder as a start would and says what is wrong, if anything is:
that is exit status 1. Nothing is changed, but for a tail that was never synced, which is cut off.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := openResults(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "whole: %d records, %d keys, %d that may have run, %d bytes\n",
				o.Records, o.Keys, o.Indeterminate, o.bytes)
			return err
		}}
}

func newResultsCompact() *cobra.Command {
	return &cobra.Command{Use: "compact FOLDER", Short: "Delete segments in which every idempotency window is over",
		Args: exactArgs(1), Long: `A node does so by itself while it serves. After another boot of the machine
nobody knows how long it was down, and nothing is deleted before a node has served for a window's time.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			now, boot, err := checkResultsFolder(args[0])
			if err != nil {
				return err
			}
			before, after, err := resultstore.Compact(wal.Dir(args[0]), readableSizes, readableLimits, now, boot)
			if err != nil {
				return resultsError(args[0], err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d bytes, %d before\n", after, before)
			return err
		}}
}

// What is read is bounded by the folder, not by what a node may put into it.
var (
	readableSizes  = wal.Sizes{SegmentBytes: 1 << 30, MaxBytes: 1 << 40}
	readableLimits = resultstore.Limits{Keys: 1 << 26, Bytes: 1 << 40}
)

// checkResultsFolder says whether there is anything to read, and what time it is by the clock of windows.
func checkResultsFolder(path string) (now uint64, boot string, err error) {
	if logs, _ := filepath.Glob(filepath.Join(path, "*.seg")); len(logs) == 0 { // or a log would be begun there
		return 0, "", usageError(fmt.Errorf("found no log in %q, expected a folder of stored results", path))
	}
	return resultstore.BootClock()
}

func resultsError(path string, err error) error {
	if errors.Is(err, wal.ErrLocked) {
		return fmt.Errorf("%s: %w: stop the node first", path, err)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// openedResults is a folder that was read as a node's start would.
type openedResults struct {
	resultstore.Recovery
	index  *resultstore.Index
	bytes  int64
	readAt uint64 // by the clock of windows, ms
}

func openResults(path string) (*openedResults, error) {
	now, boot, err := checkResultsFolder(path)
	if err != nil {
		return nil, err
	}
	index, recovered, bytes, err := resultstore.Inspect(wal.Dir(path), readableSizes, readableLimits, now, boot)
	if err != nil {
		return nil, resultsError(path, err)
	}
	return &openedResults{Recovery: recovered, index: index, bytes: bytes, readAt: now}, nil
}

// resultsView is what a folder of stored results holds.
type resultsView struct {
	Records    int            `json:"records"`
	Bytes      int64          `json:"bytes"`
	Keys       int            `json:"keys"`
	States     map[string]int `json:"states"`
	IsSameBoot bool           `json:"same_boot"` // windows go on; else from the last record
	TornTail   string         `json:"torn,omitempty"`
	TookMS     int64          `json:"took_ms"`
	List       []resultsKey   `json:"list,omitempty"`
}

type resultsKey struct {
	Key    string `json:"key"` // the digest
	State  string `json:"state"`
	LeftMS uint64 `json:"left_ms"`
}

// readResults reads a folder; with the list of its keys, those first that expire first.
func readResults(path string, withKeys bool) (*resultsView, error) {
	o, err := openResults(path)
	if err != nil {
		return nil, err
	}
	v := &resultsView{Records: o.Records, Bytes: o.bytes, Keys: o.Keys, States: map[string]int{},
		IsSameBoot: o.SameBoot, TornTail: o.TornTail, TookMS: o.Duration.Milliseconds()}
	o.index.ForEach(o.readAt, func(k resultstore.Key, s resultstore.State, left uint64) {
		if v.States[s.String()]++; withKeys {
			v.List = append(v.List, resultsKey{hex.EncodeToString(k[:]), s.String(), left})
		}
	})
	sort.Slice(v.List, func(i, k int) bool {
		a, b := &v.List[i], &v.List[k]
		return a.LeftMS < b.LeftMS || a.LeftMS == b.LeftMS && a.Key < b.Key
	})
	return v, nil
}

func (v *resultsView) statRows() [][]string {
	clock := "windows go on from the last incarnation"
	if !v.IsSameBoot {
		clock = "of another boot: windows go on from the last record at a start"
	}
	rows := [][]string{{"records", fmt.Sprint(v.Records)}, {"bytes", fmt.Sprint(v.Bytes)}, {"keys", fmt.Sprint(v.Keys)},
		{"clock", clock}}
	for s := resultstore.Unknown; s <= resultstore.Failed; s++ {
		if n := v.States[s.String()]; n > 0 {
			rows = append(rows, []string{s.String(), fmt.Sprint(n)})
		}
	}
	if v.TornTail != "" {
		rows = append(rows, []string{"torn tail", v.TornTail})
	}
	return rows
}

func (v *resultsView) listRows() [][]string {
	rows := [][]string{{"KEY", "STATE", "LEFT"}}
	for _, k := range v.List {
		rows = append(rows, []string{k.Key, k.State, seconds(k.LeftMS)})
	}
	return rows
}

// seconds prints a time in milliseconds.
func seconds[N uint64 | int64 | float64](ms N) string { return fmt.Sprintf("%.1f s", float64(ms)/1000) }
