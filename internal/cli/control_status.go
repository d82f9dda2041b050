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

func newControlStatus(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the status of each instance of a group", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			return c.printStatus(cmd.Context(), cmd.OutOrStdout())
		}}
}

// instanceRow is one instance in the output of `control status`.
type instanceRow struct {
	Name   string                  `json:"name"`
	Listen string                  `json:"listen"`
	Report *consensus.StatusReport `json:"report,omitempty"`
	Error  string                  `json:"error,omitempty"`
}

// instanceRows fetches the status of every member of the group. The member list is that of the instance with the
// highest applied index, whose report is returned as well.
func (c *client) instanceRows(ctx context.Context) ([]instanceRow, *consensus.StatusReport, error) {
	var newest *consensus.StatusReport
	var lastErr error
	for _, address := range c.addresses {
		r, err := c.fetchReport(ctx, address)
		if err != nil {
			lastErr = fmt.Errorf("%s: %w", address, err)
			continue
		}
		if newest == nil || r.Applied > newest.Applied {
			newest = r
		}
	}
	if newest == nil {
		return nil, nil, exitError{fmt.Errorf("no instance responds: %w", lastErr), exitUnknown}
	}
	var out []instanceRow
	if len(newest.Members) == 0 {
		out = append(out, instanceRow{Name: newest.Name, Report: newest})
	}
	for _, m := range newest.Members {
		r, err := c.fetchReport(ctx, m.Listen)
		row := instanceRow{Name: m.Name, Listen: m.Listen, Report: r}
		if err != nil {
			row.Error = err.Error()
		}
		out = append(out, row)
	}
	return out, newest, nil
}

func (c *client) fetchReport(ctx context.Context, address string) (*consensus.StatusReport, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	res, err := c.sendTo(ctx, address, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var r consensus.StatusReport
	return &r, json.NewDecoder(res.Body).Decode(&r)
}

func (c *client) printStatus(ctx context.Context, w io.Writer) error {
	rows, newest, err := c.instanceRows(ctx)
	if err != nil {
		return err
	}
	if c.printJSON {
		return printJSON(w, rows)
	}
	fmt.Fprintf(w, "group %s, version %d\n", groupOrNone(newest.Cluster), newest.Version)
	return printTable(w, statusTable(rows, newest.Commit))
}

func groupOrNone(s string) string {
	if s == "" {
		return "none yet"
	}
	return s
}

func statusTable(rows []instanceRow, commit uint64) [][]string {
	out := [][]string{{"NAME", "LISTEN", "ROLE", "TERM", "LOG", "APPLIED", "LAG", "VERSION", "DISK",
		"LEADER SEEN", "NOTE"}}
	for _, r := range rows {
		if r.Report == nil {
			out = append(out, []string{r.Name, r.Listen, "-", "-", "-", "-", "-", "-", "-", "-", "no response"})
			continue
		}
		s, note := r.Report, ""
		switch {
		case s.Barred != "":
			note = s.Barred
		case s.OutOfContact:
			note = "out of contact: may be stale"
		}
		lag := uint64(0)
		if commit > s.Applied {
			lag = commit - s.Applied
		}
		out = append(out, []string{r.Name, r.Listen, string(s.Role), strconv.FormatUint(s.Term, 10),
			fmt.Sprintf("%d-%d", s.FirstIndex, s.LastIndex), strconv.FormatUint(s.Applied, 10),
			strconv.FormatUint(lag, 10), strconv.FormatUint(s.Version, 10),
			fmt.Sprintf("%.1f MB", float64(s.DiskBytes)/(1<<20)),
			fmt.Sprintf("%d ms ago", s.SinceLeaderMS), note})
	}
	return out
}
