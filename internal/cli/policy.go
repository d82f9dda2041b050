package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
)

// A change of policy and the nodes it is for.

func newPolicy() *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "Carry a version to all nodes of the fleet, or to none"}
	var a access
	a.flags(c)
	c.AddCommand(newPropose(&a), newPolicyStatus(&a), newCallOff(&a), newPolicyHistory(&a), newExplain(&a))
	return c
}

func (c *client) policyView(ctx context.Context) (*consensus.PolicyView, error) {
	var v consensus.PolicyView
	return &v, c.get(ctx, "/v1/policy", &v)
}

func (c *client) policyOp(ctx context.Context, op policy.Op) (policy.Result, error) {
	var r policy.Result
	body, err := json.Marshal(op)
	if err != nil {
		return r, err
	}
	res, err := c.ask(ctx, http.MethodPost, "/v1/policy", body)
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	return r, json.NewDecoder(res.Body).Decode(&r)
}

func newPropose(a *access) *cobra.Command {
	p := policy.Proposal{}
	var within time.Duration
	var wait bool
	c := &cobra.Command{Use: "propose VERSION|FILE",
		Short: "Propose a change to a version, or to a document that becomes one", Args: exact(1),
		Long: `Proposes to carry a version of the configuration to all nodes. A FILE (or - for standard input) is put first, as with
"config put". Every node that is in checks and tries it; once all have, it is decided, and from then on no node serves
under an older one for longer than a lease. A node that says no, or is up and does not prepare within --prepare, has
the change called off, unless no more than --spare do. With --exclusive no two versions are served under at one moment:
nodes shed between the decision and the last lease's end.`,
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			var err error
			if p.Version, err = strconv.ParseUint(args[0], 10, 63); err != nil {
				if p.Version, err = c.putFirst(ctx, args[0], p.Reason); err != nil {
					return err
				}
			}
			p.PrepareWithinMS, p.Author, p.IdempotencyKey = uint64(within.Milliseconds()), whoami(), newSession()
			if err = p.Validate(); err != nil {
				return usage(err)
			}
			r, err := c.policyOp(ctx, policy.Op{Kind: "propose", Proposal: &p})
			if err != nil {
				return err
			}
			if !wait {
				if c.json {
					return printJSON(w, r)
				}
				fmt.Fprintf(w, "change %d to version %d is under way\n", r.ChangeNumber, p.Version)
				return nil
			}
			return c.follow(ctx, w, r.ChangeNumber)
		})}
	f := c.Flags()
	f.BoolVar(&p.Exclusive, "exclusive", false, "no moment at which two versions are served under; needs when_alone = fence")
	f.DurationVar(&within, "prepare", 30*time.Second, "how long nodes have to prepare it")
	f.IntVar(&p.MaxLeftBehind, "spare", 0, "nodes at most that may be left behind, out of service")
	f.StringVar(&p.Reason, "reason", "", "why, for the history")
	f.BoolVar(&wait, "wait", true, "show its steps until it has settled or is called off")
	return c
}

// putFirst makes a document the group's next version.
func (c *client) putFirst(ctx context.Context, file, reason string) (uint64, error) {
	raw, err := readText(file)
	if err != nil {
		return 0, err
	}
	next, err := document.Parse(file, raw)
	if err != nil {
		return 0, usage(err)
	}
	p := consensus.Put{Author: whoami(), Reason: reason, Text: string(next.Canonical())}
	v, err := c.current(ctx)
	if err != nil {
		return 0, err
	}
	if v != nil {
		p.Base = v.Number
	}
	end, err := c.put(ctx, p)
	if err == nil && end.Outcome != consensus.PutCommitted && end.Outcome != consensus.PutUnchanged {
		err = coded{fmt.Errorf("%s: %s", end.Outcome, end.Reason), exitRefused}
	}
	return end.Version, err
}

func find(v *consensus.PolicyView, number uint64) *policy.Change {
	if v.Current != nil && v.Current.Number == number {
		return v.Current
	}
	for _, c := range v.History {
		if c.Number == number {
			return c
		}
	}
	return nil
}

