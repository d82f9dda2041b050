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
	c := &cobra.Command{Use: "policy", Short: "Change all nodes of the fleet to a version, or none"}
	var a clientOptions
	a.addFlags(c)
	c.AddCommand(newPolicyPropose(&a), newPolicyStatus(&a), newPolicyCallOff(&a), newPolicyHistory(&a), newPolicyExplain(&a))
	return c
}

func (c *client) fetchPolicy(ctx context.Context) (*consensus.PolicyView, error) {
	var v consensus.PolicyView
	return &v, c.get(ctx, "/v1/policy", &v)
}

func (c *client) sendPolicyOp(ctx context.Context, op policy.Op) (policy.Result, error) {
	var r policy.Result
	body, err := json.Marshal(op)
	if err != nil {
		return r, err
	}
	res, err := c.send(ctx, http.MethodPost, "/v1/policy", body)
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	return r, json.NewDecoder(res.Body).Decode(&r)
}

// proposeOptions is what the flags of `policy propose` ask for.
type proposeOptions struct {
	policy.Proposal
	prepareTimeout time.Duration
	wait           bool
}

func newPolicyPropose(a *clientOptions) *cobra.Command {
	var r proposeOptions
	c := &cobra.Command{Use: "propose VERSION|FILE",
		Short: "Propose a change to a version, or to a document that becomes one", Args: exactArgs(1),
		Long: `Proposes a change of all nodes to a version of the configuration. A FILE (or - for standard
input) is put first, as with "config put". Every node prepares the version: it checks it and evaluates it on
recent traffic. Once all have, the change is decided, and no node serves under an older version for longer than
a lease. A node that refuses the version, or is up and does not prepare within --prepare, has the change called
off, unless no more than --spare do. With --exclusive no two versions are active at one moment: nodes reject
requests between the decision and the last lease's end.`,
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			return r.run(ctx, c, args[0], w)
		})}
	f := c.Flags()
	f.BoolVar(&r.Exclusive, "exclusive", false, "no moment with two active versions; needs when_alone = fence")
	f.DurationVar(&r.prepareTimeout, "prepare", 30*time.Second, "how long nodes have to prepare it")
	f.IntVar(&r.MaxLeftBehind, "spare", 0, "nodes at most that may be left behind, out of service")
	f.StringVar(&r.Reason, "reason", "", "why, for the history")
	f.BoolVar(&r.wait, "wait", true, "show its steps until it has settled or is called off")
	return c
}

// run proposes the change; what names no version is a file.
func (r *proposeOptions) run(ctx context.Context, c *client, versionOrFile string, w io.Writer) (err error) {
	if r.Version, err = strconv.ParseUint(versionOrFile, 10, 63); err != nil {
		if r.Version, err = c.putDocument(ctx, versionOrFile, r.Reason); err != nil {
			return err
		}
	}
	r.PrepareWithinMS, r.Author, r.IdempotencyKey = uint64(r.prepareTimeout.Milliseconds()), currentUser(), newSession()
	if err = r.Validate(); err != nil {
		return usageError(err)
	}
	res, err := c.sendPolicyOp(ctx, policy.Op{Kind: policy.OpPropose, Proposal: &r.Proposal})
	switch {
	case err != nil:
		return err
	case r.wait:
		return c.followChange(ctx, w, res.ChangeNumber)
	case c.printJSON:
		return printJSON(w, res)
	}
	_, err = fmt.Fprintf(w, "change %d to version %d is under way\n", res.ChangeNumber, r.Version)
	return err
}

// putDocument makes a document the group's next version.
func (c *client) putDocument(ctx context.Context, file, reason string) (uint64, error) {
	raw, err := readText(file)
	if err != nil {
		return 0, err
	}
	next, err := document.Parse(file, raw)
	if err != nil {
		return 0, usageError(err)
	}
	p := consensus.Put{Author: currentUser(), Reason: reason, Text: string(next.Canonical())}
	v, err := c.fetchCurrent(ctx)
	if err != nil {
		return 0, err
	}
	if v != nil {
		p.Base = v.Number
	}
	result, err := c.put(ctx, p)
	if err == nil && result.Outcome != consensus.PutCommitted && result.Outcome != consensus.PutUnchanged {
		err = exitError{fmt.Errorf("%s: %s", result.Outcome, result.Reason), exitRefused}
	}
	return result.Version, err
}

