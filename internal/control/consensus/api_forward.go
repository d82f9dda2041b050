package consensus

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// led has an asking served here if this instance leads, and handed on to the one that does otherwise.
func (a *API) onLeader(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := a.group.View()
		if v.Role == "leader" || r.Header.Get(headerForwarded) != "" {
			next(w, r)
			return
		}
		to := ""
		for _, m := range v.Members {
			if m.ID == v.Leader && m.ID != v.ID {
				to = m.Listen
			}
		}
		if to == "" {
			a.fail(w, http.StatusServiceUnavailable, ErrNoLeader)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNodeBodyBytes))
		if err != nil {
			a.failWith(w, fmt.Errorf("body: %w, expected at most %d bytes", err, maxNodeBodyBytes))
			return
		}
		within := forwardTimeout
		if r.URL.Path != "/v1/nodes" {
			within = answerTimeout
		}
		ctx, cancel := context.WithTimeout(r.Context(), within)
		defer cancel()
		on, err := http.NewRequestWithContext(ctx, r.Method, a.group.trust.scheme()+"://"+to+r.URL.RequestURI(),
			bytes.NewReader(body))
		if err != nil {
			a.failWith(w, err)
			return
		}
		on.Header.Set(headerForwarded, v.Name)
		on.Header.Set("Content-Type", "application/json")
		if t := r.Header.Get("Authorization"); t != "" {
			on.Header.Set("Authorization", t)
		}
		res, err := a.forwarder.Do(on)
		if err != nil {
			a.fail(w, http.StatusServiceUnavailable, fmt.Errorf("the leader at %s: %w", to, err))
			return
		}
		defer res.Body.Close()
		raw, err := io.ReadAll(res.Body)
		if err != nil {
			a.fail(w, http.StatusServiceUnavailable, fmt.Errorf("the leader at %s: %w", to, err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		w.WriteHeader(res.StatusCode)
		w.Write(raw)
	}
}
