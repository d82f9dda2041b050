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

// resultsView is what a folder of keyed results holds.
type resultsView struct {
	Records int            `json:"records"`
	Bytes   int64          `json:"bytes"`
	Keys    int            `json:"keys"`
	States  map[string]int `json:"states"`
	Same    bool           `json:"same_boot"` // windows go on; else from the last record
	Torn    string         `json:"torn,omitempty"`
	Took    int64          `json:"took_ms"`
	List    []resultsKey   `json:"list,omitempty"`
}

type resultsKey struct {
	Key   string `json:"key"` // the digest
	State string `json:"state"`
	Left  uint64 `json:"left_ms"`
}

func newResults() *cobra.Command {
	c := &cobra.Command{Use: "kept", Short: "Keyed results across restarts, offline: a folder that no node uses"}
	c.AddCommand(newResultsRead("stat FOLDER", "How many keys a folder holds, by state", false),
		newResultsRead("list FOLDER", "Its keys, by their digests, with what is left of their windows", true), newResultsVerify(),
		newResultsCompact())
	return c
}

// What is read is bounded by the folder, not by what a node may put into it.
var (
	readableSizes  = wal.Sizes{SegmentBytes: 1 << 30, MaxBytes: 1 << 40}
	readableLimits = resultstore.Limits{Keys: 1 << 26, Bytes: 1 << 40}
)

// checkResultsFolder tells whether there is anything to read, and what time it is by the clock of windows.
func checkResultsFolder(path string) (now uint64, boot string, err error) {
	if logs, _ := filepath.Glob(filepath.Join(path, "*.seg")); len(logs) == 0 { // or a log would be begun there
		return 0, "", usage(fmt.Errorf("found no log in %q, expected a folder of keyed results", path))
	}
	return resultstore.BootClock()
}

func resultsError(path string, err error) error {
	if errors.Is(err, wal.ErrLocked) {
		return fmt.Errorf("%s: %w: stop the node first", path, err)
	}
	return fmt.Errorf("%s: %w", path, err)
}

func newResultsVerify() *cobra.Command {
	return &cobra.Command{Use: "verify FOLDER", Short: "Check each record's sum and that it fits those before it", Args: exact(1),
		Long: `Reads the whole folder as a start would and tells what is wrong, if anything is: that is exit status 1. Nothing is
changed, but for a tail that was never synced, which is cut off.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			now, boot, err := checkResultsFolder(args[0])
			if err != nil {
				return err
			}
			_, o, used, err := resultstore.Inspect(wal.Dir(args[0]), readableSizes, readableLimits, now, boot)
			if err != nil {
				return resultsError(args[0], err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "whole: %d records, %d keys, %d that may have run, %d bytes\n", o.Records, o.Keys, o.Indeterminate,
				used)
			return err
		}}
}

func newResultsCompact() *cobra.Command {
	return &cobra.Command{Use: "compact FOLDER", Short: "Let go of segments in which every window is over", Args: exact(1),
		Long: `A node does so by itself while it serves. After another boot of the machine nobody knows how long it was down, and
nothing is let go of before a node has served for a window's time.`,
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

func newResultsRead(use, short string, list bool) *cobra.Command {
	var asJSON bool
	most := 0
	c := &cobra.Command{Use: use, Short: short, Args: exact(1), Long: short + `.
Each record's sum is checked. A folder in use, or a damaged one, is refused and left as it is; a tail that was never synced is cut
off, as a start would.`, RunE: func(cmd *cobra.Command, args []string) error {
		now, boot, err := checkResultsFolder(args[0])
		if err != nil {
			return err
		}
		book, o, used, err := resultstore.Inspect(wal.Dir(args[0]), readableSizes, readableLimits, now, boot)
		if err != nil {
			return resultsError(args[0], err)
		}
		v := resultsView{Records: o.Records, Bytes: used, Keys: o.Keys, States: map[string]int{}, Same: o.SameBoot, Torn: o.TornTail,
			Took: o.Duration.Milliseconds()}
		book.ForEach(now, func(k resultstore.Key, s resultstore.State, left uint64) {
			if v.States[s.String()]++; list {
				v.List = append(v.List, resultsKey{hex.EncodeToString(k[:]), s.String(), left})
			}
		})
		sort.Slice(v.List, func(i, k int) bool {
			a, b := &v.List[i], &v.List[k]
			return a.Left < b.Left || a.Left == b.Left && a.Key < b.Key
		})
		if most > 0 {
			v.List = v.List[:min(most, len(v.List))]
		}
		out := cmd.OutOrStdout()
		if asJSON {
			return printJSON(out, &v)
		}
		if list {
			rows := [][]string{{"KEY", "STATE", "LEFT"}}
			for _, k := range v.List {
				rows = append(rows, []string{k.Key, k.State, fmt.Sprintf("%.1f s", float64(k.Left)/1000)})
			}
			return table(out, rows)
		}
		clock := "windows go on from the life before"
		if !v.Same {
			clock = "of another boot: windows go on from the last record at a start"
		}
		rows := [][]string{{"records", fmt.Sprint(v.Records)}, {"bytes", fmt.Sprint(v.Bytes)}, {"keys", fmt.Sprint(v.Keys)}, {"clock", clock}}
		for s := resultstore.Unknown; s <= resultstore.Failed; s++ {
			if n := v.States[s.String()]; n > 0 {
				rows = append(rows, []string{s.String(), fmt.Sprint(n)})
			}
		}
		if v.Torn != "" {
			rows = append(rows, []string{"torn", v.Torn})
		}
		return table(out, rows)
	}}
	c.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	if list {
		c.Flags().IntVar(&most, "most", 0, "so many keys at most, those whose windows are over first; 0 for all")
	}
	return c
}
