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

// Bounds of the clients' side. They protect memory from clients that are many, slow, or send much.
const (
	maxClients             = 6000 // connections: each node of a fleet keeps one, of some ten KB
	maxWatchers            = 256
	maxHeaderBytes         = 8 << 10
	maxTotalBodyBytes      = 64 << 20 // of puts being read, together; a body counts by its announced length from its start
	maxBodyBytes           = 7 << 20  // the largest document as JSON escapes it at worst, and its author and reason
	maxHistoryVersions     = 1000     // versions in one answer
	defaultHistoryVersions = 20       // a screenful
)

// Timeouts of the clients' side.
const (
	headerReadTimeout = 2 * time.Second
	bodyReadTimeout   = 10 * time.Second
	idleTimeout       = time.Minute
	requestTimeout    = 5 * time.Second  // of a put or a read: longer than the election of a new leader
	membershipTimeout = 15 * time.Second // of a change of members, which may need several rounds
	watchHeartbeat    = 2 * time.Second  // longest pause between two lines of a watch
	watchWriteTimeout = 5 * time.Second  // for one line; a watcher that is slower is disconnected
	stopGracePeriod   = time.Second      // for requests under way when the instance stops
)

// Headers of every answer.
const (
	HeaderVersion      = "Umberwinch-Version"
	HeaderTerm         = "Umberwinch-Term"
	HeaderSinceLeader  = "Umberwinch-Away-Ms"
	HeaderOutOfContact = "Umberwinch-Out-Of-Touch" // only while View.OutOfContact: what this instance holds may be old
)

// Failure is the body of an answer that is not 200.
type Failure struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"` // where the leader listens, if known
}

// Self is what an instance says of itself, so that an operator can add it to a group.
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

// API serves clients of a group over HTTP/1.1 with JSON. It owns the bounds and the form of answers; the group decides
// what they say.
type API struct {
	group        *Group
	server       *http.Server
	watchers     atomic.Int64
	bodyBytes    *semaphore.Weighted
	leaderClient *http.Client   // to the leader, for what it alone can answer
	errorLog     *io.PipeWriter // of the server, to the group's log; Stop ends its goroutine by closing it
	served       chan struct{}  // closed when serve has ended
	stopping     context.Context
	stop         context.CancelFunc
}

// Serve opens the clients' address. It returns once the address is open. Its goroutines end by Stop.
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
	a.server = &http.Server{Handler: a.withHeaders(mux), ReadHeaderTimeout: headerReadTimeout, ReadTimeout: bodyReadTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: log.New(a.errorLog, "", 0)}
	go a.serve(netutil.LimitListener(l, maxClients))
	return a, nil
}

// serve accepts connections until Stop. An address that can't be served any more is logged: the instance goes on with
// its peers, and clients find another one.
func (a *API) serve(l net.Listener) {
	defer close(a.served)
	if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		a.group.log.WithField(logging.Error, err).Error("the clients' address is not served any more")
	}
}

// Stop lets clients finish for a moment, then closes. The address is free when it returns, also where serve had not
// begun yet.
func (a *API) Stop() {
	a.stop()
	ctx, cancel := context.WithTimeout(context.Background(), stopGracePeriod)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		a.server.Close() // the requests that are left are cut off: all of them may be repeated
	}
	<-a.served
	a.leaderClient.CloseIdleConnections()
	a.errorLog.Close()
}
