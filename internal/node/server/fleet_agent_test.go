package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"umberwinch/admission"
	"umberwinch/internal/config"
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/overlay"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
	"umberwinch/internal/retryafter"
)

// testHost is a fleetHost whose callbacks wait in a channel until the test calls them.
type testHost struct {
	callbacks chan func()
	log       *logrus.Logger
	counters  Counters
	settings  *settings.Startup
	activated []uint64
	rejected  int // number of calls of rejectQueued
}

func (h *testHost) runOnLoop(f func())               { h.callbacks <- f }
func (h *testHost) setFleetTimer(agent.Milliseconds) {}
func (h *testHost) refreshReadiness()                {}
func (h *testHost) rejectQueued()                    { h.rejected++ }
func (h *testHost) activate(s *overlay.Settings)     { h.activated = append(h.activated, s.Version) }
func (h *testHost) runsInFlight() int                { return 0 }
func (h *testHost) kernelConnected() bool            { return true }
func (h *testHost) poolsEnabled() bool               { return false }
func (h *testHost) isDraining() bool                 { return false }
func (h *testHost) limitLog() *logrus.Entry          { return logrus.NewEntry(h.log) }
func (h *testHost) counts() *Counters                { return &h.counters }
func (h *testHost) platform() *settings.Startup      { return h.settings }
func (h *testHost) isKnownKey(string) bool           { return false }
func (h *testHost) retryAfter(*retryafter.Spreader, agent.Milliseconds) int64 {
	return 1500
}

// testControl is an instance of the control service that responds as the test sets it.
type testControl struct {
	mu       sync.Mutex
	response api.HeartbeatResponse
	requests []api.HeartbeatRequest
	text     string
}

func (c *testControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path != "/v1/nodes" {
		_ = json.NewEncoder(w).Encode(documentResponse{Version: c.response.CommittedVersion.Version, Text: c.text})
		return
	}
	var request api.HeartbeatRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	c.requests = append(c.requests, request)
	_ = json.NewEncoder(w).Encode(&c.response)
}

// setResponse changes the instance's response to heartbeats, at the next group index.
func (c *testControl) setResponse(change func(*api.HeartbeatResponse)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response.Index++
	change(&c.response)
}