func findChange(v *consensus.PolicyView, number uint64) *policy.Change {
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

// changePollInterval is the pause between two looks at a change under way.
const changePollInterval = 200 * time.Millisecond

// followChange shows a change's events as they come, until it ends. A change that is called off is an error.
func (c *client) followChange(ctx context.Context, w io.Writer, number uint64) error {
	shown, blockers := 0, ""
	for {
		v, err := c.fetchPolicy(ctx)
		if err != nil {
			return err
		}
		ch := findChange(v, number)
		if ch == nil {
			return fmt.Errorf("change %d is not in the history any more", number)
		}
		ended := ch.Step == policy.Settled || ch.Step == policy.Aborted
		if !c.printJSON {
			printEvents(w, ch, shown)
			shown = len(ch.Events)
			if now := blockerNames(v.WaitingFor); !ended && now != blockers && now != "" {
				blockers = now
				fmt.Fprintf(w, "             waits for %s\n", now)
			}
		}
		if ended {
			return c.reportEnd(w, ch)
		}
		select {
		case <-time.After(changePollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reportEnd prints a change that has ended, and gives the error of one that was called off.
func (c *client) reportEnd(w io.Writer, ch *policy.Change) error {
	if c.printJSON {
		if err := printJSON(w, ch); err != nil {
			return err
		}
	}
	if ch.Step == policy.Aborted {
		return exitError{fmt.Errorf("change %d to version %d was called off: %s", ch.Number, ch.Version, ch.AbortReason),
			exitRefused}
	}
	return nil
}

// printEvents prints a change's events from one on, each with the time since the proposal.
func printEvents(w io.Writer, ch *policy.Change, from int) {
	for _, e := range ch.Events[from:] {
		fmt.Fprintf(w, "%8d ms  %s\n", e.ClockMS-ch.ProposedAtMS, e.Text)
	}
}

func blockerNames(blockers []policy.Blocker) string {
	var names []string
	for _, b := range blockers {
		names = append(names, b.Node)
	}
	if len(names) == 0 {
		return ""
	}
	return policy.Summarize(names)
}

func newPolicyStatus(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the committed version, the change under way, and its blockers",
		Args: exactArgs(0), RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.fetchPolicy(ctx)
			if err != nil {
				return err
			}
			if c.printJSON {
				return printJSON(w, v)
			}
			return printPolicyStatus(w, v)
		})}
}

func printPolicyStatus(w io.Writer, v *consensus.PolicyView) error {
	whenAlone := "fence"
	if v.Rules.Autonomous {
		whenAlone = "go-on"
	}
	fmt.Fprintf(w, "version %d committed, %d decided; %d of %d nodes in; lease %v, when_alone %s\n", v.CommittedVersion,
		v.DecidedVersion, v.ActiveNodes, v.Nodes, time.Duration(v.Rules.LeaseMS)*time.Millisecond, whenAlone)
	if v.StateLoss != "" {
		fmt.Fprintf(w, "the group has lost state and grants no leases: %s\n", v.StateLoss)
	}
	if v.Level < consensus.LevelFleet {
		fmt.Fprintf(w, "the group is at level %d: %v\n", v.Level, v.Levels)
	}
	if v.Current == nil {
		_, err := fmt.Fprintln(w, "no change under way")
		return err
	}
	ch := v.Current
	fmt.Fprintf(w, "change %d: version %d to %d, %s, by %s: %s\n", ch.Number, ch.PreviousVersion, ch.Version, ch.Step,
		ch.Proposal.Author, ch.Proposal.Reason)
	return printTable(w, blockersTable(v))
}

// blockersTable has the nodes that refuse the change under way, then those that it waits for.
func blockersTable(v *consensus.PolicyView) [][]string {
	rows := [][]string{{"BLOCKER", "ZONE", "REASON"}}
	for _, b := range append(v.RefusedBy, v.WaitingFor...) {
		rows = append(rows, []string{b.Node, b.Zone, b.Reason})
	}
	return rows
}

func newPolicyCallOff(a *clientOptions) *cobra.Command {
	var reason string
	c := &cobra.Command{Use: "call-off", Short: "Call off the change under way, if it is not decided yet",
		Args: exactArgs(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.fetchPolicy(ctx)
			if err != nil {
				return err
			}
			if v.Current == nil {
				return exitError{errors.New("no change is under way"), exitRefused}
			}
			if _, err = c.sendPolicyOp(ctx, policy.Op{Kind: policy.OpAbort, ChangeNumber: v.Current.Number,
				Author: currentUser(),
				Reason: reason}); err != nil {
				return err
			}
			fmt.Fprintf(w, "change %d is called off\n", v.Current.Number)
			return nil
		})}
	c.Flags().StringVar(&reason, "reason", "", "why, for the history")
	return c
}

func newPolicyHistory(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "history", Short: "Show earlier changes, the newest last", Args: exactArgs(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.fetchPolicy(ctx)
			if err != nil {
				return err
			}
			changes := v.History
			if v.Current != nil {
				changes = append(changes, v.Current)
			}
			if c.printJSON {
				return printJSON(w, changes)
			}
			return printTable(w, changesTable(changes))
		})}
}

