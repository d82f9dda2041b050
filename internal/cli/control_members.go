package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/consensus"
)

func newControlMembers(a *clientOptions) *cobra.Command {
	c := &cobra.Command{Use: "members", Short: "Change the members of a group or transfer its leadership"}
	change := func(use, short string, n int, build func(context.Context, *client, []string) (consensus.MemberChange,
		error)) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: exactArgs(n),
			RunE: func(cmd *cobra.Command, args []string) error {
				c, err := a.client()
				if err != nil {
					return err
				}
				ch, err := build(cmd.Context(), c, args)
				if err != nil {
					return err
				}
				if err = c.changeMembers(cmd.Context(), ch); err != nil {
					return err
				}
				return c.printStatus(cmd.Context(), cmd.OutOrStdout())
			}})
	}
	change("add LISTEN", "Add the instance at client address LISTEN as a learner, promoted once it has caught up", 1,
		func(ctx context.Context, c *client, args []string) (consensus.MemberChange, error) {
			return c.newAddChange(ctx, args[0])
		})
	for _, op := range []consensus.ChangeOp{consensus.OpPromote, consensus.OpRemove} {
		change(string(op)+" NAME", map[consensus.ChangeOp]string{consensus.OpPromote: "Promote a learner to voter",
			consensus.OpRemove: "Remove an instance from the group"}[op], 1,
			func(ctx context.Context, c *client, args []string) (consensus.MemberChange, error) {
				m, err := c.findMember(ctx, args[0])
				return consensus.MemberChange{Op: op, Member: m}, err
			})
	}
	change("replace NAME BY", "Promote the learner BY and remove instance NAME in one step", 2,
		func(ctx context.Context, c *client, args []string) (consensus.MemberChange, error) {
			replaced, err := c.findMember(ctx, args[0])
			if err != nil {
				return consensus.MemberChange{}, err
			}
			m, err := c.findMember(ctx, args[1])
			return consensus.MemberChange{Op: consensus.OpReplace, Member: m, ReplacedID: replaced.ID}, err
		})
	change("transfer NAME", "Transfer leadership to an instance", 1,
		func(ctx context.Context, c *client, args []string) (consensus.MemberChange, error) {
			m, err := c.findMember(ctx, args[0])
			return consensus.MemberChange{Op: consensus.OpTransfer, Member: m}, err
		})
	return c
}

// newAddChange asks an instance for its identity and returns the change that adds it.
func (c *client) newAddChange(ctx context.Context, listen string) (consensus.MemberChange, error) {
	res, err := c.sendTo(ctx, listen, http.MethodGet, "/v1/self", nil)
	if err != nil {
		return consensus.MemberChange{}, fmt.Errorf("instance to add at %s: %w", listen, err)
	}
	defer res.Body.Close()
	var s consensus.InstanceInfo
	if err = json.NewDecoder(res.Body).Decode(&s); err != nil {
		return consensus.MemberChange{}, err
	}
	return consensus.MemberChange{Op: consensus.OpAdd, Member: consensus.Member{ID: s.ID, Name: s.Name, Peer: s.Peer,
		Listen: s.Listen, Promote: true}}, nil
}

func (c *client) findMember(ctx context.Context, name string) (consensus.Member, error) {
	_, newest, err := c.instanceRows(ctx)
	if err != nil {
		return consensus.Member{}, err
	}
	names := make([]string, 0, len(newest.Members))
	for _, m := range newest.Members {
		if m.Name == name {
			return m, nil
		}
		names = append(names, m.Name)
	}
	return consensus.Member{}, usageError(fmt.Errorf("found no instance %q, expected one of %s", name,
		strings.Join(names, ", ")))
}

// changeMembers requests a change of members. A transfer is sent to the leader first, as only it can do that.
func (c *client) changeMembers(ctx context.Context, ch consensus.MemberChange) error {
	body, err := json.Marshal(ch)
	if err != nil {
		return err
	}
	if ch.Op == consensus.OpTransfer {
		if rows, _, err := c.instanceRows(ctx); err == nil {
			for _, r := range rows {
				if r.Report != nil && r.Report.Role == consensus.RoleLeader {
					c.addresses = append([]string{r.Listen}, c.addresses...)
				}
			}
		}
	}
	res, err := c.send(ctx, http.MethodPost, "/v1/members", body)
	if err != nil {
		return err
	}
	return res.Body.Close()
}