// follow shows a change's events as they come, until it ends. Called off is a no.
func (c *client) follow(ctx context.Context, w io.Writer, number uint64) error {
	shown, waits := 0, ""
	for {
		v, err := c.policyView(ctx)
		if err != nil {
			return err
		}
		ch := find(v, number)
		if ch == nil {
			return fmt.Errorf("change %d is not known any more", number)
		}
		ended := ch.Step == policy.Settled || ch.Step == policy.Aborted
		if c.json {
			if ended {
				err = printJSON(w, ch)
			}
		} else {
			for ; shown < len(ch.Events); shown++ {
				e := ch.Events[shown]
				fmt.Fprintf(w, "%8d ms  %s\n", e.ClockMS-ch.ProposedAtMS, e.Text)
			}
			if now := blockerNames(v.WaitingFor); !ended && now != waits && now != "" {
				waits = now
				fmt.Fprintf(w, "             waits for %s\n", now)
			}
		}
		switch {
		case err != nil:
			return err
		case ch.Step == policy.Aborted:
			return coded{fmt.Errorf("change %d to version %d was called off: %s", number, ch.Version, ch.AbortReason), exitRefused}
		case ended:
			return nil
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func blockerNames(ws []policy.Blocker) string {
	var names []string
	for _, w := range ws {
		names = append(names, w.Node)
	}
	if len(names) == 0 {
		return ""
	}
	return policy.Summarize(names)
}

func newPolicyStatus(a *access) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show what is in force, the change under way, and whom it waits for",
		Args: exact(0), RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.policyView(ctx)
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(w, v)
			}
			fmt.Fprintf(w, "version %d in force, %d decided; %d of %d nodes in; lease %v, when alone %s\n", v.CommittedVersion, v.DecidedVersion,
				v.ActiveNodes, v.Nodes, time.Duration(v.Rules.LeaseMS)*time.Millisecond,
				map[bool]string{true: "go-on", false: "fence"}[v.Rules.Autonomous])
			if v.StateLoss != "" {
				fmt.Fprintf(w, "the group has lost state and grants nothing: %s\n", v.StateLoss)
			}
			if v.Level < consensus.LevelFleet {
				fmt.Fprintf(w, "the group is at level %d: %v\n", v.Level, v.Levels)
			}
			if v.Current == nil {
				fmt.Fprintln(w, "no change under way")
				return nil
			}
			fmt.Fprintf(w, "change %d: version %d to %d, %s, by %s: %s\n", v.Current.Number, v.Current.PreviousVersion, v.Current.Version,
				v.Current.Step, v.Current.Proposal.Author, v.Current.Proposal.Reason)
			rows := [][]string{{"NODE", "ZONE", "WHY IT IS WAITED FOR"}}
			for _, o := range append(v.RefusedBy, v.WaitingFor...) {
				rows = append(rows, []string{o.Node, o.Zone, o.Reason})
			}
			return table(w, rows)
		})}
}

func newCallOff(a *access) *cobra.Command {
	var why string
	c := &cobra.Command{Use: "call-off", Short: "Call off the change under way, if it is not decided yet", Args: exact(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.policyView(ctx)
			if err != nil {
				return err
			}
			if v.Current == nil {
				return coded{errors.New("no change is under way"), exitRefused}
			}
			if _, err = c.policyOp(ctx, policy.Op{Kind: "off", ChangeNumber: v.Current.Number, Author: whoami(),
				Reason: why}); err != nil {
				return err
			}
			fmt.Fprintf(w, "change %d is called off\n", v.Current.Number)
			return nil
		})}
	c.Flags().StringVar(&why, "reason", "", "why, for the history")
	return c
}

func newPolicyHistory(a *access) *cobra.Command {
	return &cobra.Command{Use: "history", Short: "Show earlier changes, the newest last", Args: exact(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.policyView(ctx)
			if err != nil {
				return err
			}
			all := v.History
			if v.Current != nil {
				all = append(all, v.Current)
			}
			if c.json {
				return printJSON(w, all)
			}
			rows := [][]string{{"CHANGE", "FROM", "TO", "STEP", "BY", "IN FORCE AFTER", "ENDED AFTER", "REASON"}}
			after := func(t, from uint64) string {
				if t == 0 {
					return "-"
				}
				return fmt.Sprintf("%d ms", t-from)
			}
			for _, o := range all {
				why := o.Proposal.Reason
				if o.AbortReason != "" {
					why = o.AbortReason
				}
				rows = append(rows, []string{strconv.FormatUint(o.Number, 10), strconv.FormatUint(o.PreviousVersion, 10),
					strconv.FormatUint(o.Version, 10), string(o.Step), o.Proposal.Author, after(o.CommittedAtMS, o.ProposedAtMS),
					after(o.EndedAtMS, o.ProposedAtMS), why})
			}
			return table(w, rows)
		})}
}

func newExplain(a *access) *cobra.Command {
	return &cobra.Command{Use: "explain CHANGE", Short: "Tell a change's steps, when each came, and why", Args: exact(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			number, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil {
				return usage(fmt.Errorf("CHANGE: found %q, expected a number of policy history", args[0]))
			}
			v, err := c.policyView(ctx)
			if err != nil {
				return err
			}
			ch := find(v, number)
			if ch == nil {
				return usage(fmt.Errorf("found no change %d, expected one of policy history", number))
			}
			if c.json {
				return printJSON(w, ch)
			}
			fmt.Fprintf(w, "change %d: version %d to %d, %s\n", ch.Number, ch.PreviousVersion, ch.Version, ch.Step)
			for _, e := range ch.Events {
				fmt.Fprintf(w, "%8d ms  %s\n", e.ClockMS-ch.ProposedAtMS, e.Text)
			}
			if v.Current == ch {
				for _, o := range append(v.RefusedBy, v.WaitingFor...) {
					fmt.Fprintf(w, "             waits for %s of %s: it %s\n", o.Node, o.Zone, o.Reason)
				}
			}
			return nil
		})}
}