func changesTable(changes []*policy.Change) [][]string {
	rows := [][]string{{"CHANGE", "FROM", "TO", "STEP", "BY", "COMMITTED AFTER", "ENDED AFTER", "REASON"}}
	elapsed := func(at, from uint64) string {
		if at == 0 {
			return "-"
		}
		return fmt.Sprintf("%d ms", at-from)
	}
	for _, ch := range changes {
		reason := ch.Proposal.Reason
		if ch.AbortReason != "" {
			reason = ch.AbortReason
		}
		rows = append(rows, []string{strconv.FormatUint(ch.Number, 10), strconv.FormatUint(ch.PreviousVersion, 10),
			strconv.FormatUint(ch.Version, 10), string(ch.Step), ch.Proposal.Author,
			elapsed(ch.CommittedAtMS, ch.ProposedAtMS),
			elapsed(ch.EndedAtMS, ch.ProposedAtMS), reason})
	}
	return rows
}

func newPolicyExplain(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "explain CHANGE", Short: "Show a change's steps, when each came, and why",
		Args: exactArgs(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			number, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil {
				return usageError(fmt.Errorf("CHANGE: found %q, expected a number of policy history", args[0]))
			}
			v, err := c.fetchPolicy(ctx)
			if err != nil {
				return err
			}
			ch := findChange(v, number)
			if ch == nil {
				return usageError(fmt.Errorf("found no change %d, expected one of policy history", number))
			}
			if c.printJSON {
				return printJSON(w, ch)
			}
			fmt.Fprintf(w, "change %d: version %d to %d, %s\n", ch.Number, ch.PreviousVersion, ch.Version, ch.Step)
			printEvents(w, ch, 0)
			if v.Current == ch {
				printBlockers(w, "refused by", v.RefusedBy)
				printBlockers(w, "waits for", v.WaitingFor)
			}
			return nil
		})}
}

// printBlockers prints nodes that refuse the change under way or that it waits for. Nodes of a generation before have
// no zone.
func printBlockers(w io.Writer, verb string, blockers []policy.Blocker) {
	for _, b := range blockers {
		node := b.Node
		if b.Zone != "" {
			node += " (zone " + b.Zone + ")"
		}
		fmt.Fprintf(w, "             %s %s: %s\n", verb, node, b.Reason)
	}
}
