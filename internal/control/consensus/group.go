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

// Bounds of an instance's queues. They limit memory when peers and clients send more than the disk can take.
const (
	maxInbox    = 1024 // messages of peers; while it is full, their connections are not read
	maxRequests = 1024 // requests of clients; further ones get ErrBusy
	maxWaiting  = 4096 // puts and reads without a result; further ones get ErrBusy
	// maxTasksPerRound bounds the queue entries handled between two ready cycles of raft: one sync serves many
	// requests, and none waits without bound.
	maxTasksPerRound = 512
)

// A log segment has maxSegmentBytes, or 1/minSegmentsOnDisk of a smaller disk limit, as the log is truncated by whole
// segments.
const (
	maxSegmentBytes   = 4 << 20
	minSegmentsOnDisk = 16
)

// Group runs one instance in a process. One goroutine, run, owns the replica and all fields below queues; other
// goroutines pass it functions and wait. It never blocks on a peer or a client, only on its own disk. It ends by Stop,
// or by an error after which the state on disk is unknown; see Done and Err.
type Group struct {
	control     *config.Control
	log         *logrus.Logger
	transport   *transport
	credentials *credentials
	metrics     *metrics
	view        atomic.Pointer[View]

	queues
	done     chan struct{} // closed when run has returned
	stopping chan struct{}
	stopOnce sync.Once
	err      error // set before done is closed

	replica             *Replica
	coordinator         *coordinator.Leader
	coordinatorTickedAt time.Time
	stateLossLogged     bool
	outOfContact        bool // of the view published last, at the time of publishing
	ticks               uint64
	waiters             waiters
}

// queues carry work from other goroutines to the one that owns the replica.
type queues struct {
	inbox           chan *pb.Message
	requests        chan func() // from clients
	events          chan func() // from the transport; never refused
	snapshotResults chan snapshotResult
}

// Faults configures fault injection for tests; the zero value injects none.
type Faults struct {
	OnStep               func(ReadyStep)     // called before each step of a ready cycle
	WrapDisk             func(wal.FS) wal.FS // wraps the file system under the log
	DisabledPolicyGuards policy.Guard
	DisabledZoneGuards   zones.Guard
	Level                int // feature level of an older program; 0: LatestLevel
}

// ConfigFrom returns the replica's configuration for an operator's control file.
func ConfigFrom(c *config.Control) Config {
	limit := int64(c.DiskMB) << 20
	return Config{
		Name:          c.Name,
		Peer:          c.Peer,
		Listen:        c.Listen,
		Bootstrap:     c.Start == "new",
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

// Start opens the instance's folder, serves its peers and returns the running instance. Errors are of the folder
// (wal.ErrLocked, *wal.Damage), of the certificates, and of the address.
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
	g.transport.spawn(func() { g.transport.serve(listener) }) // close waits for it, so the address is free afterwards
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
		done:                make(chan struct{}),
		stopping:            make(chan struct{}),
		waiters:             waiters{puts: map[putKey][]*waiter{}, reads: map[uint64][]*waiter{}},
		coordinator:         coordinator.NewLeader(faults.DisabledPolicyGuards),
		coordinatorTickedAt: time.Now(),
	}
	g.coordinator.DisabledZoneGuards = faults.DisabledZoneGuards
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
			Warn("truncated a torn tail of the log that was never durable")
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

// idText formats an instance's id for logs.
func idText(id uint64) string { return fmt.Sprintf("%x", id) }

// View returns the view published last.
func (g *Group) View() *View { return g.view.Load() }

// Done is closed when the instance has ended, by Stop or by an error.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err returns the error that ended the instance, nil after Stop. It is valid once Done is closed.
func (g *Group) Err() error { return g.err }

// Reload reads the certificate files again. After an error the previous certificates stay in use.
func (g *Group) Reload() error { return g.credentials.reload() }

// Stop ends the instance and returns once its folder is closed. A leader first transfers leadership, until ctx is done,
// so that writes continue without an election.
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
