package consensus

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/logging"
)

// Bounds of the clients' side.
const (
	maxClients        = 6000 // a fleet's nodes keep a connection each; some ten KB each
	maxWatchers       = 256
	maxHeaderBytes    = 8 << 10
	maxBodiesBytes    = 64 << 20 // of puts in hand together: what a client may still send counts from the start
	maxBodyBytes      = 7 << 20  // a document of the largest size, as JSON escapes it at worst, and what goes with it
	headerTimeout     = 2 * time.Second
	bodyTimeout       = 10 * time.Second
	answerTimeout     = 5 * time.Second // of a put or a read; a new leader is there before
	membershipTimeout = 15 * time.Second
	watchHeartbeat    = 2 * time.Second // a watcher hears at least this often
	watchWriteTimeout = 5 * time.Second // for one line to leave; past it the watcher is let go of
	maxHistory        = 1000            // versions in one answer
	shutdownTimeout   = time.Second
)

// Headers of every answer.
const (
	HeaderVersion      = "Umberwinch-Version"
	HeaderTerm         = "Umberwinch-Term"
	HeaderSinceLeader  = "Umberwinch-Away-Ms"
	HeaderOutOfContact = "Umberwinch-Out-Of-Touch" // only past the bound: what this instance holds may be old
)

// Failure is the body of an answer that is not 200.
type Failure struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"` // where the leader listens, if known
}

// Self is what an instance says of itself, so that it can be taken in.
type Self struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Peer    string `json:"peer"`
	Listen  string `json:"listen"`
	Cluster string `json:"cluster"`
}

// Report is an instance's status for operators.
type Report struct {
	Status
	SinceLeaderMS int64    `json:"away_ms"`
	OutOfContact  bool     `json:"out_of_touch"`
	Members       []Member `json:"members"`
}

// Heartbeat is a line of a watch that brings no version.
type Heartbeat struct {
	Heartbeat     bool  `json:"beat"`
	SinceLeaderMS int64 `json:"away_ms"`
	OutOfContact  bool  `json:"out_of_touch"`
}

// API serves clients of a group over HTTP/1.1 with JSON. It owns bounds and the form of answers; what they
// say comes from the group.
type API struct {
	group     *Group
	server    *http.Server
	watchers  atomic.Int64
	bodies    *semaphore.Weighted
	forwarder *http.Client // to the leader, for what only it can answer
	stopping  context.Context
	stop      context.CancelFunc
}

// Serve opens the clients' address. It returns once the address is open.
func (g *Group) Serve() (*API, error) {
	l, err := g.trust.listen(g.control.Listen)
	if err != nil {
		return nil, err
	}
	a := &API{group: g, bodies: semaphore.NewWeighted(maxBodiesBytes), forwarder: g.trust.client()}
	a.stopping, a.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/self", a.getSelf)
	mux.HandleFunc("GET /v1/status", a.getStatus)
	mux.HandleFunc("GET /v1/config", a.getConfig)
	mux.HandleFunc("PUT /v1/config", a.requireToken(a.putConfig))
	mux.HandleFunc("GET /v1/history", a.getHistory)
	mux.HandleFunc("GET /v1/watch", a.getWatch)
	mux.HandleFunc("POST /v1/members", a.requireToken(a.postMembers))
	mux.HandleFunc("GET /v1/snapshot", a.requireToken(a.getSnapshot))
	a.nodesRoutes(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(g.meters.registry, promhttp.HandlerOpts{}))
	a.server = &http.Server{Handler: a.withHeaders(mux), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: time.Minute,
		ErrorLog: log.New(g.log.WriterLevel(logrus.DebugLevel), "", 0)}
	go a.server.Serve(netutil.LimitListener(l, maxClients))
	return a, nil
}

// Stop lets clients finish for a moment, then closes.
func (a *API) Stop() {
	a.stop()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		a.server.Close()
	}
}

// headed puts on each answer how new it can be.
func (a *API) withHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(&headerWriter{ResponseWriter: w, group: a.group}, r)
	})
}

// heading writes the view's headers at the moment the answer begins.
type headerWriter struct {
	http.ResponseWriter
	group       *Group
	wroteHeader bool
}

func (h *headerWriter) Unwrap() http.ResponseWriter { return h.ResponseWriter }

