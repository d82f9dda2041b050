package consensus

import "sort"

// Member is an instance of the group, as stored and sent.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Peer    string `json:"peer"`   // address for peers
	Listen  string `json:"listen"` // address for clients
	Voter   bool   `json:"voter"`
	Promote bool   `json:"promote"` // becomes a voter once it has caught up
}

// ChangeOp names an operation on the members of a group, as stored and sent.
type ChangeOp string

// Operations on the members of a group.
const (
	OpAdd      ChangeOp = "add"      // as a learner
	OpPromote  ChangeOp = "promote"  // a learner becomes a voter
	OpRemove   ChangeOp = "remove"   // permanently: a removed instance can not be added again
	OpReplace  ChangeOp = "replace"  // a learner replaces a voter, in one joint change
	OpTransfer ChangeOp = "transfer" // leadership, to a voter; members do not change
)

// Bounds of the members.
const (
	maxMembers = 15
	maxRemoved = 256 // ids of removed instances that are remembered, and refused as peers
)

// MemberChange is an operation on the members. Its entry carries it as the context of raft's configuration change.
type MemberChange struct {
	Op         ChangeOp `json:"op"`
	Member     Member   `json:"member"`
	ReplacedID uint64   `json:"gone,omitempty"` // OpReplace: the voter that is removed
}

// appliedCheck returns a function that reports whether a list of members reflects the change, nil for an unknown
// operation.
func (c *MemberChange) appliedCheck() func([]Member) bool {
	isVoter := func(list []Member) bool {
		m := findMember(list, c.Member.ID)
		return m != nil && m.Voter
	}
	switch c.Op {
	case OpAdd:
		return func(list []Member) bool { return findMember(list, c.Member.ID) != nil }
	case OpPromote:
		return isVoter
	case OpRemove:
		return func(list []Member) bool { return findMember(list, c.Member.ID) == nil }
	case OpReplace:
		return func(list []Member) bool { return isVoter(list) && findMember(list, c.ReplacedID) == nil }
	}
	return nil
}

// findMember searches a list ordered by id.
func findMember(list []Member, id uint64) *Member {
	i := sort.Search(len(list), func(i int) bool { return list[i].ID >= id })
	if i < len(list) && list[i].ID == id {
		return &list[i]
	}
	return nil
}

// memberTable holds the group's members and those that were removed.
type memberTable struct {
	list    []Member // ordered by id
	removed []uint64 // ids, oldest first
}

func (t *memberTable) byID(id uint64) *Member { return findMember(t.list, id) }

func (t *memberTable) byName(name string) *Member {
	for i := range t.list {
		if t.list[i].Name == name {
			return &t.list[i]
		}
	}
	return nil
}

// check returns a *MemberChangeError if a change is not allowed. It depends on replicated state alone, so that all
// instances decide the same.
func (t *memberTable) check(c *MemberChange) error {
	member := t.byID(c.Member.ID)
	switch c.Op {
	case OpAdd:
		switch {
		case c.Member.ID == 0 || c.Member.Name == "":
			return newMemberChangeError(ErrIncompleteMember, "found id %x and name %q, expected both", c.Member.ID,
				c.Member.Name)
		case member != nil:
			return newMemberChangeError(ErrAlreadyMember, "instance %x is a member already", c.Member.ID)
		case t.byName(c.Member.Name) != nil:
			return newMemberChangeError(ErrNameTaken, "%q is instance %x already; remove that one first, or replace it",
				c.Member.Name, t.byName(c.Member.Name).ID)
		case t.wasRemoved(c.Member.ID):
			return newMemberChangeError(ErrMemberRemoved, "instance %x was removed; start it anew on an empty folder",
				c.Member.ID)
		case len(t.list) >= maxMembers:
			return newMemberChangeError(ErrTooManyMembers, "%d members, expected at most %d", len(t.list)+1, maxMembers)
		}
	case OpPromote:
		if member == nil || member.Voter {
			return newMemberChangeError(ErrNotLearner, "instance %x is no learner", c.Member.ID)
		}
	case OpRemove:
		if member == nil {
			return newMemberChangeError(ErrNotMember, "instance %x is no member", c.Member.ID)
		}
		if member.Voter && countVoters(t.list) == 1 {
			return newMemberChangeError(ErrOnlyVoter, "%q is the only voter", member.Name)
		}
	case OpReplace:
		replaced := t.byID(c.ReplacedID)
		if member == nil || member.Voter || replaced == nil || !replaced.Voter {
			return newMemberChangeError(ErrNotVoterAndLearner, "replacing %x by %x: expected a voter and a learner",
				c.ReplacedID, c.Member.ID)
		}
	default:
		return newMemberChangeError(ErrUnknownChange, "found %q, expected add, promote, remove or replace", c.Op)
	}
	return nil
}

// apply makes a change that check allowed. It copies the lists, as views share them.
func (t *memberTable) apply(c *MemberChange) {
	switch c.Op {
	case OpAdd:
		added := c.Member
		added.Voter = false
		t.list = append(append([]Member{}, t.list...), added)
		sort.Slice(t.list, func(i, k int) bool { return t.list[i].ID < t.list[k].ID })
	case OpPromote, OpReplace:
		t.list = append([]Member{}, t.list...)
		member := t.byID(c.Member.ID)
		member.Voter, member.Promote = true, false
		if c.Op == OpReplace {
			t.remove(c.ReplacedID)
		}
	case OpRemove:
		t.remove(c.Member.ID)
	}
}

func (t *memberTable) remove(id uint64) {
	var remaining []Member
	for _, m := range t.list {
		if m.ID != id {
			remaining = append(remaining, m)
		}
	}
	t.list = remaining
	t.removed = append(append([]uint64{}, t.removed...), id)
	if len(t.removed) > maxRemoved {
		t.removed = t.removed[1:]
	}
}

func (t *memberTable) wasRemoved(id uint64) bool {
	for _, removed := range t.removed {
		if removed == id {
			return true
		}
	}
	return false
}
