package consensus

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
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

// Bounds of an instance's queues. They protect memory from peers and clients that send more than the disk takes; larger
// ones only delay ErrBusy and a peer's backpressure.
const (
	maxInbox    = 1024 // messages of peers; past it their connections are not read
	maxRequests = 1024 // clients' requests; past it they get ErrBusy
	maxWaiting  = 4096 // puts or reads without a result
	// maxTasksPerRound bounds what is taken from the queues before raft's work is done, so that one sync serves many
	// requests and none waits without end.
	maxTasksPerRound = 512
)

// maxSegmentBytes is the size of a log segment unless the disk limit is small: whole segments leave the disk, so a
// small limit needs small ones.
const (
	maxSegmentBytes   = 4 << 20
	minSegmentsOnDisk = 16
)

// Group is a running instance. One goroutine, run, owns the replica and all fields below queues; other goroutines
// hand it functions and wait. It never waits for a peer or a client, only for its own disk. It ends by Stop, or by an
// error after which what is on disk is not known; Done and Err tell.
type Group struct {
	control     *config.Control
	log         *logrus.Logger
	transport   *transport
	credentials *credentials
	metrics     *metrics
	view        atomic.Pointer[View]

	queues
	done     chan struct{} // closed when run has ended
	stopping chan struct{}
	stopOnce sync.Once
	err      error // set before done is closed

	replica         *Replica
	leader          *coordinator.Leader
	leaderTickedAt  time.Time
	stateLossLogged bool
	outOfContact    bool // as the last view was when it was published
	ticks           uint64
	waiters         waiters
}

// queues are how other goroutines reach the one that owns the replica.
type queues struct {
	inbox           chan *pb.Message
	requests        chan func() // of clients
	events          chan func() // of the transport; never refused
	snapshotResults chan snapshotResult
}

// Faults are what fault tests do to an instance on purpose; the zero value does nothing.
type Faults struct {
	OnStep               func(WorkStep)      // called before each step of Replica.Work
	WrapDisk             func(wal.FS) wal.FS // stands between the log and its folder
	DisabledPolicyGuards policy.Guard
	DisabledZoneGuards   zones.Guard
	Level                int // feature level of an older program; 0: this one's
}

// ConfigFrom gives what an operator's file means to a replica.
func ConfigFrom(c *config.Control) Config {
	limit := int64(c.DiskMB) << 20
	return Config{
		Name:          c.Name,
		Peer:          c.Peer,
		Listen:        c.Listen,
		FoundGroup:    c.Start == "new",
		ElectionTicks: c.ElectionTicks,
		SnapshotBytes: c.SnapshotMB << 20,
		Sizes:         wal.Sizes{SegmentBytes: min(maxSegmentBytes, limit/minSegmentsOnDisk), MaxBytes: limit},
		Random:        randomID,
	}
}

func randomID() uint64 {
	var raw [8]byte
	rand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint64(raw[:])
}

// Start opens the instance's folder, begins to serve its peers and returns the running instance. Errors are of the
// folder (wal.ErrLocked, *wal.Damage), of the certificates, and of the address.
func Start(c *config.Control, log *logrus.Logger, faults Faults) (*Group, error) {
	dir, err := wal.MakeDir(c.Data)
	if err != nil {
		return nil, err
	}
	g := newGroup(c, log, faults)
	if g.credentials, err = loadCredentials(c.Cert, c.Key, c.CA); err != nil {
		return nil, err
	}
	if err = g.openReplica(dir, faults); err != nil {
		return nil, err
	}
	listener, err := g.credentials.listen(c.Bind)
	if err != nil {
		return nil, errors.Join(err, g.replica.Close())
	}
	g.transport = newTransport(g, g.credentials, log, c.SnapshotRateMB)
	g.publish()
	g.logStart()
	g.transport.spawn(func() { g.transport.serve(listener) }) // close waits for it, so the address is free after it
	go g.run()
	return g, nil
}

func newGroup(c *config.Control, log *logrus.Logger, faults Faults) *Group {
	g := &Group{
		control: c,
		log:     log,
		queues: queues{
			inbox:           make(chan *pb.Message, maxInbox),
			requests:        make(chan func(), maxRequests),
			events:          make(chan func(), maxInbox),
			snapshotResults: make(chan snapshotResult, 1),
		},
		done:           make(chan struct{}),
		stopping:       make(chan struct{}),
		waiters:        waiters{puts: map[putKey][]*waiter{}, reads: map[uint64][]*waiter{}},
		leader:         coordinator.NewLeader(faults.DisabledPolicyGuards),
		leaderTickedAt: time.Now(),
	}
	g.leader.DisabledZoneGuards = faults.DisabledZoneGuards
	g.metrics = newMetrics(g)
	return g
}

func (g *Group) openReplica(dir wal.FS, faults Faults) (err error) {
	replicaConfig := ConfigFrom(g.control)
	replicaConfig.Logger = raftLogger{g.log}
	replicaConfig.OnStep = faults.OnStep
	replicaConfig.Level = faults.Level
	replicaConfig.DisabledPolicyGuards = faults.DisabledPolicyGuards
	replicaConfig.DisabledZoneGuards = faults.DisabledZoneGuards
	if faults.WrapDisk != nil {
		dir = faults.WrapDisk(dir)
	}
	g.replica, err = Open(timedFS{dir, g.metrics}, replicaConfig)
	return err
}

func (g *Group) logStart() {
	if repair := g.replica.LogRepair; repair.TornAt != "" {
		g.log.WithFields(logrus.Fields{logging.File: repair.TornAt, logging.Bytes: repair.TornBytes}).
			Warn("cut off a tail that was never durable")
	}
	v := g.View()
	g.log.WithFields(logrus.Fields{
		logging.Node:          g.control.Name,
		logging.Instance:      idText(g.replica.ID()),
		logging.Role:          v.Role,
		logging.Term:          v.Term,
		logging.Generation:    g.replica.stateMachine.fleet.Generation,
		logging.PolicyVersion: v.Version,
		logging.Index:         v.LastIndex,
	}).Info("instance is up")
}

// idText is how logs show an instance's id.
func idText(id uint64) string { return fmt.Sprintf("%x", id) }

// View returns the state as last published.
func (g *Group) View() *View { return g.view.Load() }

// Done is closed when the instance has ended, by Stop or by an error.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err returns what ended the instance, nil after Stop. It is valid once Done is closed.
func (g *Group) Err() error { return g.err }

// Reload reads the certificates again. After an error the old ones stay in use.
func (g *Group) Reload() error { return g.credentials.reload() }

// Stop transfers the lead if this instance has it, so that writes go on without an election, until ctx is done; then it
// ends the instance and returns once the folder is closed.
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
