package consensus

import (
	"encoding/json"
	"fmt"
)

// Identity is who an instance is. Id and cluster are made once and kept in its log; the starts are counted
// there, so that a copy of the folder shows.
type Identity struct {
	Cluster string `json:"cluster"` // empty until it was taken into a group
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Starts  uint64 `json:"starts"`
	Nonce   uint64 `json:"nonce"`            // drawn at each start
	Barred  string `json:"barred,omitempty"` // why it may take no part any more
}

// Hello opens a connection in either direction.
type Hello struct {
	Identity
	Peer string `json:"peer"` // where it is reached, for one that does not know the members yet
	Term uint64 `json:"term"` // as its log has it
	Last uint64 `json:"last"` // entry of its log
	To   uint64 `json:"to"`   // who it is meant for, 0 where the opener does not know
	Bulk bool   `json:"bulk,omitempty"`
	// Level is what its program knows; one from before there were levels says nothing.
	Level int `json:"level,omitempty"`
}

// Reasons to refuse a hello. Those about the other itself end its part in the group.
const (
	otherCluster = "it is of another cluster"
	forAnother   = "it is meant for another instance"
	removedOnce  = "it was removed from the group"
	oldCopy      = "its folder is an old copy, or is in use twice"
	itIsBarred   = "it takes no part any more"
	olderProgram = "its program is older than what the group's log holds"
)

// Ends tells whether a refusal means that whoever was refused must take no further part.
func Ends(reason string) bool { return reason == removedOnce || reason == oldCopy }

// Acquaintance decides whom an instance speaks with, and finds out old copies of a folder by two things that
// never go back: how often the other has started, kept durable, so that a copy from an earlier life shows for
// good; and what it said it holds, kept in memory, so that one from the same life shows to whoever was up
// since. It does no I/O; whoever asks it makes durable what it learnt before answering the other.
type Acquaintance struct {
	without Guard
	own     Identity
	seen    map[uint64]start
	said    map[uint64]saying
	removed func(id uint64) bool
	level   func() int     // the group's
	levels  map[uint64]int // what others said they know, in this life
}

// saying is the highest term another spoke in, and the last entry it said in that term to hold like its
// leader. Both are on its disk before it says so. Within a term an entry held like the leader's is never
// dropped, so neither goes back; entries of an earlier term may.
type saying struct{ term, last uint64 }

// Heard takes note of what another said.
func (a *Acquaintance) Heard(id, term, holds uint64) {
	s, known := a.said[id]
	if !known && len(a.said) >= maxSeen || term < s.term {
		return
	}
	if term > s.term {
		s = saying{term: term}
	}
	s.last = max(s.last, holds)
	a.said[id] = s
}

type start struct {
	Starts uint64 `json:"starts"`
	Nonce  uint64 `json:"nonce"`
}

// maxSeen bounds the table; only members, past or present, get into it, and each takes a change by an
// operator.
const maxSeen = 1024

// Meet judges a hello. learnt tells that own or seen changed and has to be kept before an answer goes out.
func (a *Acquaintance) Meet(h Hello) (reason string, learnt bool) {
	switch {
	case h.ID == 0 || h.ID == a.own.ID || h.To != 0 && h.To != a.own.ID:
		return forAnother, false
	case h.Cluster != "" && a.own.Cluster != "" && h.Cluster != a.own.Cluster:
		return otherCluster, false
	case a.own.Cluster == "" && (h.Cluster == "" || h.To != a.own.ID):
		return otherCluster, false // one that waits is taken in by whoever knows its id, and by nobody else
	case max(h.Level, LevelVersions) < a.level():
		return olderProgram, false
	}
	if len(a.levels) < maxSeen || a.levels[h.ID] > 0 {
		a.levels[h.ID] = max(h.Level, LevelVersions)
	}
	if a.own.Cluster == "" {
		a.own.Cluster, learnt = h.Cluster, true
	}
	switch {
	case a.without.Has(MemberIdentity) || h.Cluster == "":
		return "", learnt // one that is not of a group yet has nothing that an old copy could lack
	case h.Barred != "":
		return itIsBarred, learnt
	case a.removed(h.ID):
		return removedOnce, learnt
	}
	was, known := a.seen[h.ID]
	if known && (h.Starts < was.Starts || h.Starts == was.Starts && h.Nonce != was.Nonce) {
		return oldCopy, learnt
	}
	if s := a.said[h.ID]; h.Term < s.term || h.Term == s.term && h.Last < s.last {
		return oldCopy, learnt
	}
	if !known && len(a.seen) >= maxSeen {
		return fmt.Sprintf("%d instances were met, expected at most %d", len(a.seen)+1, maxSeen), learnt
	}
	if !known || h.Starts > was.Starts {
		a.seen[h.ID], learnt = start{h.Starts, h.Nonce}, true
	}
	return "", learnt
}

// marks gives what has to be kept of it.
func (a *Acquaintance) marks() (own, seen []byte, err error) {
	if own, err = json.Marshal(a.own); err != nil {
		return nil, nil, err
	}
	seen, err = json.Marshal(a.seen)
	return own, seen, err
}

func readAcquaintance(own, seen []byte) (*Acquaintance, error) {
	a := &Acquaintance{seen: map[uint64]start{}, said: map[uint64]saying{}, levels: map[uint64]int{},
		level: func() int { return LevelVersions }}
	if err := json.Unmarshal(own, &a.own); err != nil {
		return nil, fmt.Errorf("this instance's identity: %w", err)
	}
	if seen != nil {
		if err := json.Unmarshal(seen, &a.seen); err != nil {
			return nil, fmt.Errorf("the instances met: %w", err)
		}
	}
	return a, nil
}
