package consensus

import (
	"fmt"
	"sort"
)

// Member is an instance as the group knows it.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Peer    string `json:"peer"`
	Listen  string `json:"listen"`
	Voter   bool   `json:"voter"`
	Promote bool   `json:"promote"` // becomes a voter once it has caught up
}

// Change is what a change of members carries beside what raft needs of it.
type Change struct {
	Op         string `json:"op"` // add, promote, remove, replace
	Member     Member `json:"member"`
	ReplacedID uint64 `json:"gone,omitempty"` // replace: who leaves as the member becomes a voter
}

func (m *StateMachine) member(id uint64) *Member {
	i := sort.Search(len(m.members), func(i int) bool { return m.members[i].ID >= id })
	if i < len(m.members) && m.members[i].ID == id {
		return &m.members[i]
	}
	return nil
}

func (m *StateMachine) memberByName(name string) *Member {
	for i := range m.members {
		if m.members[i].Name == name {
			return &m.members[i]
		}
	}
	return nil
}

func (m *StateMachine) voters() int {
	n := 0
	for _, o := range m.members {
		if o.Voter {
			n++
		}
	}
	return n
}

// may says why a change of members can't be made, by the state alone, so that all instances find the same.
func (m *StateMachine) checkChange(c *Change) error {
	at := m.member(c.Member.ID)
	switch c.Op {
	case "add":
		switch {
		case c.Member.ID == 0 || c.Member.Name == "":
			return fmt.Errorf("found id %x and name %q, expected both", c.Member.ID, c.Member.Name)
		case at != nil:
			return fmt.Errorf("instance %x is a member already", c.Member.ID)
		case m.memberByName(c.Member.Name) != nil:
			return fmt.Errorf("%q is instance %x already; remove that one first, or replace it", c.Member.Name,
				m.memberByName(c.Member.Name).ID)
		case m.wasRemoved(c.Member.ID):
			return fmt.Errorf("instance %x was removed; start it anew on an empty folder", c.Member.ID)
		case len(m.members) >= maxMembers:
			return fmt.Errorf("%d members, expected at most %d", len(m.members)+1, maxMembers)
		}
	case "promote":
		if at == nil || at.Voter {
			return fmt.Errorf("instance %x is no learner", c.Member.ID)
		}
	case "remove":
		if at == nil {
			return fmt.Errorf("instance %x is no member", c.Member.ID)
		}
		if at.Voter && m.voters() == 1 {
			return fmt.Errorf("%q is the only voter", at.Name)
		}
	case "replace":
		gone := m.member(c.ReplacedID)
		if at == nil || at.Voter || gone == nil || !gone.Voter {
			return fmt.Errorf("replacing %x by %x: expected a voter and a learner", c.ReplacedID, c.Member.ID)
		}
	default:
		return fmt.Errorf("found %q, expected add, promote, remove or replace", c.Op)
	}
	return nil
}

// change carries out what may said yes to.
func (m *StateMachine) applyChange(c *Change) {
	switch c.Op {
	case "add":
		n := c.Member
		n.Voter = false
		m.members = append(append([]Member{}, m.members...), n)
		sort.Slice(m.members, func(i, k int) bool { return m.members[i].ID < m.members[k].ID })
	case "promote", "replace":
		m.members = append([]Member{}, m.members...)
		at := m.member(c.Member.ID)
		at.Voter, at.Promote = true, false
		if c.Op == "replace" {
			m.drop(c.ReplacedID)
		}
	case "remove":
		m.drop(c.Member.ID)
	}
}

func (m *StateMachine) drop(id uint64) {
	var kept []Member
	for _, o := range m.members {
		if o.ID != id {
			kept = append(kept, o)
		}
	}
	m.members = kept
	m.removed = append(append([]uint64{}, m.removed...), id)
	if len(m.removed) > maxRemoved {
		m.removed = m.removed[1:]
	}
}

func (m *StateMachine) wasRemoved(id uint64) bool {
	for _, o := range m.removed {
		if o == id {
			return true
		}
	}
	return false
}
