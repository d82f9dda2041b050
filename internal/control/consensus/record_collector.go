package consensus

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/recovery"
)

// Collector listens in place of a stopped instance and collects the records of nodes for a recovery.
type Collector struct {
	mu        sync.Mutex
	records   map[string]api.NodeRecord
	contacts  map[string]time.Time // nodes that made contact, and when last
	texts     map[string]string    // by hash, so that a thousand nodes with one text hold it once
	bodyBytes *semaphore.Weighted
	server    *http.Server
	served    chan struct{} // closed when the server's goroutine has ended
	onRecord  func(k *api.NodeRecord, err error)
}

// maxCollectedTexts bounds the different texts held: nodes hold two versions each at most, mostly the same.
const maxCollectedTexts = 64

// StartCollector opens an address that nodes send heartbeats to. onRecord is called for each record that a node sent,
// with what was wrong with it. The error is of the address.
func StartCollector(listen string, onRecord func(k *api.NodeRecord, err error)) (*Collector, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("%w: the instance that listens there has to be stopped first", err)
	}
	c := &Collector{records: map[string]api.NodeRecord{}, contacts: map[string]time.Time{}, texts: map[string]string{},
		bodyBytes: semaphore.NewWeighted(maxTotalBodyBytes), served: make(chan struct{}), onRecord: onRecord}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/nodes", c.postHeartbeat)
	mux.HandleFunc("POST /v1/kept", c.postRecord)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		c.writeError(w, http.StatusServiceUnavailable, errRestoreInProgress)
	})
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerReadTimeout, ReadTimeout: bodyReadTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout}
	go func() {
		defer close(c.served)
		c.server.Serve(netutil.LimitListener(ln, maxClients)) // until Stop; an earlier end shows as no records
	}()
	return c, nil
}

// Stop closes the address and returns the records. Requests under way have until ctx is done.
func (c *Collector) Stop(ctx context.Context) []api.NodeRecord {
	if c.server.Shutdown(ctx) != nil {
		c.server.Close()
	}
	<-c.served
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]api.NodeRecord, 0, len(c.records))
	for _, record := range c.records { // recovery.PlanRestore puts them in order
		records = append(records, record)
	}
	return records
}

// Counts returns how many nodes made contact, and how many of them sent their record.
func (c *Collector) Counts() (contacted, recorded int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.contacts), len(c.records)
}

func (c *Collector) writeError(w http.ResponseWriter, code int, err error) {
	raw, _ := json.Marshal(Failure{Error: err.Error()})
	c.writeSized(w, code, raw)
}

// writeSized answers with a Content-Length, as nodes read no chunks.
func (c *Collector) writeSized(w http.ResponseWriter, code int, raw []byte) {
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(code)
	w.Write(raw)
}

// postHeartbeat asks a node for its record until it has sent one.
func (c *Collector) postHeartbeat(w http.ResponseWriter, r *http.Request) {
	var request api.HeartbeatRequest
	if err := readBody(w, r, &request); err != nil {
		c.writeError(w, http.StatusBadRequest, err)
		return
	}
	c.mu.Lock()
	_, recorded := c.records[request.Name]
	if len(c.contacts) < recovery.MaxRecords {
		c.contacts[request.Name] = time.Now()
	}
	c.mu.Unlock()
	if recorded {
		c.writeError(w, http.StatusServiceUnavailable, errRestoreInProgress)
		return
	}
	raw, err := json.Marshal(api.HeartbeatResponse{CollectRecord: true})
	if err != nil {
		c.writeError(w, http.StatusInternalServerError, err)
		return
	}
	c.writeSized(w, http.StatusOK, raw)
}

// postRecord takes a node's record.
func (c *Collector) postRecord(w http.ResponseWriter, r *http.Request) {
	const maxRecordBytes = 2*maxBodyBytes + maxNodeBodyBytes // a record has two texts
	size := r.ContentLength
	if size < 0 || size > maxRecordBytes {
		size = maxRecordBytes
	}
	if !c.bodyBytes.TryAcquire(size) {
		c.writeError(w, http.StatusServiceUnavailable, ErrBusy)
		return
	}
	defer c.bodyBytes.Release(size)
	var record api.NodeRecord
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes)).Decode(&record)
	if err == nil {
		err = record.Validate()
	}
	if err == nil {
		err = c.store(&record)
	}
	c.onRecord(&record, err)
	if err != nil {
		c.writeError(w, http.StatusBadRequest, err)
		return
	}
	c.writeSized(w, http.StatusOK, []byte("{}"))
}

// store holds a valid record.
func (c *Collector) store(record *api.NodeRecord) error {
	record.Generation = max(1, record.Generation)
	record.ActiveText, record.ActiveHash = c.sharedText(record.ActiveText, record.ActiveHash)
	record.PreparedText, record.PreparedHash = c.sharedText(record.PreparedText, record.PreparedHash)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.records[record.Name]; !known && len(c.records) >= recovery.MaxRecords {
		return errTooManyRecords
	}
	c.records[record.Name] = *record
	return nil
}

// sharedText gives the text held for a hash, so that a thousand nodes with one text hold it once, and none where the
// hash is another text's.
func (c *Collector) sharedText(text, hash string) (string, string) {
	if text == "" || document.Hash([]byte(text)) != hash {
		return "", hash
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if shared, known := c.texts[hash]; known {
		return shared, hash
	}
	if len(c.texts) >= maxCollectedTexts {
		return "", hash
	}
	c.texts[hash] = text
	return text, hash
}