func (h *headerWriter) WriteHeader(code int) {
	if !h.wroteHeader {
		h.wroteHeader = true
		v := h.group.View()
		h.Header().Set(HeaderVersion, strconv.FormatUint(v.Version, 10))
		h.Header().Set(HeaderTerm, strconv.FormatUint(v.Term, 10))
		h.Header().Set(HeaderSinceLeader, strconv.FormatInt(v.SinceLeader().Milliseconds(), 10))
		if v.OutOfContact() {
			h.Header().Set(HeaderOutOfContact, "no majority heard for "+v.SinceLeader().Round(time.Millisecond).String())
		}
	}
	h.ResponseWriter.WriteHeader(code)
}

func (h *headerWriter) Write(p []byte) (int, error) {
	if !h.wroteHeader {
		h.WriteHeader(http.StatusOK)
	}
	return h.ResponseWriter.Write(p)
}

// requireToken asks for the operator's token where one is set.
func (a *API) requireToken(next http.HandlerFunc) http.HandlerFunc {
	want := a.group.control.Token
	return func(w http.ResponseWriter, r *http.Request) {
		got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
			a.fail(w, http.StatusUnauthorized, errors.New("no token, or another one, expected the one of [clients]"))
			return
		}
		next(w, r)
	}
}

func (a *API) answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
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

func (a *API) getSelf(w http.ResponseWriter, _ *http.Request) {
	v, c := a.group.View(), a.group.control
	a.answer(w, Self{v.ID, v.Name, c.Peer, c.Listen, v.Cluster})
}

func (a *API) getStatus(w http.ResponseWriter, _ *http.Request) {
	v := a.group.View()
	a.answer(w, Report{v.Status, v.SinceLeader().Milliseconds(), v.OutOfContact(), v.Members})
}

// view gives the state a read is answered from: as new as any answer before it, or as it is here where that
// was asked.
func (a *API) view(r *http.Request) (*View, error) {
	switch read := r.URL.Query().Get("read"); read {
	case "stale":
		return a.group.View(), nil
	case "":
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		return a.group.LinearizableView(ctx)
	default:
		return nil, fmt.Errorf("read: found %q, expected stale or none", read)
	}
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

func (a *API) getConfig(w http.ResponseWriter, r *http.Request) {
	v, err := a.view(r)
	if err != nil {
		a.failWith(w, err)
		return
	}
	n, err := number(r, "version", v.Version)
	if err != nil {
		a.failWith(w, err)
		return
	}
	line := v.VersionJSON(n)
	if line == nil {
		what := fmt.Errorf("version %d, expected one from %d to %d", n, v.FirstVersion, v.Version)
		if v.Version == 0 {
			what = errors.New("there is no version yet")
		}
		a.fail(w, http.StatusNotFound, what)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(line)+1)) // nodes read no chunks
	w.Write(append(line[:len(line):len(line)], '\n'))
}

func (a *API) putConfig(w http.ResponseWriter, r *http.Request) {
	size := r.ContentLength
	if size < 0 || size > maxBodyBytes {
		size = maxBodyBytes
	}
	if !a.bodies.TryAcquire(size) {
		a.fail(w, http.StatusServiceUnavailable, ErrBusy)
		return
	}
	defer a.bodies.Release(size)
	var p Put
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			a.fail(w, http.StatusRequestEntityTooLarge, fmt.Errorf("more than %d bytes", maxBodyBytes))
			return
		}
		a.failWith(w, fmt.Errorf("body: %w, expected a put as JSON", err))
		return
	}
	p.At = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	end, err := a.group.Put(ctx, p)
	if err != nil {
		a.failWith(w, err)
		return
	}
	code := http.StatusOK
	switch end.Outcome {
	case PutConflict:
		code = http.StatusConflict
	case PutInvalid:
		code = http.StatusUnprocessableEntity
	case PutExpired:
		code = http.StatusGone
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(end)
}

// history gives versions without their texts, the oldest first.
func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	v, err := a.view(r)
	if err != nil {
		a.failWith(w, err)
		return
	}
	limit, err := number(r, "limit", 20)
	if err == nil && (limit == 0 || limit > maxHistory) {
		err = fmt.Errorf("limit: found %d, expected 1 to %d", limit, maxHistory)
	}
	from, err2 := number(r, "from", v.FirstVersion+uint64(len(v.Versions))-min(limit, uint64(len(v.Versions))))
	if err = errors.Join(err, err2); err != nil {
		a.failWith(w, err)
		return
	}
	out := []*Version{}
	for n := max(from, v.FirstVersion); n <= v.Version && uint64(len(out)) < limit; n++ {
		one, err := ReadVersion(v.VersionJSON(n))
		if err != nil {
			a.fail(w, http.StatusInternalServerError, err)
			return
		}
		one.Text = ""
		out = append(out, one)
	}
	a.answer(w, out)
}

