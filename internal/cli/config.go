package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/document"
)

func newConfig() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Read, change, compare and watch the group's configuration document"}
	var a clientOptions
	a.addFlags(c)
	c.AddCommand(newConfigGet(&a), newConfigPut(&a), newConfigDiff(&a), newConfigCheck(&a), newConfigHistory(&a),
		newConfigWatch(&a))
	return c
}

// withClient adapts a function that needs a client to a command's RunE.
func withClient(a *clientOptions, f func(context.Context, *client, []string, io.Writer) error) func(*cobra.Command,
	[]string) error {
	return func(cmd *cobra.Command, args []string) error {
		c, err := a.client()
		if err != nil {
			return err
		}
		return f(cmd.Context(), c, args, cmd.OutOrStdout())
	}
}

func (c *client) fetchVersion(ctx context.Context, number uint64, stale bool) (*consensus.Version, error) {
	path := "/v1/config?"
	if number > 0 {
		path += "version=" + strconv.FormatUint(number, 10) + "&"
	}
	if stale {
		path += "read=stale"
	}
	var v consensus.Version
	return &v, c.get(ctx, path, &v)
}

// fetchCurrent returns the version in force, or nil before the first put.
func (c *client) fetchCurrent(ctx context.Context) (*consensus.Version, error) {
	v, err := c.fetchVersion(ctx, 0, false)
	var r *errorResponse
	if errors.As(err, &r) && r.status == http.StatusNotFound {
		return nil, nil
	}
	return v, err
}

func newConfigGet(a *clientOptions) *cobra.Command {
	var number uint64
	var stale bool
	c := &cobra.Command{Use: "get", Short: "Print a version of the configuration document", Args: exactArgs(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.fetchVersion(ctx, number, stale)
			if err != nil {
				return err
			}
			if c.printJSON {
				return printJSON(w, v)
			}
			fmt.Fprintf(w, "; version %d of %s by %s: %s\n; hash %s\n%s", v.Number, formatTime(v.ProposedAtMS),
				v.Author, v.Reason, v.Hash, v.Text)
			return nil
		})}
	c.Flags().Uint64Var(&number, "version", 0, "number of the version; 0 for the newest")
	c.Flags().BoolVar(&stale, "stale", false, "read from any instance, even if it is out of contact")
	return c
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05Z") }

func readText(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, document.MaxBytes+1))
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(err)
	}
	return raw, nil
}

func newConfigPut(a *clientOptions) *cobra.Command {
	var base int64
	var reason, author string
	c := &cobra.Command{Use: "put FILE", Short: "Put a new version of the configuration document",
		Args: exactArgs(1),
		Long: `Check the document in FILE (- for standard input) and put it as the group's next version.
If --base is no longer the newest version, the put is a conflict and nothing changes. Retries of a put take effect
once, even if responses are lost.`,
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			raw, err := readText(args[0])
			if err != nil {
				return err
			}
			next, err := document.Parse(args[0], raw)
			if err != nil {
				return usageError(err)
			}
			p := consensus.Put{Author: author, Reason: reason, Text: string(next.Canonical()), Base: uint64(max(0,
				base))}
			if base < 0 {
				v, err := c.fetchCurrent(ctx)
				if err != nil {
					return err
				}
				if v != nil {
					p.Base = v.Number
				}
			}
			result, err := c.put(ctx, p)
			if err != nil {
				return err
			}
			if c.printJSON {
				if err := printJSON(w, result); err != nil {
					return err
				}
			} else {
				fmt.Fprintf(w, "%s: version %d\n", result.Outcome, result.Version)
			}
			if result.Outcome != consensus.PutCommitted && result.Outcome != consensus.PutUnchanged {
				return exitError{errors.New(result.Reason), exitRefused}
			}
			return nil
		})}
	c.Flags().Int64Var(&base, "base", -1, "number of the version that the document is based on; -1 for the newest")
	c.Flags().StringVar(&reason, "reason", "", "reason of the change, recorded in the history")
	c.Flags().StringVar(&author, "author", currentUser(), "author of the change, recorded in the history")
	return c
}

func currentUser() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

func newConfigDiff(a *clientOptions) *cobra.Command {
	var from, to uint64
	c := &cobra.Command{Use: "diff [FILE]", Short: "Show the changes between two versions, or a version and a file",
		Args: cobra.MaximumNArgs(1),
		Long: `With FILE, show what it would change in the version in force, or in version --from. FILE may be - for
standard input.
Without FILE, show the changes from version --from to version --to; by default the last two versions.`,
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			newest, err := c.fetchCurrent(ctx)
			if err != nil {
				return err
			}
			if newest == nil {
				newest = &consensus.Version{}
			}
			if to == 0 {
				to = newest.Number
			}
			var next *document.Document
			if len(args) == 1 {
				raw, err := readText(args[0])
				if err != nil {
					return err
				}
				if next, err = document.Parse(args[0], raw); err != nil {
					return usageError(err)
				}
				if from == 0 {
					from = newest.Number
				}
			} else if next, err = c.fetchDocument(ctx, to); err != nil {
				return err
			}
			if from == 0 && to > 0 {
				from = to - 1
			}
			previous, err := c.fetchDocument(ctx, from)
			if err != nil {
				return err
			}
			changes := document.Diff(previous, next)
			if c.printJSON {
				return printJSON(w, changes)
			}
			for _, ch := range changes {
				fmt.Fprintln(w, ch)
			}
			return nil
		})}
	c.Flags().Uint64Var(&from, "from", 0,
		"version to compare with; 0 for the version in force, or without FILE the one before --to")
	c.Flags().Uint64Var(&to, "to", 0, "version that is compared if no FILE is given; 0 for the newest")
	return c
}

