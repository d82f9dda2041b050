package policy

// Restored is the version that a restored group begins its next generation with.
type Restored struct {
	Version uint64 // 0: no node served under any
	Hash    string // of its text; empty: nobody has the text
	Rules   Rules
	Proof   string // how it is known
}

// restoreAuthor is the author of the change that stands for a restored version.
const restoreAuthor = "recover"

// BeginGeneration makes a restored version the committed one, without a change that led to it, at a group's time in
// ms. A change under way ends: whoever knew its outcome is gone.
func (s *State) BeginGeneration(restored Restored, clockMS uint64) {
	s.endByRestore(restored, clockMS)
	if restored.Version == 0 {
		return
	}
	if restored.Hash == "" {
		// Whatever is proposed next is newer than what was promised, and nothing is in force until then.
		s.DecidedVersion, s.CommittedVersion, s.CommittedHash, s.Rules = restored.Version-1, 0, "", Rules{}
		return
	}
	s.LastNumber++
	s.DecidedVersion, s.CommittedVersion = restored.Version, restored.Version
	s.CommittedHash, s.Rules = restored.Hash, restored.Rules
	c := &Change{
		Number:          s.LastNumber,
		Version:         restored.Version,
		PreviousVersion: restored.Version,
		Hash:            restored.Hash,
		Rules:           restored.Rules,
		Step:            Settled,
		Proposal:        Proposal{Version: restored.Version, Author: restoreAuthor, Reason: truncate(restored.Proof)},
		ProposedAtMS:    clockMS,
		DecidedAtMS:     clockMS,
		CommittedAtMS:   clockMS,
		EndedAtMS:       clockMS,
	}
	c.addEvent(clockMS, "restored: %s", restored.Proof)
	s.endCurrent(c)
}

// endByRestore ends the change under way: as settled if it was decided and nodes have its version, as aborted
// otherwise.
func (s *State) endByRestore(restored Restored, clockMS uint64) {
	c := s.Current
	if c == nil {
		return
	}
	if c.Step != Preparing && c.Version == restored.Version {
		c.Step = Settled
		c.addEvent(clockMS, "the group was restored, and has this version: %s", restored.Proof)
	} else {
		c.Step, c.AbortReason = Aborted, "the group was restored: "+truncate(restored.Proof)
		c.addEvent(clockMS, "called off: %s", c.AbortReason)
	}
	c.EndedAtMS = clockMS
	s.endCurrent(c)
}
