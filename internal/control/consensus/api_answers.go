package consensus

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"go.etcd.io/raft/v3"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
)

const (
	contentJSON      = "application/json"
	contentJSONLines = "application/jsonl"
	contentBytes     = "application/octet-stream"
	// retryAfterSeconds is the Retry-After value of temporary errors: usually a new leader is elected by then.
	retryAfterSeconds = "1"
)

// writeResponse writes a value as JSON. Write errors are ignored: the client has disconnected.
func (a *API) writeResponse(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentJSON)
	json.NewEncoder(w).Encode(v)
}

// writeResult writes a value, or err if it is not nil.
func (a *API) writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		a.writeError(w, err)
		return
	}
	a.writeSized(w, v)
}

// writeSized writes a value as JSON with a Content-Length, as nodes do not read chunked bodies.
func (a *API) writeSized(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		a.writeErrorStatus(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)+1))
	w.Write(append(raw, '\n'))
}

// writeErrorStatus writes an ErrorResponse, with the leader's address if it is known.
func (a *API) writeErrorStatus(w http.ResponseWriter, code int, err error) {
	f := ErrorResponse{Error: err.Error()}
	v := a.group.View()
	for _, m := range v.Members {
		if m.ID == v.Leader {
			f.Leader = m.Listen
		}
	}
	w.Header().Set("Content-Type", contentJSON)
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(f)
}

// writeError writes an error with its HTTP status.
func (a *API) writeError(w http.ResponseWriter, err error) { a.writeErrorStatus(w, statusOf(err), err) }

// retryableErrors are temporary: the client may retry after them.
var retryableErrors = []error{
	coordinator.ErrBusy, coordinator.ErrStateLost, coordinator.ErrNotLeader,
	ErrFeatureLevel, ErrNoLeader, ErrBusy, ErrTimeout, ErrStopped, ErrBarred,
	errTooManyWatchers, raft.ErrProposalDropped,
}

// statusOf returns the HTTP status of an error, which tells the client how to react: 503 retry, 507 inform the
// operator, 409 conflict with the state, 401 get the token, 404 and 410 request another version, 413 send less, 400
// correct the request.
//
// All other errors are 400 too: an unknown node, and faults of this instance such as a failed read of its disk. The
// error's text and this instance's log tell them apart.
func statusOf(err error) int {
	for _, t := range retryableErrors {
		if errors.Is(err, t) {
			return http.StatusServiceUnavailable
		}
	}
	var (
		rejected        *RejectedError
		unreachable     *LeaderUnreachableError
		versionNotFound *VersionNotFoundError
		dropped         *VersionDroppedError
	)
	switch {
	case errors.As(err, &unreachable):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrLogNearLimit):
		return http.StatusInsufficientStorage
	case errors.As(err, &rejected):
		return http.StatusConflict
	case errors.Is(err, errUnauthorized):
		return http.StatusUnauthorized
	case errors.Is(err, errNoVersion) || errors.As(err, &versionNotFound):
		return http.StatusNotFound
	case errors.As(err, &dropped):
		return http.StatusGone
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// readBody decodes a JSON body of at most maxNodeBodyBytes and rejects unknown fields.
func readBody[T any](w http.ResponseWriter, r *http.Request, into *T) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxNodeBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &BodyError{Err: err}
	}
	return nil
}

// queryUint returns an unsigned integer of the query, def if the key is absent.
func queryUint(r *http.Request, key string, def uint64) (uint64, error) {
	s := r.URL.Query().Get(key)
	if s == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil {
		return 0, &api.FieldError{Field: key, Found: strconv.Quote(s), Expected: "a whole number"}
	}
	return n, nil
}
