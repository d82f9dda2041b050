package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// documentText returns a valid document that differs for each n.
func documentText(n int) string { return fmt.Sprintf("[tenant t]\nrate = %d\n", n) }

// putNext applies a put at the next index.
func putNext(m *StateMachine, session string, seq, base uint64, doc string) PutResult {
	m.applied++
	return m.applyPut(&Put{Session: session, Seq: seq, Base: base, Author: "x", Text: doc}, m.applied, 1)
}

// Each put must have one result, and a repeat must get the first one even after later puts.
func TestPutOutcomes(t *testing.T) {
	m := newStateMachine("c", 0)
	for _, s := range []struct {
		name      string
		session   string
		seq, base uint64
		doc       string
		outcome   PutOutcome
		version   uint64
		reason    string
	}{
		{"first", "a", 1, 0, documentText(1), PutCommitted, 1, ""},
		{"repeated", "a", 1, 0, documentText(1), PutCommitted, 1, ""},
		{"from an old base version", "b", 1, 0, documentText(2), PutConflict, 1, "made from version 0, expected 1"},
		{"repeated after later puts", "b", 1, 0, documentText(2), PutConflict, 1, ""},
		{"the same document with a comment", "b", 2, 1, "; remark\n" + documentText(1), PutUnchanged, 1, ""},
		{"invalid text", "b", 3, 1, "[tenant t]\nrat = 1\n", PutInvalid, 1, "document:2: tenant t.rat: found a key"},
		{"next", "a", 2, 1, documentText(3), PutCommitted, 2, ""},
		{"older than the session's last put", "a", 1, 2, documentText(4), PutExpired, 2, "put 1, expected 2 or later"},
		{"unknown session", "c", 2, 2, documentText(4), PutExpired, 2, "not known any more"},
	} {
		result := putNext(m, s.session, s.seq, s.base, s.doc)
		if result.Outcome != s.outcome || result.Version != s.version || !strings.Contains(result.Reason, s.reason) {
			t.Errorf("%s: put = %+v, want %s at version %d with reason %q", s.name, result, s.outcome, s.version,
				s.reason)
		}
	}
}

// A document that breaks guarantees of requests in flight must be rejected.
func TestIncompatibleDocumentIsRejected(t *testing.T) {
	m := newStateMachine("c", 0)
	putNext(m, "a", 1, 0, "[class s]\nkind = uniqued\nwindow = 20s\n")
	result := putNext(m, "a", 2, 1, "[class s]\nkind = uniqued\nwindow = 10s\n")
	if result.Outcome != PutInvalid || m.Last() != 1 {
		t.Fatalf("put of a smaller window = %+v at version %d, want %s at version 1", result, m.Last(), PutInvalid)
	}
}

