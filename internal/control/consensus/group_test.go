package consensus

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/config"
	"umberwinch/internal/logging"
	"umberwinch/internal/wal"
)

// After the leader of three instances fails, a follower must take over, return the first result for a repeated put, and
// commit more; the failed instance must catch up after its restart.
func TestLeaderFailover(t *testing.T) {
	all := startThree(t, nil)
	if result := all[1].put("s", 1, 0); result.Outcome != PutCommitted || result.Version != 1 {
		t.Fatalf("put at a follower = %+v, want %s as version 1", result, PutCommitted)
	}
	for _, i := range all {
		var v Version
		if code, h := i.request(http.MethodGet, "/v1/config", nil, &v); code != 200 || v.Number != 1 ||
			h.Get(HeaderVersion) != "1" || h.Get(HeaderOutOfContact) != "" {
			t.Fatalf("read: status %d, version %d, headers %v, want 200, version 1, and in contact", code, v.Number, h)
		}
	}
	leader := -1
	for n, i := range all {
		if i.group.View().Role == "leader" {
			leader = n
		}
	}
	all[leader].stop()
	other := all[(leader+1)%3]
	if result := other.put("s", 1, 0); result.Outcome != PutCommitted || result.Version != 1 {
		t.Fatalf("repeated put at the next leader = %+v, want the first result", result)
	}
	for n := uint64(2); n < 12; n++ {
		if result := other.put("s", n, n-1); result.Outcome != PutCommitted || result.Version != n {
			t.Fatalf("put(seq %d) = %+v, want %s as version %d", n, result, PutCommitted, n)
		}
	}
	all[leader].start()
	all[leader].await("version 11", func(v *View) bool { return v.Version == 11 })
}

