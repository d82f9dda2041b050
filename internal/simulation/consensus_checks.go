package simulation

import (
	"bytes"
	"fmt"
	"hash/crc32"

	"umberwinch/internal/control/consensus"
)

// recordLog records the terms of the entries in a host's log on disk, and checks that entries of the same index and
// term have the same content on all hosts.
func (g *ConsensusGroup) recordLog(h *host) {
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
		if previous, ok := g.checksums[logPosition{i, term}]; ok && previous != sum {
			g.fail("log matching: entry %d of term %d has two contents", i, term)
		}
		g.checksums[logPosition{i, term}] = sum
	}
	for i := last + 1; h.durableTerms[i] > 0; i++ {
		delete(h.durableTerms, i)
	}
}

func (h *host) holds(s logPosition) bool {
	return s.index <= h.snapshotIndex || h.durableTerms[s.index] == s.term
}

// checkInvariants checks election safety, leader completeness and state machine safety of a host's state against
// everything observed earlier.
func (g *ConsensusGroup) checkInvariants(h *host) {
	s := h.replica.Status()
	g.recordLog(h)
	if s.Role == "leader" {
		if known, ok := g.leaders[s.Term]; ok && known != h.id {
			g.fail("election safety: term %d has two leaders, %x and %x", s.Term, known, h.id)
		} else if !ok {
			g.leaders[s.Term] = h.id
			g.tracef("host %d leads term %d", h.number, s.Term)
			for i := s.FirstIndex; i <= s.LastIndex || g.committed[i] > 0; i++ {
				if term := g.committed[i]; g.appliedInTerm[i] < s.Term && term > 0 && !h.holds(logPosition{i, term}) {
					g.fail("leader completeness: host %d leads term %d without entry %d of term %d", h.number, s.Term,
						i, term)
				}
			}
		}
	}
	if s.Applied == h.checkedIndex {
		return
	}
	for i := max(h.checkedIndex+1, s.FirstIndex); i <= min(s.Applied, s.LastIndex); i++ {
		term, _ := h.replica.EntryAt(i)
		if previous, ok := g.committed[i]; ok && previous != term {
			g.fail("state machine safety: entry %d was applied with term %d and with %d", i, previous, term)
		}
		g.committed[i] = term
		if g.appliedInTerm[i] == 0 {
			g.appliedInTerm[i] = s.Term
		}
	}
	h.checkedIndex = s.Applied
	g.checkState(h, s)
}

// checkState checks that all hosts have the same state at an applied index, that a newly applied version is held by a
// majority, and that versions don't decrease.
func (g *ConsensusGroup) checkState(h *host, s consensus.Status) {
	lines, first := h.replica.Versions()
	now, outgoing := h.replica.Voters()
	last := ""
	if len(lines) > 0 {
		last = string(lines[len(lines)-1])
	}
	state := fmt.Sprint(s.Version, last, h.replica.Members(), now, outgoing)
	if previous, ok := g.stateAtIndex[s.Applied]; ok && previous != state {
		g.fail("state machine safety: two states after entry %d:\n%s\n%s", s.Applied, previous, state)
	}
	g.stateAtIndex[s.Applied] = state
	for _, c := range [][]uint64{now, outgoing} {
		if len(c) > 0 && (len(g.voterSets) == 0 || fmt.Sprint(g.voterSets[len(g.voterSets)-1]) != fmt.Sprint(c)) {
			g.voterSets = append(g.voterSets, append([]uint64{}, c...))
		}
	}
	for n := max(h.checkedVersion+1, first); n <= s.Version; n++ {
		v, err := consensus.ReadVersion(lines[n-first])
		if err != nil || v.Number != n {
			g.fail("version %d of the log decodes as %v, error %v", n, v, err)
			return
		}
		if n > g.newestVersion && !g.heldByMajority(logPosition{v.Index, v.Term}) {
			g.fail("host %d applied version %d (entry %d, term %d), which no majority holds",
				h.number, n, v.Index, v.Term)
		}
	}
	g.newestVersion = max(g.newestVersion, s.Version)
	if s.Version < h.checkedVersion {
		g.fail("host %d: version decreased from %d to %d", h.number, h.checkedVersion, s.Version)
	}
	h.checkedVersion = s.Version
}

// heldByMajority reports whether a majority of any of the last four voter sets holds an entry.
func (g *ConsensusGroup) heldByMajority(s logPosition) bool {
	for k := len(g.voterSets) - 1; k >= max(0, len(g.voterSets)-4); k-- {
		n := 0
		for _, id := range g.voterSets[k] {
			if g.holds(id, s) {
				n++
			}
		}
		if n > len(g.voterSets[k])/2 {
			return true
		}
	}
	return false
}

// holds reports whether an instance holds an entry, or held it on a disk that has been lost.
func (g *ConsensusGroup) holds(id uint64, p logPosition) bool {
	for _, h := range g.hosts {
		if h.id == id && h.holds(p) {
			return true
		}
	}
	return g.lostEntries[id][p]
}

// converged reports whether all members are running and have the same versions.
func (g *ConsensusGroup) converged() bool {
	var want []byte
	for i, h := range g.memberHosts() {
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
