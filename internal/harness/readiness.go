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

// readinessTTL is how long a node counts as ready after it said so last.
const readinessTTL = 3 * time.Second

// readiness stands in for the platform's endpoint list: a node is ready while it says so again and again.
type readiness struct {
	mu      sync.Mutex
	readyAt map[string]time.Time // by node, when it was said to be ready last
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

// ServeHTTP takes a node's condition.
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

// close ends the list with its connections.
func (p *readiness) close() { p.server.Close() }
