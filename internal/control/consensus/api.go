package consensus

import (
	"context"
	"log"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"
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
	a.fleetRoutes(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))
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