// ---- Nodes.

func newNodes() *cobra.Command {
	c := &cobra.Command{Use: "nodes", Short: "The nodes of the fleet, as the group knows them"}
	var a access
	a.flags(c)
	c.AddCommand(newNodesList(&a), newNodesShow(&a), newNodesForget(&a))
	return c
}

func (c *client) nodes(ctx context.Context) ([]consensus.NodeView, error) {
	var v []consensus.NodeView
	return v, c.get(ctx, "/v1/nodes", &v)
}

// state says in a word how a node stands, and in a note what an operator should know of it.
func state(n *consensus.NodeView) (word, note string) {
	switch {
	case n.OutReason != "":
		word = string(n.OutReason)
		if n.Lease.Autonomous {
			note = "may serve alone until it is heard or forgotten"
		}
	case !n.Reported:
		word, note = "in", "not heard by this leader yet"
	case n.Fenced != "":
		word, note = "fenced", n.Fenced
	default:
		word = "serves"
	}
	switch {
	case n.RefusedVersion != 0:
		note = fmt.Sprintf("refuses version %d: %s", n.RefusedVersion, n.RefusalReason)
	case len(n.EarlierLeases) > 0 && note == "":
		note = fmt.Sprintf("%d earlier incarnations may still serve", len(n.EarlierLeases))
	case len(n.JoinTimesMS) > 2 && note == "":
		note = fmt.Sprintf("%d starts within a minute", len(n.JoinTimesMS))
	}
	return word, note
}

func newNodesList(a *access) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List all nodes", Args: exact(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			all, err := c.nodes(ctx)
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(w, all)
			}
			rows := [][]string{{"NODE", "ZONE", "STATE", "VERSION", "PREPARED", "HEARD", "NOTE"}}
			for i := range all {
				n := &all[i]
				word, note := state(n)
				serves, prepared := "-", "-"
				if n.Reported {
					serves = strconv.FormatUint(n.ActiveVersion, 10)
				}
				if n.PreparedVersion > 0 {
					prepared = strconv.FormatUint(n.PreparedVersion, 10)
				}
				rows = append(rows, []string{n.Name, n.Zone, word, serves, prepared, fmt.Sprintf("%.1f s ago",
					float64(n.AgeMS)/1000), note})
			}
			return table(w, rows)
		})}
}

func newNodesShow(a *access) *cobra.Command {
	return &cobra.Command{Use: "show NODE", Short: "Show one node whole", Args: exact(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			all, err := c.nodes(ctx)
			if err != nil {
				return err
			}
			for i := range all {
				n := &all[i]
				if n.Name != args[0] {
					continue
				}
				if c.json {
					return printJSON(w, n)
				}
				word, note := state(n)
				lease := fmt.Sprintf("%d, promised %d at least", n.Lease.ID, n.Lease.MinVersion)
				rows := [][]string{{"node", n.Name}, {"zone", n.Zone}, {"serves at", n.Addr}, {"state", word}, {"note", note},
					{"version", strconv.FormatUint(n.ActiveVersion, 10)}, {"prepared", strconv.FormatUint(n.PreparedVersion, 10)},
					{"lease", lease}, {"heard", fmt.Sprintf("%d ms ago by the group's time", n.AgeMS)},
					{"starts", fmt.Sprintf("%d within a minute", len(n.JoinTimesMS))}}
				for _, o := range n.EarlierLeases {
					rows = append(rows, []string{"earlier lease", fmt.Sprintf("%d, promised %d at least", o.ID, o.MinVersion)})
				}
				return table(w, rows)
			}
			return usage(fmt.Errorf("found no node %q, expected one of nodes list", args[0]))
		})}
}

func newNodesForget(a *access) *cobra.Command {
	return &cobra.Command{Use: "forget NODE", Short: "Take a node off the list: you vouch that it is dead", Args: exact(1),
		Long: `Takes a node off the list, with all that is waited for of it. Whoever forgets a node vouches that it serves nothing
any more: if it does, it may serve under an older version than all others until it hears of the group.`,
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			body, err := json.Marshal(map[string]string{"name": args[0]})
			if err != nil {
				return err
			}
			res, err := c.ask(ctx, http.MethodPost, "/v1/nodes/forget", body)
			if err != nil {
				return err
			}
			res.Body.Close()
			fmt.Fprintf(w, "%s is forgotten\n", args[0])
			return nil
		})}
}
