package policy

// State is the replicated state of policy changes. The zero value has no policy. A version numbers one text: the
// configuration document that contains the policy.
type State struct {
	LastNumber       uint64    `json:"number"` // of the newest change
	DecidedVersion   uint64    `json:"need"`   // a lease is extended only with a promise of this version
	CommittedVersion uint64    `json:"force"`  // newest version that nodes may serve under
	CommittedHash    string    `json:"hash"`   // of its text
	Rules            Rules     `json:"rules"`  // of the committed version
	Current          *Change   `json:"now,omitempty"`
	History          []*Change `json:"past,omitempty"` // ended changes, oldest first
}

// Versions gives access to the stored versions, for checking a proposal.
type Versions interface {
	// Last returns the newest version's number, 0 if there is none.
	Last() uint64
	// Check returns a version's rules and the hash of its text, or why the version may not follow version from.
	Check(version, from uint64) (Rules, string, error)
}

// Find returns the change with a number, or nil if it is unknown or no longer kept.
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

// endCurrent moves the current change to the history, which drops its oldest entry beyond maxHistory.
func (s *State) endCurrent(c *Change) {
	s.History = append(s.History, c)
	if len(s.History) > maxHistory {
		s.History = s.History[1:]
	}
	s.Current = nil
}
