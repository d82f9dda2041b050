package policy

// State is what all instances know of changes of the policy. The zero value is one without a policy.
type State struct {
	LastNumber       uint64    `json:"number"` // of the newest change
	DecidedVersion   uint64    `json:"need"`   // no lease is extended that promises an older version
	CommittedVersion uint64    `json:"force"`  // the newest that may be served under
	CommittedHash    string    `json:"hash"`   // of its text
	Rules            Rules     `json:"rules"`  // of the committed version
	Current          *Change   `json:"now,omitempty"`
	History          []*Change `json:"past,omitempty"` // ended changes, the oldest first
}

// Versions is what a proposal is checked against: the versions that the group keeps.
type Versions interface {
	// Last is the newest version's number, 0 before the first.
	Last() uint64
	// Check gives a version's rules and the hash of its text, or an error that says why it may not come after version
	// from.
	Check(version, from uint64) (Rules, string, error)
}

// Find gives a change by its number, nil if it is not known or not kept any more.
func (s *State) Find(number uint64) *Change {
	return s.find(func(c *Change) bool { return c.Number == number })
}

func (s *State) find(match func(*Change) bool) *Change {
	if s.Current != nil && match(s.Current) {
		return s.Current
	}
	for _, c := range s.History {
		if match(c) {
			return c
		}
	}
	return nil
}

// endCurrent moves a change to the history, which drops the oldest one past its bound.
func (s *State) endCurrent(c *Change) {
	s.History = append(s.History, c)
	if len(s.History) > maxHistory {
		s.History = s.History[1:]
	}
	s.Current = nil
}
