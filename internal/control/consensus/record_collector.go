package consensus

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/recovery"
)

// Collector listens, in place of an instance, to what nodes hold.
type Collector struct {
	mu       sync.Mutex
	records  map[string]api.NodeRecord
	contacts map[string]time.Time // nodes that came by, and when last
	texts    map[string]string    // by hash, so that a thousand nodes with one text hold it once
	bodies   *semaphore.Weighted
	server   *http.Server
	onRecord func(k *api.NodeRecord, err error)
}

// maxGatheredTexts bounds the different texts that are held: two versions at most are at hand at a node.
const maxGatheredTexts = 64

// StartCollector opens an address that nodes ask. heard is told of each node that told what it holds, or what was
// wrong with it.
func StartCollector(listen string, heard func(k *api.NodeRecord, err error)) (*Collector, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("%w: the instance that listens there has to be stopped first", err)
	}
	g := &Collector{records: map[string]api.NodeRecord{}, contacts: map[string]time.Time{}, texts: map[string]string{},
		bodies: semaphore.NewWeighted(maxBodiesBytes), onRecord: heard}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/nodes", g.postHeartbeat)
	mux.HandleFunc("POST /v1/kept", g.postRecord)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		g.fail(w, http.StatusServiceUnavailable, errRestoring)
	})
	g.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: time.Minute}
	go g.server.Serve(netutil.LimitListener(ln, maxClients))
	return g, nil
}

// Stop ends it and gives what was told.
func (g *Collector) Stop(ctx context.Context) []api.NodeRecord {
	if g.server.Shutdown(ctx) != nil {
		g.server.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]api.NodeRecord, 0, len(g.records))
	for _, k := range g.records { // Config puts them in order
		out = append(out, k)
	}
	return out
}

// Counts returns how many nodes made contact, and how many of them sent their record.
func (g *Collector) Counts() (asked, told int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.contacts), len(g.records)
}

func (g *Collector) fail(w http.ResponseWriter, code int, err error) {
	raw, _ := json.Marshal(Failure{Error: err.Error()})
	g.whole(w, code, raw)
}

func (g *Collector) whole(w http.ResponseWriter, code int, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(raw))) // nodes read no chunks
	w.WriteHeader(code)
	w.Write(raw)
}

// node asks whoever comes by for what it holds, once.
func (g *Collector) postHeartbeat(w http.ResponseWriter, r *http.Request) {
	var a api.HeartbeatRequest
	if err := readBody(w, r, &a); err != nil {
		g.fail(w, http.StatusBadRequest, err)
		return
	}
	g.mu.Lock()
	_, told := g.records[a.Name]
	if len(g.contacts) < recovery.MaxRecords {
		g.contacts[a.Name] = time.Now()
	}
	g.mu.Unlock()
	if told {
		g.fail(w, http.StatusServiceUnavailable, errRestoring)
		return
	}
	raw, err := json.Marshal(api.HeartbeatResponse{CollectRecord: true})
	if err != nil {
		g.fail(w, http.StatusInternalServerError, err)
		return
	}
	g.whole(w, http.StatusOK, raw)
}

// take takes what a node holds.
func (g *Collector) postRecord(w http.ResponseWriter, r *http.Request) {
	const most = 2*maxBodyBytes + maxNodeBodyBytes // two texts
	size := r.ContentLength
	if size < 0 || size > most {
		size = most
	}
	if !g.bodies.TryAcquire(size) {
		g.fail(w, http.StatusServiceUnavailable, ErrBusy)
		return
	}
	defer g.bodies.Release(size)
	var k api.NodeRecord
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, most)).Decode(&k)
	if err == nil {
		err = k.Validate()
	}
	if err == nil {
		err = g.store(&k)
	}
	g.onRecord(&k, err)
	if err != nil {
		g.fail(w, http.StatusBadRequest, err)
		return
	}
	g.whole(w, http.StatusOK, []byte("{}"))
}

func (g *Collector) store(k *api.NodeRecord) error {
	k.Generation = max(1, k.Generation)
	k.ActiveText, k.ActiveHash = g.sharedText(k.ActiveText, k.ActiveHash)
	k.PreparedText, k.PreparedHash = g.sharedText(k.PreparedText, k.PreparedHash)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, there := g.records[k.Name]; !there && len(g.records) >= recovery.MaxRecords {
		return fmt.Errorf("%d nodes, expected at most %d", len(g.records)+1, recovery.MaxRecords)
	}
	g.records[k.Name] = *k
	return nil
}

// one gives the text that is held for a hash, and none where the hash is another's.
func (g *Collector) sharedText(text, hash string) (string, string) {
	if text == "" || document.Hash([]byte(text)) != hash {
		return "", hash
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if held, there := g.texts[hash]; there {
		return held, hash
	}
	if len(g.texts) >= maxGatheredTexts {
		return "", hash
	}
	g.texts[hash] = text
	return text, hash
}
