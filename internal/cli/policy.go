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

func newPolicy() *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "Change all nodes of the fleet to a new version"}
	var a clientOptions
	a.addFlags(c)
	c.AddCommand(newPolicyPropose(&a), newPolicyStatus(&a), newPolicyCallOff(&a), newPolicyHistory(&a),
		newPolicyExplain(&a))
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

// proposeOptions are the flags of `policy propose`.
type proposeOptions struct {
	policy.Proposal
	prepareTimeout time.Duration
	wait           bool
}

func newPolicyPropose(a *clientOptions) *cobra.Command {
	var r proposeOptions
	c := &cobra.Command{Use: "propose VERSION|FILE",
		Short: "Propose a change of all nodes to a version or document", Args: exactArgs(1),
		Long: `Propose a change of all nodes to a version of the configuration. A FILE (- for standard input) is put
as a new version first, as with "config put". Every node prepares the version: it checks it and evaluates it on recent
traffic. Once all nodes have prepared, the change is decided, and no node serves under an older version for longer than
a lease. If more than --spare nodes refuse the version, or are up and do not prepare it within --prepare, the change is
called off. With --exclusive, no two versions are active at the same time: nodes reject requests between the decision
and the expiry of the last lease.`,
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			return r.run(ctx, c, args[0], w)
		})}
	f := c.Flags()
	f.BoolVar(&r.Exclusive, "exclusive", false,
		"never have two versions active at the same time; requires when_alone = fence")
	f.DurationVar(&r.prepareTimeout, "prepare", 30*time.Second, "time that nodes have to prepare the version")
	f.IntVar(&r.MaxLeftBehind, "spare", 0, "maximum number of nodes that may be left behind, out of service")
	f.StringVar(&r.Reason, "reason", "", "reason of the change, recorded in the history")
	f.BoolVar(&r.wait, "wait", true, "print the change's steps until it has settled or is called off")
	return c
}

// run proposes the change. An argument that is not a version number is a file.
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
	_, err = fmt.Fprintf(w, "proposed change %d to version %d\n", res.ChangeNumber, r.Version)
	return err
}

// putDocument puts a document as the group's next version and returns the version's number.
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

// changePollInterval is how often followChange fetches the change.
const changePollInterval = 200 * time.Millisecond

// followChange prints a change's events until it ends. A change that is called off is an error.
func (c *client) followChange(ctx context.Context, w io.Writer, number uint64) error {
	shown, blockers := 0, ""
	for {
		v, err := c.fetchPolicy(ctx)
		if err != nil {
			return err
		}
		ch := findChange(v, number)
		if ch == nil {
			return fmt.Errorf("change %d is no longer in the history", number)
		}
		ended := ch.Step == policy.Settled || ch.Step == policy.Aborted
		if !c.printJSON {
			printEvents(w, ch, shown)
			shown = len(ch.Events)
			if now := blockerNames(v.WaitingFor); !ended && now != blockers && now != "" {
				blockers = now
				fmt.Fprintf(w, "             waiting for %s\n", now)
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

// reportEnd prints a change that has ended as JSON if requested, and returns an error if it was called off.
func (c *client) reportEnd(w io.Writer, ch *policy.Change) error {
	if c.printJSON {
		if err := printJSON(w, ch); err != nil {
			return err
		}
	}
	if ch.Step == policy.Aborted {
		return exitError{fmt.Errorf("change %d to version %d was called off: %s", ch.Number, ch.Version,
			ch.AbortReason), exitRefused}
	}
	return nil
}

// printEvents prints a change's events from index from on, each with the time since the proposal.
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
	return &cobra.Command{Use: "status", Short: "Show the committed version, the change in progress and its blockers",
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
		_, err := fmt.Fprintln(w, "no change in progress")
		return err
	}
	ch := v.Current
	fmt.Fprintf(w, "change %d: version %d to %d, %s, by %s: %s\n", ch.Number, ch.PreviousVersion, ch.Version, ch.Step,
		ch.Proposal.Author, ch.Proposal.Reason)
	return printTable(w, blockersTable(v))
}

// blockersTable lists the nodes that refuse the change in progress, then those that it waits for.
func blockersTable(v *consensus.PolicyView) [][]string {
	rows := [][]string{{"BLOCKER", "ZONE", "REASON"}}
	for _, b := range append(v.RefusedBy, v.WaitingFor...) {
		rows = append(rows, []string{b.Node, b.Zone, b.Reason})
	}
	return rows
}

func newPolicyCallOff(a *clientOptions) *cobra.Command {
	var reason string
	c := &cobra.Command{Use: "call-off", Short: "Call off the change in progress, if it is not decided yet",
		Args: exactArgs(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.fetchPolicy(ctx)
			if err != nil {
				return err
			}
			if v.Current == nil {
				return exitError{errors.New("no change is in progress"), exitRefused}
			}
			if _, err = c.sendPolicyOp(ctx, policy.Op{Kind: policy.OpAbort, ChangeNumber: v.Current.Number,
				Author: currentUser(), Reason: reason}); err != nil {
				return err
			}
			fmt.Fprintf(w, "called off change %d\n", v.Current.Number)
			return nil
		})}
	c.Flags().StringVar(&reason, "reason", "", "reason, recorded in the history")
	return c
}

func newPolicyHistory(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "history", Short: "List changes, newest last", Args: exactArgs(0),
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
			elapsed(ch.CommittedAtMS, ch.ProposedAtMS), elapsed(ch.EndedAtMS, ch.ProposedAtMS), reason})
	}
	return rows
}

func newPolicyExplain(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "explain CHANGE", Short: "Show the steps of a change with their times and reasons",
		Args: exactArgs(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			number, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil {
				return usageError(fmt.Errorf("CHANGE: found %q, expected a number from \"policy history\"", args[0]))
			}
			v, err := c.fetchPolicy(ctx)
			if err != nil {
				return err
			}
			ch := findChange(v, number)
			if ch == nil {
				return usageError(fmt.Errorf("found no change %d, expected one from \"policy history\"", number))
			}
			if c.printJSON {
				return printJSON(w, ch)
			}
			fmt.Fprintf(w, "change %d: version %d to %d, %s\n", ch.Number, ch.PreviousVersion, ch.Version, ch.Step)
			printEvents(w, ch, 0)
			if v.Current == ch {
				printBlockers(w, "refused by", v.RefusedBy)
				printBlockers(w, "waiting for", v.WaitingFor)
			}
			return nil
		})}
}

// printBlockers prints nodes that refuse the change in progress or that it waits for. Nodes of the previous generation
// have no zone.
func printBlockers(w io.Writer, verb string, blockers []policy.Blocker) {
	for _, b := range blockers {
		node := b.Node
		if b.Zone != "" {
			node += " (zone " + b.Zone + ")"
		}
		fmt.Fprintf(w, "             %s %s: %s\n", verb, node, b.Reason)
	}
}
