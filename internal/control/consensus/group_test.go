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

// The leader of three instances dies after a put. A follower must take over, give a repeated put its first result,
// and commit more; the dead one must catch up when it is back.
func TestLeaderFailover(t *testing.T) {
	all := startThree(t, nil)
	if result := all[1].put("s", 1, 0); result.Outcome != PutCommitted || result.Version != 1 {
		t.Fatalf("put at a follower: %+v", result)
	}
	for _, i := range all {
		var v Version
		if code, h := i.request(http.MethodGet, "/v1/config", nil, &v); code != 200 || v.Number != 1 ||
			h.Get(HeaderVersion) != "1" || h.Get(HeaderOutOfContact) != "" {
			t.Fatalf("read: %d, version %d, headers %v", code, v.Number, h)
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
		t.Fatalf("repeat under the next leader: %+v, expected the first answer", result)
	}
	for n := uint64(2); n < 12; n++ {
		if result := other.put("s", n, n-1); result.Outcome != PutCommitted || result.Version != n {
			t.Fatalf("put %d: %+v", n, result)
		}
	}
	all[leader].start()
	all[leader].await("it catches up", func(v *View) bool { return v.Version == 11 })
}

// Two of three instances are down. The third must commit nothing and answer no linearizable read, or two halves of a
// group could decide differently; a stale read must be marked as such.
func TestMinorityServesOnlyStaleReads(t *testing.T) {
	t.Parallel()
	all := startThree(t, nil)
	all[0].put("s", 1, 0)
	all[2].await("version 1", func(v *View) bool { return v.Version == 1 })
	logged := logtest.NewLocal(all[2].group.log)
	all[2].group.log.SetLevel(logrus.WarnLevel)
	all[0].stop()
	all[1].stop()
	all[2].await("out of touch", (*View).OutOfContact)
	all[2].await("a log line that says so", func(*View) bool {
		return slices.ContainsFunc(logged.AllEntries(), func(e *logrus.Entry) bool {
			return e.Message == "out of contact with a majority" && e.Data[logging.SilentMS] != nil
		})
	})
	var v Version
	if code, h := all[2].request(http.MethodGet, "/v1/config?read=stale", nil, &v); code != 200 || v.Number != 1 ||
		h.Get(HeaderOutOfContact) == "" {
		t.Fatalf("stale read: %d, version %d, headers %v", code, v.Number, h)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := all[2].group.LinearizableView(ctx); err == nil {
		t.Fatal("a read was answered without a majority")
	}
	if _, err := all[2].group.Put(ctx, Put{Session: "t", Seq: 1, Author: "x", Text: documentText(1)}); err == nil {
		t.Fatal("a put was answered without a majority")
	}
	if all[2].group.View().Version != 1 {
		t.Fatal("what no majority has was applied")
	}
}

// A group is restored from a snapshot, of a folder or saved by an operator. It must be another group, or instances of
// the old one could join it and bring back what was lost; puts that were committed before must keep their results.
func TestRestoreCreatesNewGroup(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.put("s", 1, 0)
	parts, err := a.group.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	a.group.stopOnce.Do(func() { close(a.group.stopping) }) // its folder is looked into
	<-a.group.Done()
	reopened, err := Open(wal.Dir(a.control.Data), newReplicaConfig(a.control))
	if err != nil {
		t.Fatal(err)
	}
	defer reopened.Close()
	if _, err = reopened.Work(func([]*pb.Message) {}); err != nil {
		t.Fatal(err)
	}
	for n := 0; n < 40 && reopened.Status().Version == 0; n++ {
		reopened.Tick()
		if _, err = reopened.Work(func([]*pb.Message) {}); err != nil {
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
		t.Fatalf("snapshots %v, %v", snapshotFiles, err)
	}
	raw, err := os.ReadFile(snapshotFiles[len(snapshotFiles)-1])
	if err != nil {
		t.Fatal(err)
	}
	if v, err := Restore(wal.NewMemFS(), ConfigFrom(a.control), raw); err != nil || v.Number != 1 {
		t.Fatalf("from a folder's file: %v, %v", v, err)
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
			t.Fatal("restored into a folder that is an instance's")
		}
		control = *c
	})
	b.await("it leads", func(v *View) bool { return v.Role == "leader" })
	if v := b.group.View(); v.Version != 1 || v.Cluster == a.group.View().Cluster || len(v.Members) != 1 ||
		v.Members[0].Listen != control.Listen {
		t.Fatalf("%+v with %+v", v.Status, v.Members)
	}
	if result := b.put("s", 1, 0); result.Outcome != PutCommitted || result.Version != 1 {
		t.Fatalf("a repeat of a put of before: %+v, expected its first answer", result)
	}
}

// gatedFS holds a snapshot's making until its gate opens.
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

// An instance stops while a snapshot is being written. If it unlocked its folder, a new process could open it while
// the old one still writes; it must wait for the write.
func TestFolderStaysLockedDuringSnapshotWrite(t *testing.T) {
	host := loopbackAddress()
	c := &config.Control{Name: "a", Data: t.TempDir(), Start: "new", Peer: host + ":7101", Bind: host + ":7101",
		Listen: host + ":7201", Tick: 10 * time.Millisecond, ElectionTicks: 10, DiskMB: 64, SnapshotMB: 1,
		SnapshotRateMB: 64,
		ContactTimeout: time.Second}
	entered, proceed := make(chan struct{}), make(chan struct{})
	g, err := Start(c, newDiscardLogger(), Faults{WrapDisk: func(fs wal.FS) wal.FS { return gatedFS{fs, entered, proceed} }})
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= 3; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		result, err := g.Put(ctx, Put{Session: "s", Seq: n, Base: n - 1, Author: "x",
			Text: documentText(int(n)) + strings.Repeat(";\n", 1<<18)})
		cancel()
		if err != nil || result.Outcome != PutCommitted {
			t.Fatalf("put %d: %+v, %v", n, result, err)
		}
	}
	<-entered
	g.stopOnce.Do(func() { close(g.stopping) })
	select {
	case <-g.Done():
		t.Fatal("it ended while its snapshot was being written")
	case <-time.After(200 * time.Millisecond): // long past what an end takes
	}
	if _, _, err := wal.Open(wal.Dir(c.Data), ConfigFrom(c).Sizes); !errors.Is(err, wal.ErrLocked) {
		t.Fatalf("the folder meanwhile: %v, expected %v", err, wal.ErrLocked)
	}
	close(proceed)
	<-g.Done()
}
