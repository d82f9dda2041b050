package consensus

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"umberwinch/internal/logging"
)

// Bounds of the client API. They limit memory when clients are many, slow, or send large bodies.
const (
	maxClients             = 6000 // connections; each node of a fleet keeps one, of some ten KB
	maxWatchers            = 256
	maxHeaderBytes         = 8 << 10
	maxTotalBodyBytes      = 64 << 20 // of puts being read; a body counts with its announced length until it is handled
	maxBodyBytes           = 7 << 20  // the largest document in its longest JSON escaping, with author and reason
	maxHistoryVersions     = 1000     // in one response
	defaultHistoryVersions = 20
)

// Timeouts of the client API.
const (
	headerReadTimeout = 2 * time.Second
	bodyReadTimeout   = 10 * time.Second
	idleTimeout       = time.Minute
	requestTimeout    = 5 * time.Second  // of a put or a read: longer than an election
	membershipTimeout = 15 * time.Second // of a change of members, which may need several proposals
	watchHeartbeat    = 2 * time.Second  // longest pause between two lines of a watch
	watchWriteTimeout = 5 * time.Second  // of one line; slower watchers are disconnected
	stopGracePeriod   = time.Second      // for requests in progress when the API stops
)

// Headers of every response.
const (
	HeaderVersion      = "Umberwinch-Version"
	HeaderTerm         = "Umberwinch-Term"
	HeaderSinceLeader  = "Umberwinch-Away-Ms"
	HeaderOutOfContact = "Umberwinch-Out-Of-Touch" // set only while View.OutOfContact: the state may be stale
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"` // client address of the leader, if known
}

// InstanceInfo describes an instance, so that an operator can add it to a group.
type InstanceInfo struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Peer    string `json:"peer"`    // address for peers
	Listen  string `json:"listen"`  // address for clients
	Cluster string `json:"cluster"` // empty until it is added to a group
}

// StatusReport is an instance's status for operators.
type StatusReport struct {
	Status
	SinceLeaderMS int64    `json:"away_ms"`
	OutOfContact  bool     `json:"out_of_touch"`
	Members       []Member `json:"members"`
}

// WatchHeartbeat is a line of a watch without a version.
type WatchHeartbeat struct {
	Heartbeat     bool  `json:"beat"`
	SinceLeaderMS int64 `json:"away_ms"`
	OutOfContact  bool  `json:"out_of_touch"`
}

// API serves clients of a group over HTTP/1.1 with JSON. It enforces limits and formats responses; the group decides
// their content.
type API struct {
	group        *Group
	server       *http.Server
	watchers     atomic.Int64
	bodyBytes    *semaphore.Weighted
	leaderClient *http.Client   // forwards requests that only the leader serves
	errorLog     *io.PipeWriter // of the server, into the group's log; Stop closes it, which ends its goroutine
	served       chan struct{}  // closed when serve has returned
	stopping     context.Context
	stop         context.CancelFunc
}

// Serve opens the client address and serves it until Stop.
func (g *Group) Serve() (*API, error) {
	l, err := g.credentials.listen(g.control.Listen)
	if err != nil {
		return nil, err
	}
	a := &API{group: g, bodyBytes: semaphore.NewWeighted(maxTotalBodyBytes), leaderClient: g.credentials.client(),
		served: make(chan struct{})}
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
	a.errorLog = g.log.WriterLevel(logrus.DebugLevel)
	a.server = &http.Server{
		Handler:           a.withHeaders(mux),
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       bodyReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(a.errorLog, "", 0),
	}
	go a.serve(netutil.LimitListener(l, maxClients))
	return a, nil
}

// serve accepts connections until Stop. After a listener error the instance continues for its peers, and clients must
// use another instance.
func (a *API) serve(l net.Listener) {
	defer close(a.served)
	if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		a.group.log.WithField(logging.Error, err).Error("the client address is no longer served")
	}
}

// Stop gives requests stopGracePeriod to finish, then closes all connections. On return the address is free, even if
// serve had not started.
func (a *API) Stop() {
	a.stop()
	ctx, cancel := context.WithTimeout(context.Background(), stopGracePeriod)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		a.server.Close() // aborts the remaining requests: all of them may be repeated
	}
	<-a.served
	a.leaderClient.CloseIdleConnections()
	a.errorLog.Close()
}
