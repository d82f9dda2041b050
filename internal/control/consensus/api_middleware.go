package consensus

import (
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// withHeaders adds headers on the age of the view to each response and bounds each request body.
func (a *API) withHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(&headerWriter{ResponseWriter: w, group: a.group}, r)
	})
}

// headerWriter sets the headers when the response begins, from the view at that time.
type headerWriter struct {
	http.ResponseWriter
	group       *Group
	wroteHeader bool
}

// Unwrap is for http.ResponseController.
func (h *headerWriter) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// WriteHeader is part of http.ResponseWriter.
func (h *headerWriter) WriteHeader(code int) {
	if !h.wroteHeader {
		h.wroteHeader = true
		v := h.group.View()
		h.Header().Set(HeaderVersion, strconv.FormatUint(v.Version, 10))
		h.Header().Set(HeaderTerm, strconv.FormatUint(v.Term, 10))
		h.Header().Set(HeaderSinceLeader, strconv.FormatInt(v.SinceLeader().Milliseconds(), 10))
		if v.OutOfContact() {
			silence := v.SinceLeader().Round(time.Millisecond)
			h.Header().Set(HeaderOutOfContact, "no majority heard for "+silence.String())
		}
	}
	h.ResponseWriter.WriteHeader(code)
}

// Write is part of http.ResponseWriter.
func (h *headerWriter) Write(p []byte) (int, error) {
	if !h.wroteHeader {
		h.WriteHeader(http.StatusOK)
	}
	return h.ResponseWriter.Write(p)
}

// requireToken rejects requests without the operator's token, if one is configured.
func (a *API) requireToken(next http.HandlerFunc) http.HandlerFunc {
	want := a.group.control.Token
	return func(w http.ResponseWriter, r *http.Request) {
		got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
			a.writeError(w, errUnauthorized)
			return
		}
		next(w, r)
	}
}
