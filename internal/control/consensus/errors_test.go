package consensus

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"go.etcd.io/raft/v3"

	"umberwinch/internal/control/coordinator"
)

// A client decides by the status whether to ask again. Each typed error, wrapped too, must have the status it stands for.
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
		{errors.New("anything else"), http.StatusBadRequest},
	} {
		if got := statusOf(c.err); got != c.want {
			t.Errorf("%v: status %d, expected %d", c.err, got, c.want)
		}
	}
}

// An instance of an older program meets an entry that it can't read. It must stop with an error that says so, or its state
// would differ from the others'.
func TestEntryOfANewerProgram(t *testing.T) {
	m := newStateMachine("c", 0)
	for _, entry := range []string{`{"rules":9,"session":"s"}`, `{"kind":"level","body":9}`} {
		var newer *NewerProgramError
		if _, _, err := m.applyEntry([]byte(entry), 1, 1); !errors.As(err, &newer) {
			t.Errorf("%s: %v, expected a NewerProgramError", entry, err)
		}
	}
}
