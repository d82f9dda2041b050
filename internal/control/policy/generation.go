package policy

// Restored is the version that a restored group begins its next generation with.
type Restored struct {
	Version uint64 // 0: no node served under any
	Hash    string // of its text; empty: nobody has the text
	Rules   Rules
	Proof   string // how it is known
}

// restoredBy is the author of the change that stands for a restored version.
const restoredBy = "recover"

// BeginGeneration makes a restored version the committed one, without a change that led to it, at a group's time in
// ms. A change under way ends: whoever knew its outcome is gone.
func (s *State) BeginGeneration(found Restored, clockMS uint64) {
	s.endByRestore(found, clockMS)
	if found.Version == 0 {
		return
	}
	if found.Hash == "" {
		// Whatever is proposed next is newer than what was promised, and nothing is in force until then.
		s.DecidedVersion, s.CommittedVersion, s.CommittedHash, s.Rules = found.Version-1, 0, "", Rules{}
		return
	}
	s.LastNumber++
	s.DecidedVersion, s.CommittedVersion = found.Version, found.Version
	s.CommittedHash, s.Rules = found.Hash, found.Rules
	c := &Change{
		Number:          s.LastNumber,
		Version:         found.Version,
		PreviousVersion: found.Version,
		Hash:            found.Hash,
		Rules:           found.Rules,
		Step:            Settled,
		Proposal:        Proposal{Version: found.Version, Author: restoredBy, Reason: clip(found.Proof)},
		ProposedAtMS:    clockMS,
		DecidedAtMS:     clockMS,
		CommittedAtMS:   clockMS,
		EndedAtMS:       clockMS,
	}
	c.event(clockMS, "restored: %s", found.Proof)
	s.end(c)
}

// endByRestore ends the change under way: as settled if it was decided and nodes have its version, as aborted
// otherwise.
func (s *State) endByRestore(found Restored, clockMS uint64) {
	c := s.Current
	if c == nil {
		return
	}
	if c.Step != Preparing && c.Version == found.Version {
		c.Step = Settled
		c.event(clockMS, "the group was restored, and has this version: %s", found.Proof)
	} else {
		c.Step, c.AbortReason = Aborted, "the group was restored: "+clip(found.Proof)
		c.event(clockMS, "called off: %s", c.AbortReason)
	}
	c.EndedAtMS = clockMS
	s.end(c)
}
