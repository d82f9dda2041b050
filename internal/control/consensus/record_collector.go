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

// RecordCollector listens at the address of a stopped instance and collects node records for a recovery.
type RecordCollector struct {
	mu        sync.Mutex
	records   map[string]api.NodeRecord
	contacts  map[string]time.Time // last contact of each node
	texts     map[string]string    // by hash; records share equal texts
	bodyBytes *semaphore.Weighted
	server    *http.Server
	served    chan struct{} // closed when the server has ended
	onRecord  func(record *api.NodeRecord, err error)
}

// maxCollectedTexts bounds the distinct texts held. A record has at most two, and most nodes have the same ones.
const maxCollectedTexts = 64

// StartRecordCollector opens the address that nodes send heartbeats to. onRecord is called for each record received,
// with the error if it is invalid. The returned error is of the address.
func StartRecordCollector(listen string, onRecord func(record *api.NodeRecord, err error)) (*RecordCollector, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("%w: the instance that listens there has to be stopped first", err)
	}
	c := &RecordCollector{
		records:   map[string]api.NodeRecord{},
		contacts:  map[string]time.Time{},
		texts:     map[string]string{},
		bodyBytes: semaphore.NewWeighted(maxTotalBodyBytes),
		served:    make(chan struct{}),
		onRecord:  onRecord,
	}
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
		c.server.Serve(netutil.LimitListener(ln, maxClients)) // until Stop; after an earlier end no records arrive
	}()
	return c, nil
}

// Stop closes the address and returns the records. Requests in progress have until ctx is done.
func (c *RecordCollector) Stop(ctx context.Context) []api.NodeRecord {
	if c.server.Shutdown(ctx) != nil {
		c.server.Close()
	}
	<-c.served
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]api.NodeRecord, 0, len(c.records))
	for _, record := range c.records { // recovery.PlanRestore sorts them
		records = append(records, record)
	}
	return records
}

// Counts returns the numbers of nodes that made contact and of those that sent their record.
func (c *RecordCollector) Counts() (contacted, recorded int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.contacts), len(c.records)
}

func (c *RecordCollector) writeError(w http.ResponseWriter, code int, err error) {
	raw, _ := json.Marshal(ErrorResponse{Error: err.Error()})
	c.writeSized(w, code, raw)
}

// writeSized sends a response with a Content-Length, as nodes do not read chunked bodies.
func (c *RecordCollector) writeSized(w http.ResponseWriter, code int, raw []byte) {
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(code)
	w.Write(raw)
}

// postHeartbeat asks a node for its record until the node has sent it.
func (c *RecordCollector) postHeartbeat(w http.ResponseWriter, r *http.Request) {
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

// postRecord validates and stores a node's record.
func (c *RecordCollector) postRecord(w http.ResponseWriter, r *http.Request) {
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

// store keeps a valid record, at most recovery.MaxRecords of them.
func (c *RecordCollector) store(record *api.NodeRecord) error {
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

// sharedText returns the stored copy of a text, so that equal texts of many nodes use memory once. It returns no text
// if the hash does not match or too many texts are held.
func (c *RecordCollector) sharedText(text, hash string) (string, string) {
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