// TestFleetAgent checks a node that joins its fleet, gets a lease and a committed version, has its zone evacuated and
// loses the control service. Guards against serving before the version is active, after the lease has expired, or over
// the zone's quota.
func TestFleetAgent(t *testing.T) {
	control := &testControl{text: "[class get]\nkind = replayable\nclient_timeout = 2s\nvalue = 3\n" +
		"[fleet]\nwhen_alone = fence\n"}
	service := httptest.NewServer(control)
	defer service.Close()
	control.response = api.HeartbeatResponse{Cluster: "group", Term: 1, Index: 1, LeaseID: 7, LeaseMS: 4000,
		DecidedVersion:   1,
		CommittedVersion: api.VersionHash{Version: 1, Hash: document.Hash([]byte(control.text))}, NextHeartbeatMS: 1000}
	log, lines := logtest.NewNullLogger()
	host := &testHost{callbacks: make(chan func(), 16), log: log,
		settings: &settings.Startup{HandlerIndex: map[string]int{"get": 0},
			Deployment: &admission.Deployment{Cores: 1, MemoryKB: 1000,
				Handlers: []admission.Handler{{Timeout: 3 * admission.Second,
					LatencyObjective: admission.Second, RetrySafety: admission.Retryable}}}}}
	folder := t.TempDir()
	f, err := newFleetAgent(host, log, &config.Fleet{Name: "n1", Zone: "z1", Folder: folder,
		ControlAddresses: []string{strings.TrimPrefix(service.URL, "http://")}}, &StartupFile{Listen: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	now := bootTime()
	f.clock = func() agent.Milliseconds { return now }
	tickUntil := func(what string, met func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !met(); {
			f.tick()
			select {
			case callback := <-host.callbacks:
				callback()
			case <-time.After(5 * time.Millisecond):
				now += 20
			}
			if time.Now().After(end) {
				t.Fatalf("%s: condition not met within %v; log messages: %v", what, testTimeout, logMessages(lines))
			}
		}
	}
	request := &wire.Request{Caller: 1}
	response := wire.Response{}
	if got := f.rejection(0, request, "", &response); got != nodeFenced || response.RetryAfterMS != 1500 ||
		f.ready() {
		t.Errorf(
			"without a lease: rejection() = %v, response %+v, takesTraffic() = %v, want %v, Retry-After 1500 ms, false",
			got, response, f.ready(), nodeFenced)
	}
	tickUntil("serving", func() bool { return !f.fenced })
	if len(host.activated) != 1 || host.activated[0] != 1 || f.agent.ActiveVersion() != 1 {
		t.Fatalf("active version %d, activated %v, want 1, [1]", f.agent.ActiveVersion(), host.activated)
	}
	last := lines.LastEntry()
	if last.Message != logNodeServes || last.Data[logging.PolicyVersion] != uint64(1) ||
		last.Data[logging.LeaseID] != uint32(7) {
		t.Errorf("last log line %q, %v, want %q with version 1 and lease 7", last.Message, last.Data, logNodeServes)
	}
	if got := f.rejection(0, request, "", &response); got != notRejected || !f.ready() {
		t.Errorf("with a lease: rejection() = %v, takesTraffic() = %v, want %v, true", got, f.ready(),
			notRejected)
	}
	tickUntil("record stored", func() bool { return !f.record.writing && !f.record.pending })
	if raw, err := os.ReadFile(filepath.Join(folder, recordFile)); err != nil ||
		!strings.Contains(string(raw), `"version":1`) {
		t.Errorf("record file %s, error %v, want version 1 in it", raw, err)
	}
	control.setResponse(func(r *api.HeartbeatResponse) { r.Zone = &api.ZoneOrder{Epoch: 4, Share: 0, TTLMS: 60_000} })
	tickUntil("zone evacuated", func() bool { return f.gate.Epoch() == 4 })
	if got := f.rejection(0, request, "", &response); got != rejectedByZone || host.rejected != 1 || f.ready() {
		t.Errorf("evacuated: rejection() = %v, queue rejected %d times, takesTraffic() = %v, want %v, 1, false", got,
			host.rejected, f.ready(), rejectedByZone)
	}
	control.setResponse(func(r *api.HeartbeatResponse) {
		r.Zone = &api.ZoneOrder{Epoch: 5, Share: api.FullShare,
			TTLMS: 60_000}
	})
	tickUntil("zone returned", func() bool { return f.gate.Epoch() == 5 })
	service.Close()
	tickUntil("lease expired", func() bool { return f.fenced })
	if now < f.agent.LeaseExpiry() || host.counters.TimesFenced != 1 || host.rejected != 2 {
		t.Errorf("fenced at %d ms, %d times, queue rejected %d times, want at %d ms or later, 1, 2", now,
			host.counters.TimesFenced, host.rejected, f.agent.LeaseExpiry())
	}
	if last := lines.LastEntry(); !hasLogLine(lines, logNodeFenced, logging.Reason, "its lease has run out") {
		t.Errorf("last log line %q, %v, want an earlier %q as the lease has run out", last.Message, last.Data,
			logNodeFenced)
	}
	control.mu.Lock()
	defer control.mu.Unlock()
	if first := control.requests[0]; first.Name != "n1" || first.Zone != "z1" || first.LeaseID != 0 ||
		first.Fenced == "" {
		t.Errorf("first heartbeat %+v, want n1 in z1, fenced and without a lease", first)
	}
	if last := control.requests[len(control.requests)-1]; last.ActiveVersion != 1 || last.MinVersion != 1 ||
		last.LeaseID != 7 {
		t.Errorf("last heartbeat %+v, want active and minimum version 1 and lease 7", last)
	}
}

// TestVersionConflictsWithSettings checks that a node rejects a version that conflicts with the platform's settings,
// with the reason in its next heartbeat. It also checks a hash mismatch and a failed fetch.
func TestVersionConflictsWithSettings(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	host := &testHost{callbacks: make(chan func(), 16), log: log,
		settings: &settings.Startup{HandlerIndex: map[string]int{"get": 0},
			Deployment: &admission.Deployment{Cores: 1, Handlers: []admission.Handler{{Timeout: admission.Second}}}}}
	f, err := newFleetAgent(host, log, &config.Fleet{Name: "n1", ControlAddresses: []string{"127.0.0.1:1"}},
		&StartupFile{Listen: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	text := "[class get]\nkind = replayable\nclient_timeout = 2s\n"
	body, err := json.Marshal(documentResponse{Version: 2, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	version := api.VersionHash{Version: 2, Hash: document.Hash([]byte(text))}
	f.versions.current = version
	f.versionFetched("127.0.0.1:1", version, controlResponse{status: wire.StatusOK, body: body})
	if !hasLogLine(lines, logVersionUnusable, logging.PolicyVersion, uint64(2)) || f.versions.current.Version != 0 {
		t.Errorf("log messages %v, current version %+v, want %q for version 2, none", logMessages(lines),
			f.versions.current, logVersionUnusable)
	}
	request, _, due := f.agent.Heartbeat(bootTime())
	if !due || request.RefusedVersion != 2 || !strings.Contains(request.RefusedReason, "client_timeout: found 2s") {
		t.Errorf("heartbeat due %v: %+v, want version 2 refused for its client_timeout", due, request)
	}
	version.Hash = "another"
	f.versionFetched("127.0.0.1:1", version, controlResponse{status: wire.StatusOK, body: body})
	if last := lines.LastEntry(); !strings.Contains(last.Data[logging.Error].(error).Error(), errWrongHash.Error()) {
		t.Errorf("hash mismatch: log fields %v, want error %q", last.Data, errWrongHash)
	}
	f.versionFetched("127.0.0.1:1", version, controlResponse{status: wire.StatusServiceUnavailable,
		body: []byte("busy")})
	if f.versions.timeout != 2*minFetchTimeout || f.versions.retryAt == 0 {
		t.Errorf("failed fetch: timeout %v, retry at %d, want %v, a time", f.versions.timeout, f.versions.retryAt,
			2*minFetchTimeout)
	}
}

// hasLogLine reports whether a line with the message has the field.
func hasLogLine(lines *logtest.Hook, message, field string, value any) bool {
	for _, e := range lines.AllEntries() {
		if e.Message == message && e.Data[field] == value {
			return true
		}
	}
	return false
}

func logMessages(lines *logtest.Hook) (messages []string) {
	for _, e := range lines.AllEntries() {
		messages = append(messages, e.Message)
	}
	return messages
}
