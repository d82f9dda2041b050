package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/membership"
)

func newNodes() *cobra.Command {
	c := &cobra.Command{Use: "nodes", Short: "List, show and forget nodes of the fleet"}
	var a clientOptions
	a.addFlags(c)
	c.AddCommand(newNodesList(&a), newNodesShow(&a), newNodesForget(&a))
	return c
}

func (c *client) fetchNodes(ctx context.Context) ([]consensus.NodeView, error) {
	var v []consensus.NodeView
	return v, c.get(ctx, "/v1/nodes", &v)
}

// nodeState returns a node's state, and a note for the operator that may be empty.
func nodeState(n *consensus.NodeView) (state, note string) {
	switch {
	case n.OutReason != "":
		state = string(n.OutReason)
		if n.Lease.Autonomous {
			note = "may serve autonomously until its next heartbeat or until forgotten"
		}
	case !n.Reported:
		state, note = "in", "no heartbeat received by this leader yet"
	case n.Fenced != "":
		state, note = "fenced", n.Fenced
	default:
		state = "serves"
	}
	switch {
	case n.RefusedVersion != 0:
		note = fmt.Sprintf("refuses version %d: %s", n.RefusedVersion, n.RefusalReason)
	case len(n.EarlierLeases) > 0 && note == "":
		note = fmt.Sprintf("%d earlier incarnations may still serve", len(n.EarlierLeases))
	case len(n.JoinTimesMS) > 2 && note == "":
		note = fmt.Sprintf("%d joins within a minute", len(n.JoinTimesMS))
	}
	return state, note
}

func newNodesList(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List all nodes", Args: exactArgs(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			nodes, err := c.fetchNodes(ctx)
			if err != nil {
				return err
			}
			if c.printJSON {
				return printJSON(w, nodes)
			}
			return printTable(w, nodesTable(nodes))
		})}
}

func nodesTable(nodes []consensus.NodeView) [][]string {
	rows := [][]string{{"NODE", "ZONE", "STATE", "ACTIVE", "PREPARED", "LAST HEARTBEAT", "NOTE"}}
	for i := range nodes {
		n := &nodes[i]
		state, note := nodeState(n)
		active, prepared := "-", "-"
		if n.Reported {
			active = strconv.FormatUint(n.ActiveVersion, 10)
		}
		if n.PreparedVersion > 0 {
			prepared = strconv.FormatUint(n.PreparedVersion, 10)
		}
		rows = append(rows, []string{n.Name, n.Zone, state, active, prepared, seconds(n.AgeMS) + " ago", note})
	}
	return rows
}

func newNodesShow(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "show NODE", Short: "Show one node in detail", Args: exactArgs(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			nodes, err := c.fetchNodes(ctx)
			if err != nil {
				return err
			}
			for i := range nodes {
				n := &nodes[i]
				if n.Name != args[0] {
					continue
				}
				if c.printJSON {
					return printJSON(w, n)
				}
				return printTable(w, nodeRows(n))
			}
			return usageError(fmt.Errorf("found no node %q, expected one that \"nodes list\" shows", args[0]))
		})}
}

func nodeRows(n *consensus.NodeView) [][]string {
	state, note := nodeState(n)
	rows := [][]string{{"node", n.Name}, {"zone", n.Zone}, {"address", n.Addr}, {"state", state}, {"note", note},
		{"active", fmt.Sprintf("version %d", n.ActiveVersion)},
		{"prepared", fmt.Sprintf("version %d", n.PreparedVersion)},
		{"lease", leaseText(n.Lease)}, {"last heartbeat", fmt.Sprintf("%d ms ago by the group's clock", n.AgeMS)},
		{"joins", fmt.Sprintf("%d within a minute", len(n.JoinTimesMS))}}
	for _, l := range n.EarlierLeases {
		rows = append(rows, []string{"earlier lease", leaseText(l)})
	}
	return rows
}

func leaseText(l membership.Lease) string {
	return fmt.Sprintf("%d, minimum version %d", l.ID, l.MinVersion)
}

func newNodesForget(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "forget NODE", Short: "Remove a node that no longer runs from the list",
		Args: exactArgs(1),
		Long: `Remove a node from the list, together with its leases, so that changes no longer wait for them. Make sure
first that the node has stopped: one that still runs may serve under an older version than the others until its next
heartbeat.`,
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			body, err := json.Marshal(map[string]string{"name": args[0]})
			if err != nil {
				return err
			}
			res, err := c.send(ctx, http.MethodPost, "/v1/nodes/forget", body)
			if err != nil {
				return err
			}
			res.Body.Close()
			fmt.Fprintf(w, "forgot node %s\n", args[0])
			return nil
		})}
}