// fetchDocument returns a version's parsed document, or nil for version 0.
func (c *client) fetchDocument(ctx context.Context, number uint64) (*document.Document, error) {
	if number == 0 {
		return nil, nil
	}
	v, err := c.fetchVersion(ctx, number, false)
	if err != nil {
		return nil, err
	}
	return document.Parse(fmt.Sprint("version ", number), []byte(v.Text))
}

func newConfigCheck(a *clientOptions) *cobra.Command {
	var alone bool
	c := &cobra.Command{Use: "check FILE", Short: "Check that a document is valid and may follow the version in force",
		Args: exactArgs(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			raw, err := readText(args[0])
			if err != nil {
				return err
			}
			next, err := document.Parse(args[0], raw)
			if err != nil {
				return usageError(err)
			}
			after := "alone"
			if !alone {
				v, err := c.fetchCurrent(ctx)
				if err != nil {
					return err
				}
				if v != nil {
					previous, err := document.Parse(fmt.Sprint("version ", v.Number), []byte(v.Text))
					if err != nil {
						return err
					}
					if err = next.ValidateUpdate(previous); err != nil {
						return usageError(err)
					}
					after = fmt.Sprint("after version ", v.Number)
				}
			}
			hash := document.Hash(next.Canonical())
			if c.printJSON {
				return printJSON(w, map[string]string{"checked": after, "hash": hash})
			}
			fmt.Fprintf(w, "valid, checked %s, hash %s\n", after, hash)
			return nil
		})}
	c.Flags().BoolVar(&alone, "alone", false, "check the document alone, without a request to the group")
	return c
}

func newConfigHistory(a *clientOptions) *cobra.Command {
	var from uint64
	var limit int
	c := &cobra.Command{Use: "history", Short: "List versions, newest last", Args: exactArgs(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			path := fmt.Sprintf("/v1/history?limit=%d", limit)
			if from > 0 {
				path += fmt.Sprintf("&from=%d", from)
			}
			var vs []consensus.Version
			if err := c.get(ctx, path, &vs); err != nil {
				return err
			}
			if c.printJSON {
				return printJSON(w, vs)
			}
			rows := [][]string{{"VERSION", "AT", "BY", "HASH", "REASON"}}
			for _, v := range vs {
				rows = append(rows, []string{strconv.FormatUint(v.Number, 10), formatTime(v.ProposedAtMS), v.Author,
					v.Hash[:12], v.Reason})
			}
			return printTable(w, rows)
		})}
	c.Flags().Uint64Var(&from, "from", 0, "first version to list; 0 for the newest --limit versions")
	c.Flags().IntVar(&limit, "limit", 20, "maximum number of versions, 1 to 1000")
	return c
}

func newConfigWatch(a *clientOptions) *cobra.Command {
	var from uint64
	c := &cobra.Command{Use: "watch", Short: "Print each new version once, in order",
		Args: exactArgs(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			return c.watch(ctx, from, func(v *consensus.Version) error {
				if c.printJSON {
					return json.NewEncoder(w).Encode(v)
				}
				_, err := fmt.Fprintf(w, "version %d of %s by %s: %s\n", v.Number,
					formatTime(v.ProposedAtMS), v.Author, v.Reason)
				return err
			})
		})}
	c.Flags().Uint64Var(&from, "from", 0, "first version to print; 0 for the next one")
	return c
}

// watch passes versions to handle in order, starting at version from, or at the next new one if from is 0. When a
// connection ends, it resumes at the next instance after the last version that was handled.
func (c *client) watch(ctx context.Context, from uint64, handle func(*consensus.Version) error) error {
	for round := 0; ctx.Err() == nil; round++ {
		path := "/v1/watch"
		if from > 0 {
			path += "?from=" + strconv.FormatUint(from, 10)
		}
		res, err := c.sendTo(ctx, c.addresses[round%len(c.addresses)], http.MethodGet, path, nil)
		var r *errorResponse
		if errors.As(err, &r) && r.status != http.StatusServiceUnavailable {
			return err
		}
		if err == nil {
			if from == 0 {
				n, err := strconv.ParseUint(res.Header.Get(consensus.HeaderVersion), 10, 64)
				if err == nil {
					from = n + 1
				}
			}
			err = readVersions(res.Body, &from, handle)
			res.Body.Close()
			if err != nil {
				return err
			}
			continue
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return nil
}

// readVersions reads the versions of one connection until it ends, and advances *next past each. It fails if handle
// does, or if a version is invalid or missing.
func readVersions(body io.Reader, next *uint64, handle func(*consensus.Version) error) error {
	lines := bufio.NewReaderSize(body, 64<<10)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return nil // drops a partial last line
		}
		var b consensus.WatchHeartbeat
		if json.Unmarshal(line, &b) == nil && b.Heartbeat {
			continue
		}
		v, err := consensus.ReadVersion(line)
		if err != nil {
			return err
		}
		if v.Number < *next {
			continue
		}
		if v.Number > *next {
			return fmt.Errorf("watch: found version %d, expected %d", v.Number, *next)
		}
		if err = handle(v); err != nil {
			return err
		}
		*next++
	}
}
