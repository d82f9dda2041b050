package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"umberwinch/internal/control/api"
)

func (a *API) getSelf(w http.ResponseWriter, _ *http.Request) {
	v, c := a.group.View(), a.group.control
	a.writeResponse(w, InstanceInfo{v.ID, v.Name, c.Peer, c.Listen, v.Cluster})
}

func (a *API) getStatus(w http.ResponseWriter, _ *http.Request) {
	v := a.group.View()
	a.writeResponse(w, StatusReport{v.Status, v.SinceLeader().Milliseconds(), v.OutOfContact(), v.Members})
}

// readView returns the view that serves a read: a linearizable one, or this instance's last one for read=stale.
func (a *API) readView(r *http.Request) (*View, error) {
	switch read := r.URL.Query().Get("read"); read {
	case "stale":
		return a.group.View(), nil
	case "":
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		return a.group.LinearizableView(ctx)
	default:
		return nil, &api.FieldError{Field: "read", Found: strconv.Quote(read), Expected: "stale or none"}
	}
}

func (a *API) getConfig(w http.ResponseWriter, r *http.Request) {
	v, err := a.readView(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	n, err := queryUint(r, "version", v.Version)
	if err != nil {
		a.writeError(w, err)
		return
	}
	line := v.VersionJSON(n)
	if line == nil {
		a.writeError(w, v.versionNotFound(n))
		return
	}
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(line)+1)) // nodes do not read chunked bodies
	w.Write(append(line[:len(line):len(line)], '\n'))
}

func (a *API) putConfig(w http.ResponseWriter, r *http.Request) {
	size := r.ContentLength
	if size < 0 || size > maxBodyBytes {
		size = maxBodyBytes
	}
	if !a.bodyBytes.TryAcquire(size) {
		a.writeError(w, ErrBusy)
		return
	}
	defer a.bodyBytes.Release(size)
	var p Put
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			a.writeError(w, errBodyTooLarge)
			return
		}
		a.writeError(w, &BodyError{err, "a put as JSON"})
		return
	}
	p.ProposedAtMS = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := a.group.Put(ctx, p)
	if err != nil {
		a.writeError(w, err)
		return
	}
	code := http.StatusOK
	switch result.Outcome {
	case PutConflict:
		code = http.StatusConflict
	case PutInvalid:
		code = http.StatusUnprocessableEntity
	case PutExpired:
		code = http.StatusGone
	}
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(result)
}

// getHistory returns versions without their texts, oldest first.
func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	v, err := a.readView(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	limit, err := queryUint(r, "limit", defaultHistoryVersions)
	if err == nil && (limit == 0 || limit > maxHistoryVersions) {
		err = &api.FieldError{Field: "limit", Found: strconv.FormatUint(limit, 10),
			Expected: fmt.Sprintf("1 to %d", maxHistoryVersions)}
	}
	held := uint64(len(v.Versions))
	from, err2 := queryUint(r, "from", v.FirstVersion+held-min(limit, held))
	if err = errors.Join(err, err2); err != nil {
		a.writeError(w, err)
		return
	}
	versions := []*Version{}
	for n := max(from, v.FirstVersion); n <= v.Version && uint64(len(versions)) < limit; n++ {
		version, err := ReadVersion(v.VersionJSON(n))
		if err != nil {
			a.writeErrorStatus(w, http.StatusInternalServerError, err)
			return
		}
		version.Text = ""
		versions = append(versions, version)
	}
	a.writeResponse(w, versions)
}
