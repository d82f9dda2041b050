package consensus

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/config"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
	"umberwinch/internal/wal"
)

// Bounds of an instance.
const (
	maxInbox         = 1024 // messages of peers that wait; past it their connections are read no further
	maxRequests      = 1024 // clients' askings that wait; past it they are turned away
	maxWaiting       = 4096 // puts or reads that wait for an end
	maxTasksPerRound = 512  // of either taken up before raft is asked for its work, so that one sync serves many
)

// Group is an instance at work: one goroutine owns the replica; all others hand it what they have and wait.
// It never waits for a peer or a client, only for its own disk.
type Group struct {
	control          *config.Control
	log              *logrus.Logger
	replica          *Replica
	transport        *transport
	trust            *credentials
	inbox            chan *pb.Message
	requests         chan func()
	events           chan func() // of the transport: never turned away
	snapshotsWritten chan snapshotWritten
	view             atomic.Pointer[View]
	done             chan struct{} // closed when the replica's goroutine ended
	stopping         chan struct{}
	stopOnce         sync.Once
	err              error
	meters           *metrics
	leader           *coordinator.Leader
	leaderTickedAt   time.Time
	stateLossLogged  bool // it was logged that the group has lost state

	puts     map[putKey][]*waiter
	waiting  int
	reads    map[uint64][]*waiter
	newReads []*waiter // reads that came this round
	readID   uint64
	ticks    uint64
}

// Faults are what the laboratory does to an instance on purpose; the zero value does nothing.
type Faults struct {
	OnStep               func(step string)   // hears of each step of Work
	WrapDisk             func(wal.FS) wal.FS // stands between the log and its folder
	DisabledPolicyGuards policy.Guard        // guards about nodes that are taken out
	DisabledZoneGuards   zones.Guard         // and about zones
	Level                int                 // of an older program; 0: this one's
}

// ConfigFrom gives what an operator's file means to a replica.
func ConfigFrom(c *config.Control) Config {
	bound := int64(c.DiskMB) << 20
	return Config{Name: c.Name, Peer: c.Peer, Listen: c.Listen, FoundGroup: c.Start == "new", ElectionTicks: c.Elect,
		SnapshotBytes: c.SnapMB << 20, Sizes: wal.Sizes{Segment: min(4<<20, bound/16), Bound: bound}, Random: randomID}
}

func randomID() uint64 {
	var raw [8]byte
	rand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint64(raw[:])
}

// Start opens the folder and begins to serve peers.
func Start(c *config.Control, log *logrus.Logger, faults Faults) (*Group, error) {
	dir, err := wal.MakeDir(c.Data)
	if err != nil {
		return nil, err
	}
	g := &Group{control: c, log: log, inbox: make(chan *pb.Message, maxInbox), requests: make(chan func(), maxRequests),
		events: make(chan func(), maxInbox), snapshotsWritten: make(chan snapshotWritten, 1), done: make(chan struct{}),
		stopping: make(chan struct{}), puts: map[putKey][]*waiter{}, reads: map[uint64][]*waiter{},
		leader: coordinator.NewLeader(faults.DisabledPolicyGuards), leaderTickedAt: time.Now()}
	g.meters = newMetrics(g)
	if g.trust, err = loadCredentials(c.Cert, c.Key, c.CA); err != nil {
		return nil, err
	}
	plan := ConfigFrom(c)
	plan.Logger, plan.OnStep, plan.DisabledPolicyGuards = raftLog{log}, faults.OnStep, faults.DisabledPolicyGuards
	plan.Level, plan.DisabledZoneGuards = faults.Level, faults.DisabledZoneGuards
	g.leader.DisabledZoneGuards = faults.DisabledZoneGuards
	var disk wal.FS = dir
	if faults.WrapDisk != nil {
		disk = faults.WrapDisk(dir)
	}
	g.replica, err = Open(timedFS{disk, g.meters}, plan)
	if err != nil {
		return nil, err
	}
	l, err := g.trust.listen(c.Bind)
	if err != nil {
		g.replica.Close()
		return nil, err
	}
	if f := g.replica.LogRepair; f.Torn != "" {
		log.WithFields(logrus.Fields{"at": f.Torn, "bytes": f.Bytes}).Warn("cut off a tail that was never durable")
	}
	g.transport = newTransport(g, g.trust, log, c.RateMB)
	g.publish()
	log.WithFields(logrus.Fields{logging.Node: c.Name, "id": fmt.Sprintf("%x", g.replica.ID()), "role": g.View().Role,
		logging.PolicyVersion: g.View().Version, logging.Index: g.View().LastIndex}).Info("instance is up")
	go g.transport.serve(l)
	go g.run()
	return g, nil
}

// View gives the state as last published.
func (g *Group) View() *View { return g.view.Load() }

// Done is closed when the instance has ended by itself or was stopped; Err tells why.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err gives what ended it, nil after Stop.
func (g *Group) Err() error { return g.err }

// Reload reads the certificates again.
func (g *Group) Reload() error { return g.trust.reload() }

// Stop hands the lead over if it has it, then ends.
func (g *Group) Stop(ctx context.Context) {
	if v := g.View(); v.Role == RoleLeader && len(v.Members) > 1 {
		g.enqueue(func() { g.replica.Transfer(0) })
		for v.Role == RoleLeader && ctx.Err() == nil {
			select {
			case <-v.Superseded:
			case <-ctx.Done():
			case <-g.done:
				return
			}
			v = g.View()
		}
	}
	g.stopOnce.Do(func() { close(g.stopping) })
	<-g.done
}