// watch streams versions in order, a line each, from a number on. A watcher that went away names the next
// number wherever it comes back, so it misses none and gets none twice.
func (a *API) getWatch(w http.ResponseWriter, r *http.Request) {
	v := a.group.View()
	from, err := number(r, "from", v.Version+1)
	if err != nil {
		a.failWith(w, err)
		return
	}
	if from == 0 || from < v.FirstVersion {
		a.fail(w, http.StatusGone, fmt.Errorf("from version %d, expected %d or later: older ones are not kept",
			from,
			v.FirstVersion))
		return
	}
	if a.watchers.Add(1) > maxWatchers {
		a.watchers.Add(-1)
		a.fail(w, http.StatusServiceUnavailable, fmt.Errorf("%d watchers, expected at most %d", maxWatchers+1,
			maxWatchers))
		return
	}
	defer a.watchers.Add(-1)
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{})
	w.Header().Set("Content-Type", "application/jsonl")
	beat := time.NewTimer(0)
	defer beat.Stop()
	for {
		rc.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
		v = a.group.View()
		if from < v.FirstVersion { // it fell behind what is kept: it has to begin anew
			return
		}
		sent := false
		for ; from <= v.Version; from++ {
			if _, err := w.Write(append(v.VersionJSON(from)[:len(v.VersionJSON(from)):len(v.VersionJSON(from))], '\n')); err != nil {
				return
			}
			rc.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
			sent = true
		}
		if sent {
			if rc.Flush() != nil {
				return
			}
			beat.Reset(watchHeartbeat)
		}
		select {
		case <-v.Superseded:
		case <-beat.C:
			line, err := json.Marshal(Heartbeat{true, v.SinceLeader().Milliseconds(), v.OutOfContact()})
			if err != nil {
				return
			}
			if _, err = w.Write(append(line, '\n')); err != nil || rc.Flush() != nil {
				return
			}
			beat.Reset(watchHeartbeat)
		case <-r.Context().Done():
			return
		case <-a.stopping.Done():
			return
		case <-a.group.Done():
			return
		}
	}
}

// members changes who is in the group; "transfer" hands the lead over.
func (a *API) postMembers(w http.ResponseWriter, r *http.Request) {
	var c Change
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		a.failWith(w, fmt.Errorf("body: %w, expected a change of members as JSON", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	find := func(ms []Member, id uint64) *Member {
		for i := range ms {
			if ms[i].ID == id {
				return &ms[i]
			}
		}
		return nil
	}
	var err error
	switch c.Op {
	case "transfer":
		err = a.group.Transfer(c.Member.ID)
	case "add":
		err = a.group.Change(ctx, c, func(ms []Member) bool { return find(ms, c.Member.ID) != nil })
	case "promote":
		err = a.group.Change(ctx, c, func(ms []Member) bool {
			m := find(ms, c.Member.ID)
			return m != nil && m.Voter
		})
	case "remove":
		err = a.group.Change(ctx, c, func(ms []Member) bool { return find(ms, c.Member.ID) == nil })
	case "replace":
		err = a.group.Change(ctx, c, func(ms []Member) bool {
			m := find(ms, c.Member.ID)
			return m != nil && m.Voter && find(ms, c.ReplacedID) == nil
		})
	default:
		err = fmt.Errorf("op: found %q, expected add, promote, remove, replace or transfer", c.Op)
	}
	if err != nil {
		a.failWith(w, err)
		return
	}
	a.group.log.WithFields(logrus.Fields{"op": c.Op, logging.Peer: fmt.Sprintf("%x", c.Member.ID)}).Info(
		"members changed")
	a.answer(w, a.group.View().Members)
}

func (a *API) getSnapshot(w http.ResponseWriter, r *http.Request) {
	_, err := a.view(r)
	var parts [][]byte
	if err == nil {
		parts, err = a.group.Snapshot()
	}
	if err != nil {
		a.failWith(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return
		}
	}
}