// A state machine restored from a snapshot must give the same results as one that applied all entries, or instances
// would diverge.
func TestSnapshotRestoresSameState(t *testing.T) {
	m := newStateMachine("c", 0)
	m.members.list = []Member{{ID: 7, Name: "a", Voter: true}}
	m.members.removed = []uint64{3}
	for i := 0; i < 50; i++ {
		putNext(m, fmt.Sprint("s", i%9), uint64(1+i/9), m.Last(), documentText(i))
	}
	parts, err := m.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	raw := bytes.Join(parts, nil)
	restored, err := restoreStateMachine(raw, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < 40; i++ {
		s, seq, base := fmt.Sprint("s", i%12), uint64(1+i/9), m.Last()-uint64(i%2)
		doc := documentText(100 + i)
		if a, b := putNext(m, s, seq, base, doc), putNext(restored, s, seq, base, doc); a != b {
			t.Fatalf("put %d = %+v, and %+v after the restore, want equal results", i, a, b)
		}
	}
	a, _ := m.snapshot()
	b, _ := restored.snapshot()
	if !bytes.Equal(bytes.Join(a, nil), bytes.Join(b, nil)) {
		t.Fatal("snapshots after the same puts differ, want equal ones")
	}
	for cut := 0; cut < len(raw)-1; cut += 37 { // a truncated state must be rejected
		if got, err := restoreStateMachine(raw[:cut], 0); err == nil && got.Last() == 50 {
			t.Fatalf("restore of a state truncated at byte %d of %d succeeded, want an error", cut, len(raw))
		}
	}
}

// The reason for a document with many errors is stored with the session and must be truncated at a line.
func TestReasonIsTruncated(t *testing.T) {
	m := newStateMachine("c", 0)
	result := putNext(m, "a", 1, 0, "[tenant t]\n"+strings.Repeat("nonsense\n", 50000))
	if result.Outcome != PutInvalid || len(result.Reason) > maxReasonBytes+40 ||
		!strings.HasSuffix(result.Reason, " more lines") ||
		!strings.HasPrefix(result.Reason, "document:2: line: found") {
		t.Fatalf("put = %s with %d bytes of reason %.60q ... %.60q, want %s with at most %d bytes of whole lines",
			result.Outcome, len(result.Reason), result.Reason, result.Reason[max(0, len(result.Reason)-60):],
			PutInvalid, maxReasonBytes+40)
	}
}

// The oldest sessions and versions must be dropped, and a repeated put of a dropped session must not be committed
// again.
func TestSessionsAndVersionsAreBounded(t *testing.T) {
	m := newStateMachine("c", 0)
	for i := 0; i < maxSessions+10; i++ {
		putNext(m, fmt.Sprint("s", i), 1, m.Last(), documentText(i))
	}
	if len(m.sessions.byName) != maxSessions || m.sessions.byLastUse.Len() != maxSessions {
		t.Fatalf("sessions = %d by name, %d by use, want %d", len(m.sessions.byName), m.sessions.byLastUse.Len(),
			maxSessions)
	}
	if result := putNext(m, "s0", 1, 0, documentText(0)); result.Outcome != PutConflict {
		t.Fatalf("repeated put of a dropped session = %+v, want %s", result, PutConflict)
	}
	m.versions.bytes = maxVersionBytes + 1 // as if the texts were large
	first := m.versions.first
	putNext(m, "large", 1, m.Last(), documentText(-1+1<<20))
	if m.versions.first <= first || m.versions.first > m.Last() || len(m.versions.lines) == 0 {
		t.Fatalf("versions %d to %d are held, want at least one, none before %d", m.versions.first, m.Last(), first+1)
	}
}

// Changes of members that would leave no voter, reuse a name or add a removed instance again must be rejected.
func TestMemberChangeValidation(t *testing.T) {
	m := newStateMachine("c", 0)
	m.members.list = []Member{{ID: 5, Name: "a", Voter: true}}
	change := func(c MemberChange, reason error, text string) {
		t.Helper()
		err := m.members.check(&c)
		if !errors.Is(err, reason) || err != nil && !strings.Contains(err.Error(), text) {
			t.Fatalf("check(%+v) = %v, want %v with %q", c, err, reason, text)
		}
		if err == nil {
			m.members.apply(&c)
		}
	}
	change(MemberChange{Op: "remove", Member: Member{ID: 5}}, ErrOnlyVoter, "the only voter")
	change(MemberChange{Op: "add", Member: Member{ID: 9, Name: "a"}}, ErrNameTaken, `"a" is instance 5 already`)
	change(MemberChange{Op: "add", Member: Member{ID: 9, Name: "b", Voter: true}}, nil, "")
	if m.members.byID(9).Voter {
		t.Fatal("added instance is a voter, want a learner")
	}
	change(MemberChange{Op: "add", Member: Member{ID: 9, Name: "c"}}, ErrAlreadyMember, "a member already")
	change(MemberChange{Op: "replace", Member: Member{ID: 5}, ReplacedID: 9}, ErrNotVoterAndLearner,
		"expected a voter and a learner")
	change(MemberChange{Op: "replace", Member: Member{ID: 9}, ReplacedID: 5}, nil, "")
	if len(m.members.list) != 1 || !m.members.list[0].Voter || m.members.list[0].ID != 9 {
		t.Fatalf("members = %+v, want only 9, as a voter", m.members.list)
	}
	change(MemberChange{Op: "add", Member: Member{ID: 5, Name: "a"}}, ErrMemberRemoved, "was removed")
	change(MemberChange{Op: "remove", Member: Member{ID: 6}}, ErrNotMember, "instance 6 is no member")
	change(MemberChange{Op: "add", Member: Member{ID: 6}}, ErrIncompleteMember, `found id 6 and name ""`)
	change(MemberChange{Op: "promote", Member: Member{ID: 9}}, ErrNotLearner, "no learner")
	change(MemberChange{Op: "fly", Member: Member{ID: 9}}, ErrUnknownChange, `found "fly"`)
	for i := uint64(0); i < maxMembers-1; i++ {
		change(MemberChange{Op: "add", Member: Member{ID: 100 + i, Name: fmt.Sprint(i)}}, nil, "")
	}
	change(MemberChange{Op: "add", Member: Member{ID: 99, Name: "x"}}, ErrTooManyMembers, "expected at most")
}

// Peers on old copies of their folders, removed ones and those of another cluster must be refused, and all others
// accepted.
func TestHandshakeDecisions(t *testing.T) {
	newRegistry := func() *PeerRegistry {
		return &PeerRegistry{self: Identity{Cluster: "c", ID: 1}, lastStarts: map[uint64]peerStart{2: {5, 50}},
			progress:   map[uint64]peerProgress{2: {term: 4, lastIndex: 30}},
			removed:    func(id uint64) bool { return id == 3 },
			groupLevel: func() int { return LevelVersions }, peerLevels: map[uint64]int{}}
	}
	hello := func(cluster string, id, starts, nonce, term, last, to uint64) Hello {
		return Hello{Identity: Identity{Cluster: cluster, ID: id, Starts: starts, Nonce: nonce}, Term: term,
			LastIndex: last,
			To:        to}
	}
	for _, c := range []struct {
		name    string
		h       Hello
		reason  string
		changed bool
		waiting bool
	}{
		{"same run", hello("c", 2, 5, 50, 4, 30, 1), "", false, false},
		{"later run", hello("c", 2, 6, 60, 4, 30, 1), "", true, false},
		{"copy of an earlier run", hello("c", 2, 4, 60, 4, 30, 1), refusedOldCopy, false, false},
		{"folder in use twice", hello("c", 2, 5, 51, 4, 30, 1), refusedOldCopy, false, false},
		{"copy of the same run: older term", hello("c", 2, 6, 60, 3, 30, 1), refusedOldCopy, false, false},
		{"copy of the same run: shorter log", hello("c", 2, 6, 60, 4, 29, 1), refusedOldCopy, false, false},
		{"later term, with uncommitted entries truncated", hello("c", 2, 6, 60, 5, 20, 1), "", true, false},
		{"removed", hello("c", 3, 1, 1, 9, 9, 1), refusedRemoved, false, false},
		{"older program", func() Hello {
			h := hello("c", 2, 9, 9, 9, 9, 1)
			h.Level = LevelVersions
			return h
		}(), "", true, false},
		{"another cluster", hello("d", 2, 9, 9, 9, 9, 1), refusedOtherCluster, false, false},
		{"meant for another instance", hello("c", 2, 9, 9, 9, 9, 7), refusedWrongInstance, false, false},
		{"itself", hello("c", 1, 9, 9, 9, 9, 1), refusedWrongInstance, false, false},
		{"waiting to be added to a group", hello("", 8, 1, 1, 0, 0, 0), "", false, false},
		{"added to a group", hello("c", 2, 9, 9, 9, 9, 1), "", true, true},
		{"hello to a waiting instance without its id", hello("c", 2, 9, 9, 9, 9, 0), refusedOtherCluster, false, true},
	} {
		registry := newRegistry()
		if c.waiting {
			registry.self.Cluster = ""
		}
		reason, changed := registry.Handshake(c.h)
		if reason != c.reason || changed != c.changed {
			t.Errorf("%s: Handshake() = %q, %v, want %q, %v", c.name, reason, changed, c.reason, c.changed)
		}
	}
	registry := newRegistry()
	registry.RecordProgress(2, 4, 35)
	registry.RecordProgress(2, 3, 99) // delayed message of an earlier term
	if registry.progress[2] != (peerProgress{4, 35}) {
		t.Fatalf("progress of peer 2 = %+v, want term 4, index 35", registry.progress[2])
	}
}