// Without a majority an instance must commit nothing and serve no linearizable read, or a partitioned group could
// diverge; stale reads must be marked.
func TestMinorityServesOnlyStaleReads(t *testing.T) {
	t.Parallel()
	all := startThree(t, nil)
	all[0].put("s", 1, 0)
	all[2].await("version 1", func(v *View) bool { return v.Version == 1 })
	logged := logtest.NewLocal(all[2].group.log)
	all[2].group.log.SetLevel(logrus.WarnLevel)
	all[0].stop()
	all[1].stop()
	all[2].await("out of contact", (*View).OutOfContact)
	all[2].await("the log line on lost contact", func(*View) bool {
		return slices.ContainsFunc(logged.AllEntries(), func(e *logrus.Entry) bool {
			return e.Message == "out of contact with a majority" && e.Data[logging.SilentMS] != nil
		})
	})
	var v Version
	if code, h := all[2].request(http.MethodGet, "/v1/config?read=stale", nil, &v); code != 200 || v.Number != 1 ||
		h.Get(HeaderOutOfContact) == "" {
		t.Fatalf("stale read: status %d, version %d, headers %v, want 200, version 1, marked out of contact", code,
			v.Number, h)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := all[2].group.LinearizableView(ctx); err == nil {
		t.Fatal("LinearizableView() without a majority succeeded, want an error")
	}
	if _, err := all[2].group.Put(ctx, Put{Session: "t", Seq: 1, Author: "x", Text: documentText(1)}); err == nil {
		t.Fatal("Put() without a majority succeeded, want an error")
	}
	if v := all[2].group.View().Version; v != 1 {
		t.Fatalf("version = %d after a put without a majority, want 1", v)
	}
}

// A group restored from a snapshot must be a new group, or instances of the old one could join it and bring back lost
// state; puts that were committed before must keep their results.
func TestRestoreCreatesNewGroup(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.put("s", 1, 0)
	parts, err := a.group.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	a.group.stopOnce.Do(func() { close(a.group.stopping) }) // so that its folder can be opened
	<-a.group.Done()
	reopened, err := Open(wal.Dir(a.control.Data), newReplicaConfig(a.control))
	if err != nil {
		t.Fatal(err)
	}
	defer reopened.Close()
	if _, err = reopened.ProcessReady(func([]*pb.Message) {}); err != nil {
		t.Fatal(err)
	}
	for n := 0; n < 40 && reopened.Status().Version == 0; n++ {
		reopened.Tick()
		if _, err = reopened.ProcessReady(func([]*pb.Message) {}); err != nil {
			t.Fatal(err)
		}
	}
	snapshot, err := reopened.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err = snapshot.Write(); err != nil {
		t.Fatal(err)
	}
	snapshotFiles, err := filepath.Glob(filepath.Join(a.control.Data, "*.snap"))
	if err != nil || len(snapshotFiles) == 0 {
		t.Fatalf("snapshot files = %v, %v, want at least one", snapshotFiles, err)
	}
	raw, err := os.ReadFile(snapshotFiles[len(snapshotFiles)-1])
	if err != nil {
		t.Fatal(err)
	}
	if v, err := Restore(wal.NewMemFS(), ConfigFrom(a.control), raw); err != nil || v.Number != 1 {
		t.Fatalf("Restore() of a file of the folder = %v, %v, want version 1", v, err)
	}
	var control config.Control
	b := startInstance(t, "b", "new", func(c *config.Control) {
		dir, err := wal.MakeDir(c.Data)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = Restore(dir, ConfigFrom(c), bytes.Join(parts, nil)); err != nil {
			t.Fatal(err)
		}
		if _, err = Restore(dir, ConfigFrom(c), bytes.Join(parts, nil)); err == nil {
			t.Fatal("Restore() into a folder in use succeeded, want an error")
		}
		control = *c
	})
	b.await("role leader", func(v *View) bool { return v.Role == "leader" })
	if v := b.group.View(); v.Version != 1 || v.Cluster == a.group.View().Cluster || len(v.Members) != 1 ||
		v.Members[0].Listen != control.Listen {
		t.Fatalf("status %+v, members %+v, want version 1 in another cluster with one member", v.Status, v.Members)
	}
	if result := b.put("s", 1, 0); result.Outcome != PutCommitted || result.Version != 1 {
		t.Fatalf("repeated put after the restore = %+v, want the first result", result)
	}
}

// gatedFS blocks the writing of a snapshot until proceed is closed.
type gatedFS struct {
	wal.FS
	entered, proceed chan struct{}
}

func (f gatedFS) Create(name string) (wal.File, error) {
	if strings.HasSuffix(name, ".snap.tmp") && !strings.HasPrefix(name, "0000000000000001.") {
		close(f.entered)
		<-f.proceed
	}
	return f.FS.Create(name)
}

// An instance that stops during a snapshot write must keep its folder locked until the write ends, or another process
// could open the folder meanwhile.
func TestFolderStaysLockedDuringSnapshotWrite(t *testing.T) {
	host := loopbackAddress()
	c := &config.Control{Name: "a", Data: t.TempDir(), Start: "new", Peer: host + ":7101", Bind: host + ":7101",
		Listen: host + ":7201", Tick: 10 * time.Millisecond, ElectionTicks: 10, DiskMB: 64, SnapshotMB: 1,
		SnapshotRateMB: 64,
		ContactTimeout: time.Second}
	entered, proceed := make(chan struct{}), make(chan struct{})
	wrapDisk := func(fs wal.FS) wal.FS { return gatedFS{fs, entered, proceed} }
	g, err := Start(c, newDiscardLogger(), Faults{WrapDisk: wrapDisk})
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= 3; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		result, err := g.Put(ctx, Put{Session: "s", Seq: n, Base: n - 1, Author: "x",
			Text: documentText(int(n)) + strings.Repeat(";\n", 1<<18)})
		cancel()
		if err != nil || result.Outcome != PutCommitted {
			t.Fatalf("Put(seq %d) = %+v, %v, want %s", n, result, err, PutCommitted)
		}
	}
	<-entered
	g.stopOnce.Do(func() { close(g.stopping) })
	select {
	case <-g.Done():
		t.Fatal("the instance ended during the snapshot write")
	case <-time.After(200 * time.Millisecond): // far longer than a stop takes
	}
	if _, _, err := wal.Open(wal.Dir(c.Data), ConfigFrom(c).Sizes); !errors.Is(err, wal.ErrLocked) {
		t.Fatalf("Open() of the folder during the snapshot write = %v, want %v", err, wal.ErrLocked)
	}
	close(proceed)
	<-g.Done()
}
