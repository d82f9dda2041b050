package simulation

import (
	"bytes"
	"fmt"
	"hash/crc32"

	"umberwinch/internal/control/consensus"
)

// recordLog notes what a host's log holds on disk.
func (w *ConsensusGroup) recordLog(h *host) {
	if h.replica == nil {
		return
	}
	first, last := h.replica.LogBounds()
	h.snapshotIndex = first - 1
	from := first
	if h.checkedIndex > from {
		from = h.checkedIndex
	}
	for i := from; i <= last; i++ {
		term, data := h.replica.EntryAt(i)
		h.durableTerms[i] = term
		sum := crc32.ChecksumIEEE(data)
		if was, ok := w.checksums[logPosition{i, term}]; ok && was != sum {
			w.fail("log matching: entry %d of term %d has two contents", i, term)
		}
		w.checksums[logPosition{i, term}] = sum
	}
	for i := last + 1; h.durableTerms[i] > 0; i++ {
		delete(h.durableTerms, i)
	}
}

func (h *host) holds(s logPosition) bool {
	return s.index <= h.snapshotIndex || h.durableTerms[s.index] == s.term
}

// checkInvariants holds a host's state against all that was seen before.
func (w *ConsensusGroup) checkInvariants(h *host) {
	s := h.replica.Status()
	w.recordLog(h)
	if s.Role == "leader" {
		if who, ok := w.leaders[s.Term]; ok && who != h.id {
			w.fail("two leaders in term %d: %x and %x", s.Term, who, h.id)
		} else if !ok {
			w.leaders[s.Term] = h.id
			w.tracef("host %d leads term %d", h.number, s.Term)
			for i := s.FirstIndex; i <= s.LastIndex || w.committed[i] > 0; i++ {
				if term := w.committed[i]; w.appliedInTerm[i] < s.Term && term > 0 && !h.holds(logPosition{i, term}) {
					w.fail("leader completeness: host %d leads term %d without entry %d of term %d", h.number, s.Term, i,
						term)
				}
			}
		}
	}
	if s.Applied == h.checkedIndex {
		return
	}
	for i := max(h.checkedIndex+1, s.FirstIndex); i <= min(s.Applied, s.LastIndex); i++ {
		term, _ := h.replica.EntryAt(i)
		if was, ok := w.committed[i]; ok && was != term {
			w.fail("state machine safety: entry %d was applied with term %d and with %d", i, was, term)
		}
		w.committed[i] = term
		if w.appliedInTerm[i] == 0 {
			w.appliedInTerm[i] = s.Term
		}
	}
	h.checkedIndex = s.Applied
	w.checkState(h, s)
}

func (w *ConsensusGroup) checkState(h *host, s consensus.Status) {
	lines, first := h.replica.Versions()
	now, outgoing := h.replica.Voters()
	last := ""
	if len(lines) > 0 {
		last = string(lines[len(lines)-1])
	}
	picture := fmt.Sprint(s.Version, last, h.replica.Members(), now, outgoing)
	if was, ok := w.stateAtIndex[s.Applied]; ok && was != picture {
		w.fail("two states after entry %d:\n%s\n%s", s.Applied, was, picture)
	}
	w.stateAtIndex[s.Applied] = picture
	for _, c := range [][]uint64{now, outgoing} {
		if len(c) > 0 && (len(w.voterSets) == 0 || fmt.Sprint(w.voterSets[len(w.voterSets)-1]) != fmt.Sprint(c)) {
			w.voterSets = append(w.voterSets, append([]uint64{}, c...))
		}
	}
	for n := max(h.checkedVersion+1, first); n <= s.Version; n++ {
		v, err := consensus.ReadVersion(lines[n-first])
		if err != nil || v.Number != n {
			w.fail("version %d reads as %v (%v)", n, v, err)
			return
		}
		if n > w.newestVersion && !w.heldByMajority(logPosition{v.Index, v.Term}) {
			w.fail("host %d applied version %d of entry %d, term %d, which no majority held", h.number, n, v.Index, v.Term)
		}
	}
	w.newestVersion = max(w.newestVersion, s.Version)
	if s.Version < h.checkedVersion {
		w.fail("host %d went back from version %d to %d", h.number, h.checkedVersion, s.Version)
	}
	h.checkedVersion = s.Version
}

// heldByMajority tells whether one of the latest sets of voters held an entry by more than half.
func (w *ConsensusGroup) heldByMajority(s logPosition) bool {
	for k := len(w.voterSets) - 1; k >= max(0, len(w.voterSets)-4); k-- {
		n := 0
		for _, id := range w.voterSets[k] {
			if w.holds(id, s) {
				n++
			}
		}
		if n > len(w.voterSets[k])/2 {
			return true
		}
	}
	return false
}

// holds tells whether an instance holds an entry, or held it on a disk that was lost since.
func (w *ConsensusGroup) holds(id uint64, s logPosition) bool {
	for _, h := range w.hosts {
		if h.id == id && h.holds(s) {
			return true
		}
	}
	return w.lostEntries[id][s]
}

// converged tells whether all that take part have the same versions.
func (w *ConsensusGroup) converged() bool {
	var want []byte
	for i, h := range w.memberHosts() {
		if h.replica == nil {
			return false
		}
		lines, first := h.replica.Versions()
		got := append([]byte(fmt.Sprint(first)), bytes.Join(lines, nil)...)
		if i > 0 && !bytes.Equal(got, want) {
			return false
		}
		want = got
	}
	return true
}
