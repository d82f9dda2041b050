package harness

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"
)

// readinessTTL is the time that a node is ready after its latest report.
const readinessTTL = 3 * time.Second

// readiness emulates the platform's endpoint list: a node is ready while it keeps reporting so.
type readiness struct {
	mu      sync.Mutex
	readyAt map[string]time.Time // time of the latest Ready report, by node
	ln      net.Listener
	server  *http.Server
}

func newReadiness() (*readiness, error) {
	ln, err := net.Listen("tcp", newLoopbackAddr(7500))
	if err != nil {
		return nil, err
	}
	p := &readiness{readyAt: map[string]time.Time{}, ln: ln}
	p.server = &http.Server{Handler: p}
	go p.server.Serve(ln)
	return p, nil
}

// ServeHTTP handles a node's report of its condition.
func (p *readiness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var status struct {
		Condition string `json:"condition"`
	}
	json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&status)
	p.mu.Lock()
	if name := filepath.Base(r.URL.Path); status.Condition == "Ready" {
		p.readyAt[name] = time.Now()
	} else {
		delete(p.readyAt, name)
	}
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *readiness) isReady(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.readyAt[name]
	return ok && time.Since(at) < readinessTTL
}

func (p *readiness) addr() string { return p.ln.Addr().String() }

// close closes the server and its connections.
func (p *readiness) close() { p.server.Close() }
