package consensus

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
)

// Clients decide by the status whether to retry. Each typed error, also wrapped, must have its status.
func TestStatusOfErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{ErrBusy, http.StatusServiceUnavailable},
		{fmt.Errorf("%w: another change may be under way", ErrTimeout), http.StatusServiceUnavailable},
		{errors.Join(nil, ErrStopped), http.StatusServiceUnavailable},
		{ErrNoLeader, http.StatusServiceUnavailable},
		{ErrFeatureLevel, http.StatusServiceUnavailable},
		{ErrBarred, http.StatusServiceUnavailable},
		{coordinator.ErrNotLeader, http.StatusServiceUnavailable},
		{raft.ErrProposalDropped, http.StatusServiceUnavailable},
		{ErrLogNearLimit, http.StatusInsufficientStorage},
		{fmt.Errorf("wrapped: %w", &RejectedError{"a reason"}), http.StatusConflict},
		{&LeaderUnreachableError{"10.0.0.1:7201", errors.New("refused")}, http.StatusServiceUnavailable},
		{errTooManyWatchers, http.StatusServiceUnavailable},
		{errUnauthorized, http.StatusUnauthorized},
		{errNoVersion, http.StatusNotFound},
		{&VersionNotFoundError{7, 1, 3}, http.StatusNotFound},
		{&VersionDroppedError{1, 3}, http.StatusGone},
		{errBodyTooLarge, http.StatusRequestEntityTooLarge},
		{&BodyError{Err: io.ErrUnexpectedEOF}, http.StatusBadRequest},
		{&UnknownNodeError{"n1"}, http.StatusBadRequest},
		{&MemberChangeError{Reason: ErrOnlyVoter}, http.StatusBadRequest},
		{errors.New("anything else"), http.StatusBadRequest},
	} {
		if got := statusOf(c.err); got != c.want {
			t.Errorf("statusOf(%v) = %d, want %d", c.err, got, c.want)
		}
	}
}

// Scripts and documentation quote these error texts, so they must not change.
func TestErrorTexts(t *testing.T) {
	v := &View{Status: Status{Version: 3}, FirstVersion: 2}
	for _, c := range []struct {
		err  error
		want string
	}{
		{(&Put{}).validate(), "session: found 0 bytes, expected 1 to 200"},
		{(&Put{Session: "s"}).validate(), "seq: found 0, expected 1 or more"},
		{(&Put{Session: "s", Seq: 1}).validate(), "author: found 0 bytes, expected 1 to 200"},
		{v.versionNotFound(7), "version 7, expected one from 2 to 3"},
		{(&View{}).versionNotFound(7), "there is no version yet"},
		{&VersionDroppedError{1, 2}, "from version 1, expected 2 or later: older ones are not kept"},
		{errTooManyWatchers, "257 watchers, expected at most 256"},
		{errBodyTooLarge, "more than 7340032 bytes"},
		{&BodyError{Err: io.ErrUnexpectedEOF}, "body: unexpected EOF"},
		{&BodyError{io.ErrUnexpectedEOF, "a put as JSON"}, "body: unexpected EOF, expected a put as JSON"},
		{&LeaderUnreachableError{"10.0.0.1:7201", errors.New("refused")}, "the leader at 10.0.0.1:7201: refused"},
		{&UnknownNodeError{"n1"}, `found no node "n1"`},
		{&CertificateExpiredError{"a.pem", time.Unix(0, 0).UTC()}, "certificate a.pem: ended on 1970-01-01 00:00:00"},
		{&FrameError{"of 0 bytes", "1 to 9"}, "a frame of 0 bytes, expected 1 to 9"},
		{&EntryTypeError{pb.EntryType_EntryConfChange},
			"of kind EntryConfChange, expected a put or a change of members"},
		{&LogEntryError{3, 4, nil}, "entry 3 of the log: found index 4 there"},
		{&LogEntryError{3, 0, io.ErrUnexpectedEOF}, "entry 3 of the log can't be decoded: unexpected EOF"},
		{&CompactedEntryError{3, 5}, "entry 3, expected one after 5"},
		{&PeerRefusedError{true, refusedRemoved}, "refused: it was removed from the group"},
		{&PeerRefusedError{false, refusedOldCopy}, "it was refused: its folder is an old copy, or is in use twice"},
		{&UnexpectedPeerError{1, 2}, "instance 1 answers, expected 2"},
	} {
		if c.err == nil || c.err.Error() != c.want {
			t.Errorf("error text = %v, want %s", c.err, c.want)
		}
	}
	var field *api.FieldError
	if err := (&Put{Session: "s"}).validate(); !errors.As(err, &field) || field.Field != "seq" {
		t.Errorf("validate() = %v, want an api.FieldError of seq", err)
	}
	var guard *UnknownGuardError
	if _, err := GuardNamed("lease"); !errors.As(err, &guard) || guard.Name != "lease" {
		t.Errorf("GuardNamed(\"lease\") = %v, want an UnknownGuardError of lease", err)
	}
}

// An instance of an older program must stop at an entry that it can not read, or its state would diverge.
func TestEntryOfNewerProgramIsRejected(t *testing.T) {
	m := newStateMachine("c", 0)
	for _, entry := range []string{`{"rules":9,"session":"s"}`, `{"kind":"level","body":9}`} {
		var newer *NewerProgramError
		if _, _, err := m.applyEntry([]byte(entry), 1, 1); !errors.As(err, &newer) {
			t.Errorf("applyEntry(%s) = %v, want a NewerProgramError", entry, err)
		}
	}
}

// Invalid log entries and frames must give typed errors: the first stop the instance, the second close the connection.
func TestInvalidInputErrors(t *testing.T) {
	m := newStateMachine("c", 0)
	for _, raw := range []string{"x", `{"seq":-1}`} {
		var entry *coordinator.EntryError
		if _, _, err := m.applyEntry([]byte(raw), 1, 1); !errors.As(err, &entry) {
			t.Errorf("applyEntry(%s) = %v, want an EntryError", raw, err)
		}
	}
	for _, raw := range []string{"\x00\x00\x00\x00\x00\x00\x00\x00", "\x02\x00\x00\x00\x00\x00\x00\x00ab"} {
		var frame *FrameError
		if _, _, err := readFrame(strings.NewReader(raw), 100); !errors.As(err, &frame) {
			t.Errorf("readFrame(%q) = %v, want a FrameError", raw, err)
		}
	}
}

// A truncated or invalid snapshot file must give a SnapshotError, which callers can tell from a disk error, and no
// state.
func TestDamagedSnapshotsAreRejected(t *testing.T) {
	for name, raw := range map[string]string{
		"empty":        "",
		"no header":    "{}",
		"wrong header": "[]\n{}",
		"cut state":    `{"meta":""}` + "\n" + `{"cluster":"c"`,
		"no versions":  `{"meta":""}` + "\n" + `{"cluster":"c","first":1,"versions":1}` + "\n",
		"newer level":  `{"meta":""}` + "\n" + `{"cluster":"c","first":1,"level":99}` + "\n",
	} {
		var damaged *SnapshotError
		if group, err := ReadSnapshot([]byte(raw)); group != nil || !errors.As(err, &damaged) {
			t.Errorf("%s: ReadSnapshot() = %v, %v, want a SnapshotError", name, group, err)
		}
	}
}
