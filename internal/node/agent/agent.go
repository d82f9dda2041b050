package agent

import (
	"encoding/binary"
	"hash/crc32"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// Milliseconds is a time of the node's monotonic clock, or a duration.
type Milliseconds = uint64

// farFuture is later than any time that occurs.
const farFuture Milliseconds = 1 << 60

// Config is the configuration of a node's agent.
type Config struct {
	Name, Zone, Address string
	ControlAddresses    []string // HOST:PORT of the control service's instances
	Nonce               string   // random, new at each start of the process
	JitterSeed          uint32
	DisabledGuards      policy.Guard // for fault tests only
}

// Agent is a node's view of its fleet. Use New to create one.
type Agent struct {
	config      Config
	jitter      jitter
	startedAt   Milliseconds
	incarnation int // number of the incarnation since the process started, from 0

	instances instances
	group     groupPosition
	lease     lease
	versions  versions
	zone      zone
	heartbeat heartbeat

	leaving         bool // the node shuts down: the next heartbeat ends the lease
	left            bool // the group has ended the lease: no more heartbeats are sent
	recordRequested bool // a tool that restores the group requested this node's record
}

// New returns the agent of a node that starts at now. stored is the record on its disk, nil without one.
func New(config Config, stored *Record, now Milliseconds) *Agent {
	a := &Agent{config: config, startedAt: now, jitter: jitter{seed: config.JitterSeed}}
	a.heartbeat.nextAt = now
	a.group.generation = firstGeneration
	a.versions.prepared = map[uint64]string{}
	a.instances = newInstances(config.ControlAddresses, &a.jitter)
	if stored != nil {
		a.group.restore(stored)
		a.versions.restore(stored)
		a.zone.order = stored.ZoneOrder
	}
	return a
}

// Config returns the configuration given to New.
func (a *Agent) Config() *Config { return &a.config }

// ActiveVersion is the policy version that the node serves under, 0 without one.
func (a *Agent) ActiveVersion() uint64 { return a.versions.active.Version }

// MinVersion is the latest decided version that the node knows of: it may serve under no older one.
// The node is fenced if it is newer than ActiveVersion.
func (a *Agent) MinVersion() uint64 { return a.versions.min }

// CommittedVersion is the latest committed version that this node knows of, 0 without one.
func (a *Agent) CommittedVersion() uint64 { return a.versions.committed.Version }

// LeaseID is the ID of the lease, 0 without one.
func (a *Agent) LeaseID() uint32 { return a.lease.id }

// LeaseExpiry is when the lease expires or has expired.
func (a *Agent) LeaseExpiry() Milliseconds { return a.lease.expiry }

// LeaseDuration is the duration of the last granted lease, 0 before the first one.
func (a *Agent) LeaseDuration() Milliseconds { return a.lease.duration }

// Cluster is the name of the last seen group, empty before the first response.
func (a *Agent) Cluster() string { return a.group.cluster }

// GroupContacted reports whether a response of the group was accepted since the process started.
func (a *Agent) GroupContacted() bool { return a.group.contacted }

// LastSeen is the last seen position of the group, from the stored record after a restart.
func (a *Agent) LastSeen() api.GroupPosition { return a.group.lastSeen }

// ControlAddress is the address of the instance that the next heartbeat goes to, empty if none is configured.
func (a *Agent) ControlAddress() string { return a.instances.address() }

// LastContacted is the address of the instance that the last heartbeat went to.
func (a *Agent) LastContacted() string { return a.heartbeat.sentTo }

// TakeRecordRequest reports whether a tool that restores the group requested this node's record, and clears the
// request.
func (a *Agent) TakeRecordRequest() bool {
	requested := a.recordRequested
	a.recordRequested = false
	return requested
}

// Leave has the next heartbeat end the lease, so that the group doesn't have to wait for its expiry.
func (a *Agent) Leave(now Milliseconds) {
	if a.lease.id != 0 && !a.leaving {
		a.leaving = true
		a.heartbeat.nextAt = now
	}
}

// jitter spreads the heartbeats and retries of a fleet. The same seed gives the same sequence, for simulations.
type jitter struct {
	seed  uint32
	draws uint32
}

func (j *jitter) draw() uint32 {
	j.draws++
	raw := binary.LittleEndian.AppendUint32(nil, j.seed)
	raw = binary.LittleEndian.AppendUint32(raw, j.draws)
	return crc32.ChecksumIEEE(raw)
}

// below returns a number in [0, bound); bound must be positive.
func (j *jitter) below(bound Milliseconds) Milliseconds { return uint64(j.draw()) % bound }
