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
func TestThreeInstances(t *testing.T) {
	all := three(t, nil)
	if a := all[1].put("s", 1, 0); a.Outcome != PutCommitted || a.Version != 1 {
		t.Fatalf("put at a follower: %+v", a)
	}
	for _, i := range all {
		var v Version
		if code, h := i.ask(http.MethodGet, "/v1/config", nil, &v); code != 200 || v.Number != 1 ||
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
	if a := other.put("s", 1, 0); a.Outcome != PutCommitted || a.Version != 1 {
		t.Fatalf("repeat under the next leader: %+v, expected the first answer", a)
	}
	for n := uint64(2); n < 12; n++ {
		if a := other.put("s", n, n-1); a.Outcome != PutCommitted || a.Version != n {
			t.Fatalf("put %d: %+v", n, a)
		}
	}
	all[leader].start()
	all[leader].await("it catches up", func(v *View) bool { return v.Version == 11 })
}

// Two of three instances are down. The third must commit nothing and answer no linearizable read, or two halves of a
// group could decide differently; a stale read must be marked as such.
func TestAloneItSaysSo(t *testing.T) {
	t.Parallel()
	all := three(t, nil)
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
	if code, h := all[2].ask(http.MethodGet, "/v1/config?read=stale", nil, &v); code != 200 || v.Number != 1 ||
		h.Get(HeaderOutOfContact) == "" {
		t.Fatalf("stale read: %d, version %d, headers %v", code, v.Number, h)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := all[2].group.LinearizableView(ctx); err == nil {
		t.Fatal("a read was answered without a majority")
	}
	if _, err := all[2].group.Put(ctx, Put{Session: "t", Seq: 1, Author: "x", Text: text(1)}); err == nil {
		t.Fatal("a put was answered without a majority")
	}
	if all[2].group.View().Version != 1 {
		t.Fatal("what no majority has was applied")
	}
}

// A group is restored from a snapshot, of a folder or saved by an operator. It must be another group, or instances of
// the old one could join it and bring back what was lost; puts that were committed before must keep their results.
func TestRestoreMakesAnotherGroup(t *testing.T) {
	a := boot(t, "a", "new", nil)
	a.put("s", 1, 0)
	parts, err := a.group.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	a.group.stopOnce.Do(func() { close(a.group.stopping) }) // its folder is looked into
	<-a.group.Done()
	again, err := Open(wal.Dir(a.control.Data), loudPlan(a.control))
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if _, err = again.Work(func([]*pb.Message) {}); err != nil {
		t.Fatal(err)
	}
	for n := 0; n < 40 && again.Status().Version == 0; n++ {
		again.Tick()
		if _, err = again.Work(func([]*pb.Message) {}); err != nil {
			t.Fatal(err)
		}
	}
	head, err := again.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err = head.Write(); err != nil {
		t.Fatal(err)
	}
	inFolder, err := filepath.Glob(filepath.Join(a.control.Data, "*.snap"))
	if err != nil || len(inFolder) == 0 {
		t.Fatalf("snapshots %v, %v", inFolder, err)
	}
	fromFolder, err := os.ReadFile(inFolder[len(inFolder)-1])
	if err != nil {
		t.Fatal(err)
	}
	if v, err := Restore(wal.NewMemFS(), ConfigFrom(a.control), fromFolder); err != nil || v.Number != 1 {
		t.Fatalf("from a folder's file: %v, %v", v, err)
	}
	var control config.Control
	b := boot(t, "b", "new", func(c *config.Control) {
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
	if a := b.put("s", 1, 0); a.Outcome != PutCommitted || a.Version != 1 {
		t.Fatalf("a repeat of a put of before: %+v, expected its first answer", a)
	}
}

// gatedFS holds a snapshot's making until its gate opens.
type gatedFS struct {
	wal.FS
	entered, gate chan struct{}
}

func (f gatedFS) Create(name string) (wal.File, error) {
	if strings.HasSuffix(name, ".snap.tmp") && !strings.HasPrefix(name, "0000000000000001.") {
		close(f.entered)
		<-f.gate
	}
	return f.FS.Create(name)
}

// An instance stops while a snapshot is being written. If it unlocked its folder, a new process could open it while
// the old one still writes; it must wait for the write.
func TestFolderIsKeptWhileASnapshotIsWritten(t *testing.T) {
	at := address()
	c := &config.Control{Name: "a", Data: t.TempDir(), Start: "new", Peer: at + ":7101", Bind: at + ":7101",
		Listen: at + ":7201", Tick: 10 * time.Millisecond, ElectionTicks: 10, DiskMB: 64, SnapshotMB: 1,
		SnapshotRateMB: 64,
		ContactTimeout: time.Second}
	entered, gate := make(chan struct{}), make(chan struct{})
	g, err := Start(c, quietLogger(), Faults{WrapDisk: func(fs wal.FS) wal.FS { return gatedFS{fs, entered, gate} }})
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= 3; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		end, err := g.Put(ctx, Put{Session: "s", Seq: n, Base: n - 1, Author: "x",
			Text: text(int(n)) + strings.Repeat(";\n", 1<<18)})
		cancel()
		if err != nil || end.Outcome != PutCommitted {
			t.Fatalf("put %d: %+v, %v", n, end, err)
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
	close(gate)
	<-g.Done()
}
