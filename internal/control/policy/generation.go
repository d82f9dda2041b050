package policy

// RestoredVersion is the policy version with which a restored group begins its next generation.
type RestoredVersion struct {
	Version uint64 // 0: no node served under a version
	Hash    string // of its text; empty: the text is lost
	Rules   Rules
	Proof   string // evidence for the version
}

// restoreAuthor is the author of the change recorded for a restored version.
const restoreAuthor = "recover"

// BeginGeneration makes the restored version the committed one, at the given group clock in ms, and ends the current
// change.
func (s *State) BeginGeneration(restored RestoredVersion, clockMS uint64) {
	s.endByRestore(restored, clockMS)
	if restored.Version == 0 {
		return
	}
	if restored.Hash == "" {
		// The text is lost, so no version is committed. Any proposal from the restored version on is accepted.
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

// endByRestore ends the current change: as settled if it was decided and its version is the restored one, as aborted
// otherwise.
func (s *State) endByRestore(restored RestoredVersion, clockMS uint64) {
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
