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

// newResults returns the commands that inspect a folder of stored results.
func newResults() *cobra.Command {
	c := &cobra.Command{Use: "results", Short: "Inspect a folder of stored results that no node uses"}
	c.AddCommand(newResultsStat(), newResultsList(), newResultsVerify(), newResultsCompact())
	return c
}

// readNote is the part of the help that stat and list share.
const readNote = `
The checksum of each record is verified. A folder that is in use or damaged is rejected and not modified. A torn tail
that was never synced is truncated, as at a node's start.`

func newResultsStat() *cobra.Command {
	var asJSON bool
	short := "Count the idempotency keys in a folder by state"
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
	short := "List the idempotency keys in a folder by digest, with the time left in their windows"
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
	c.Flags().IntVar(&limit, "most", 0, "maximum number of keys to list, those that expire first; 0 for all")
	return c
}

func newResultsVerify() *cobra.Command {
	return &cobra.Command{Use: "verify FOLDER", Short: "Verify the checksum and order of all records",
		Args: exactArgs(1),
		Long: `Read the whole folder as at a node's start and report the first fault with exit status 1.
Nothing is modified, except that a torn tail that was never synced is truncated.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			opened, err := openResults(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "valid: %d records, %d keys, %d that may have run, %d bytes\n",
				opened.Records, opened.Keys, opened.Indeterminate, opened.bytes)
			return err
		}}
}

func newResultsCompact() *cobra.Command {
	return &cobra.Command{Use: "compact FOLDER", Short: "Delete segments in which all idempotency windows have expired",
		Args: exactArgs(1),
		Long: `Delete segments in which all idempotency windows have expired. A node does the same while it
serves. After a reboot the time that the machine was down is unknown, and nothing is deleted until a node has served
for the length of a window.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			now, boot, err := checkResultsFolder(args[0])
			if err != nil {
				return err
			}
			before, after, err := resultstore.Compact(wal.Dir(args[0]), readableSizes, readableLimits, now, boot)
			if err != nil {
				return resultsError(args[0], err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d bytes, %d before compaction\n", after, before)
			return err
		}}
}

// Limits for reading a folder: large enough for any folder that a node has written, whatever its settings were.
var (
	readableSizes  = wal.Sizes{SegmentBytes: 1 << 30, MaxBytes: 1 << 40}
	readableLimits = resultstore.Limits{Keys: 1 << 26, Bytes: 1 << 40}
)

// checkResultsFolder returns the time in ms and the id of the boot clock, by which windows are measured, or an error if
// the folder has no log. Opening such a folder would create a log in it.
func checkResultsFolder(path string) (now uint64, boot string, err error) {
	if logs, _ := filepath.Glob(filepath.Join(path, "*.seg")); len(logs) == 0 {
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

// openedResults is a folder that was read as at a node's start.
type openedResults struct {
	resultstore.Recovery
	index  *resultstore.Index
	bytes  int64
	readAt uint64 // ms of the boot clock
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

// resultsView is the content of a folder of stored results.
type resultsView struct {
	Records    int            `json:"records"`
	Bytes      int64          `json:"bytes"`
	Keys       int            `json:"keys"`
	States     map[string]int `json:"states"`
	IsSameBoot bool           `json:"same_boot"` // false: windows resume at the time of the last record
	TornTail   string         `json:"torn,omitempty"`
	TookMS     int64          `json:"took_ms"`
	List       []resultsKey   `json:"list,omitempty"`
}

type resultsKey struct {
	Key    string `json:"key"` // digest in hexadecimal
	State  string `json:"state"`
	LeftMS uint64 `json:"left_ms"`
}

// readResults reads a folder. withKeys adds the list of its keys in the order of their expiry.
func readResults(path string, withKeys bool) (*resultsView, error) {
	opened, err := openResults(path)
	if err != nil {
		return nil, err
	}
	v := &resultsView{Records: opened.Records, Bytes: opened.bytes, Keys: opened.Keys, States: map[string]int{},
		IsSameBoot: opened.SameBoot, TornTail: opened.TornTail, TookMS: opened.Duration.Milliseconds()}
	opened.index.ForEach(opened.readAt, func(k resultstore.Key, s resultstore.State, left uint64) {
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
	clock := "windows continue from the last incarnation"
	if !v.IsSameBoot {
		clock = "of another boot: windows resume at the last record when a node starts"
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

// seconds formats milliseconds as seconds.
func seconds[N uint64 | int64 | float64](ms N) string { return fmt.Sprintf("%.1f s", float64(ms)/1000) }
