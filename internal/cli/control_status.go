package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/consensus"
)

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

// rows gets the status of every member of the group, by the member list of the instance that has applied the most.
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
	out := [][]string{{"NAME", "LISTEN", "ROLE", "TERM", "LOG", "APPLIED", "LAG", "VERSION", "DISK",
		"LEADER SEEN", "NOTE"}}
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
			note = "out of touch: may be stale"
		}
		lag := uint64(0)
		if commit > s.Applied {
			lag = commit - s.Applied
		}
		out = append(out, []string{r.Name, r.Listen, string(s.Role), strconv.FormatUint(s.Term, 10),
			fmt.Sprintf("%d-%d", s.FirstIndex, s.LastIndex), strconv.FormatUint(s.Applied, 10),
			strconv.FormatUint(lag, 10),
			strconv.FormatUint(s.Version, 10), fmt.Sprintf("%.1f MB", float64(s.DiskBytes)/(1<<20)),
			fmt.Sprintf("%d ms ago", s.SinceLeaderMS), note})
	}
	return out
}
