package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"go.etcd.io/raft/v3"

	"umberwinch/internal/control/coordinator"
)

func (a *API) answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// whole answers with a length ahead, as nodes read no chunks.
func (a *API) writeSized(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		a.fail(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)+1))
	w.Write(append(raw, '\n'))
}

func (a *API) fail(w http.ResponseWriter, code int, err error) {
	f := Failure{Error: err.Error()}
	v := a.group.View()
	for _, m := range v.Members {
		if m.ID == v.Leader {
			f.Leader = m.Listen
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(f)
}

// failed gives an error of the group's its status.
func (a *API) failWith(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, coordinator.ErrBusy), errors.Is(err, coordinator.ErrStateLost), errors.Is(err, coordinator.ErrNotLeader), errors.Is(err, ErrFeatureLevel),
		errors.Is(err, ErrNoLeader), errors.Is(err, ErrBusy), errors.Is(err, ErrTimeout), errors.Is(err, ErrStopped), errors.Is(err, ErrBarred),
		errors.Is(err, raft.ErrProposalDropped):
		a.fail(w, http.StatusServiceUnavailable, err)
	case errors.Is(err, ErrLogNearLimit):
		a.fail(w, http.StatusInsufficientStorage, err)
	default:
		a.fail(w, http.StatusBadRequest, err)
	}
}

func readBody[T any](w http.ResponseWriter, r *http.Request, into *T) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxNodeBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

func number(r *http.Request, key string, def uint64) (uint64, error) {
	s := r.URL.Query().Get(key)
	if s == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("%s: found %q, expected a whole number", key, s)
	}
	return n, nil
}
