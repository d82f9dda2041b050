package consensus

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// headerForwarded marks a forwarded request, so that it is forwarded at most once: two instances that take each
	// other for the leader would forward it in a loop.
	headerForwarded = "Umberwinch-Relayed"
	// forwardTimeout is less than heartbeatTimeout, so that a node gets an error response when the leader does not
	// respond.
	forwardTimeout = 1300 * time.Millisecond
)

// onLeader serves a request here if this instance is the leader, and forwards it to the leader otherwise.
func (a *API) onLeader(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := a.group.View()
		if v.Role == RoleLeader || r.Header.Get(headerForwarded) != "" {
			next(w, r)
			return
		}
		leader := v.leaderAddress()
		if leader == "" {
			a.writeError(w, ErrNoLeader)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNodeBodyBytes))
		if err != nil {
			a.writeError(w, &BodyError{err, fmt.Sprintf("at most %d bytes", maxNodeBodyBytes)})
			return
		}
		a.forward(w, r, leader, body)
	}
}

// leaderAddress returns the leader's client address, empty if the leader is unknown or this instance.
func (v *View) leaderAddress() string {
	for _, m := range v.Members {
		if m.ID == v.Leader && m.ID != v.ID {
			return m.Listen
		}
	}
	return ""
}

// forward sends a request to the leader and passes on the response.
func (a *API) forward(w http.ResponseWriter, r *http.Request, leader string, body []byte) {
	timeout := forwardTimeout
	if r.URL.Path != "/v1/nodes" {
		timeout = requestTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	url := a.group.credentials.scheme() + "://" + leader + r.URL.RequestURI()
	request, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(body))
	if err != nil {
		a.writeError(w, err)
		return
	}
	request.Header.Set(headerForwarded, a.group.View().Name)
	request.Header.Set("Content-Type", contentJSON)
	if token := r.Header.Get("Authorization"); token != "" {
		request.Header.Set("Authorization", token)
	}
	status, raw, err := a.roundTrip(request)
	if err != nil {
		a.writeError(w, &LeaderUnreachableError{leader, err})
		return
	}
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw)
}

func (a *API) roundTrip(request *http.Request) (status int, body []byte, err error) {
	response, err := a.leaderClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
