package consensus

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/config"
	"umberwinch/internal/logging"
)

// hostCount numbers the loopback addresses used by this process.
var hostCount atomic.Uint32

// loopbackAddress returns an address that no other test uses: it depends on the process id and hostCount.
func loopbackAddress() string {
	n := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, 1+n%250)
}

// instance is an instance of a group in this process, with real sockets and a real folder.
type instance struct {
	t       *testing.T
	control *config.Control
	group   *Group
	api     *API
	http    *http.Client
	scheme  string
	level   int // feature level of an older build; 0: LatestLevel
}

// startInstance starts an instance on its own folder and stops it after the test.
func startInstance(t *testing.T, name, start string, change func(*config.Control)) *instance {
	t.Helper()
	i := newInstance(t, name, start, change)
	i.start()
	t.Cleanup(i.stop)
	return i
}

// newInstance configures an instance without starting it.
func newInstance(t *testing.T, name, start string, change func(*config.Control)) *instance {
	t.Helper()
	host := loopbackAddress()
	c := &config.Control{Name: name, Data: filepath.Join(t.TempDir(), name), Start: start, Peer: host +
		":7101", Bind: host + ":7101",
		Listen: host + ":7201", Tick: 10 * time.Millisecond, ElectionTicks: 10, DiskMB: 64, SnapshotMB: 1,
		SnapshotRateMB: 64,
		ContactTimeout: 500 * time.Millisecond}
	if change != nil {
		change(c)
	}
	return &instance{t: t, control: c, http: http.DefaultClient, scheme: "http"}
}

func (i *instance) start() {
	i.t.Helper()
	var err error
	if i.group, err = Start(i.control, logging.New(io.Discard, "text", "error"), Faults{Level: i.level}); err != nil {
		i.t.Fatal(err)
	}
	if i.api, err = i.group.Serve(); err != nil {
		i.t.Fatal(err)
	}
}

func (i *instance) stop() {
	if i.group == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	i.group.Stop(ctx)
	i.api.Stop()
	i.group = nil
}

// await waits until a view meets a condition, for at most 20 s.
func (i *instance) await(what string, holds func(*View) bool) *View {
	i.t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		v := i.group.View()
		if holds(v) {
			return v
		}
		select {
		case <-v.Superseded:
		case <-timeout:
			i.t.Fatalf("%s: not within 20 s, status %+v", what, v.Status)
		}
	}
}

// request sends in as JSON, decodes the response into out unless it is nil, and returns status and headers.
func (i *instance) request(method, path string, in, out any) (int, http.Header) {
	i.t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		i.t.Fatal(err)
	}
	req, err := http.NewRequest(method, i.scheme+"://"+i.control.Listen+path, bytes.NewReader(body))
	if err != nil {
		i.t.Fatal(err)
	}
	if i.control.Token != "" {
		req.Header.Set("Authorization", "Bearer "+i.control.Token)
	}
	res, err := i.http.Do(req)
	if err != nil {
		i.t.Fatal(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		i.t.Fatal(err)
	}
	if out != nil {
		if err := json.Unmarshal(raw, out); err != nil {
			i.t.Fatalf("%s %s: %s: %v", method, path, raw, err)
		}
	}
	return res.StatusCode, res.Header
}

// put repeats a put until its status is not 503, for at most 20 s, and returns the result.
func (i *instance) put(session string, seq, base uint64) PutResult {
	i.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		var result PutResult
		put := Put{Session: session, Seq: seq, Base: base, Author: "test",
			Text: fmt.Sprintf("[tenant %s]\nrate = %d\n", session, seq)}
		if code, _ := i.request(http.MethodPut, "/v1/config", put, &result); code != http.StatusServiceUnavailable {
			return result
		}
	}
	i.t.Fatal("put: only status 503 for 20 s")
	return PutResult{}
}

// addVoter adds an instance to this one's group and waits until both see it as a voter.
func (i *instance) addVoter(added *instance) {
	i.t.Helper()
	i.await("a leader", func(v *View) bool { return v.Leader != 0 })
	var self InstanceInfo
	added.request(http.MethodGet, "/v1/self", nil, &self)
	var out json.RawMessage
	change := MemberChange{Op: "add", Member: Member{ID: self.ID, Name: self.Name, Peer: self.Peer, Listen: self.Listen,
		Promote: true}}
	if code, _ := i.request(http.MethodPost, "/v1/members", change, &out); code != http.StatusOK {
		i.t.Fatalf("adding %s: status %d, %s, want 200", self.Name, code, out)
	}
	for _, member := range []*instance{i, added} {
		member.await(self.Name+" is a voter", func(v *View) bool {
			for _, m := range v.Members {
				if m.ID == self.ID {
					return m.Voter
				}
			}
			return false
		})
	}
}

// startThree starts a group of three voters.
func startThree(t *testing.T, change func(*config.Control)) []*instance {
	t.Helper()
	instances := []*instance{
		startInstance(t, "a", "new", change),
		startInstance(t, "b", "join", change),
		startInstance(t, "c", "join", change),
	}
	instances[0].addVoter(instances[1])
	instances[0].addVoter(instances[2])
	return instances
}

func newDiscardLogger() *logrus.Logger { return logging.New(io.Discard, "text", "error") }

// newReplicaConfig returns the configuration of an instance's replica.
func newReplicaConfig(c *config.Control) Config {
	p := ConfigFrom(c)
	p.Logger = raftLogger{newDiscardLogger()}
	return p
}
