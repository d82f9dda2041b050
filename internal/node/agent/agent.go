package agent

import (
	"encoding/binary"
	"hash/crc32"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// Milliseconds is a time of the node's steady clock, or a duration.
type Milliseconds = uint64

// farFuture is later than any time that occurs.
const farFuture Milliseconds = 1 << 60

// Config is what a node's start gives the agent.
type Config struct {
	Name, Zone, Address string
	ControlAddresses    []string // HOST:PORT of the control service's instances
	Nonce               string   // drawn anew at each start of the process
	JitterSeed          uint32
	DisabledGuards      policy.Guard // for fault tests alone
}

// Agent is a node's view of its fleet and what it decides by it. Its zero value is of no use: see New.
type Agent struct {
	config      Config
	jitter      jitter
	startedAt   Milliseconds
	incarnation int // counts from 0 in each start of the process

	instances instances
	group     groupPosition
	lease     lease
	versions  versions
	zone      zone
	heartbeat heartbeat

	leaving         bool // the node shuts down and wants its lease ended
	left            bool // the group has heard that: nothing more is sent
	recordRequested bool // an operator restores the group and wants this node's record
}

// New begins the view of a node that starts at now. stored is the record that its disk had, nil without one.
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

// Config gives what New was given.
func (a *Agent) Config() *Config { return &a.config }

// ActiveVersion is the policy version that the node serves under, 0 without one.
func (a *Agent) ActiveVersion() uint64 { return a.versions.active.Version }

// MinVersion is the oldest version that the node may serve under. If it is newer than ActiveVersion the node is fenced.
func (a *Agent) MinVersion() uint64 { return a.versions.min }

// CommittedVersion is the version that the group has committed, as far as this node was told; 0: none.
func (a *Agent) CommittedVersion() uint64 { return a.versions.committed.Version }

// LeaseID names the lease, 0 without one.
func (a *Agent) LeaseID() uint32 { return a.lease.id }

// LeaseExpiry is when the lease ends, or has ended.
func (a *Agent) LeaseExpiry() Milliseconds { return a.lease.expiry }

// LeaseDuration is how long a lease lasts, 0 before the first one.
func (a *Agent) LeaseDuration() Milliseconds { return a.lease.duration }

// Cluster names the group, as seen last; empty before.
func (a *Agent) Cluster() string { return a.group.cluster }

// GroupContacted tells whether a response of the group was accepted since the process started.
func (a *Agent) GroupContacted() bool { return a.group.contacted }

// LastSeen gives the position of the group as seen last, before a restart too.
func (a *Agent) LastSeen() api.GroupPosition { return a.group.lastSeen }

// ControlAddress is the instance that the next heartbeat goes to, empty where none is configured.
func (a *Agent) ControlAddress() string { return a.instances.address() }

// LastContacted is the instance that the last heartbeat went to.
func (a *Agent) LastContacted() string { return a.heartbeat.sentTo }

// TakeRecordRequest tells once that whoever answered the last heartbeat restores the group and wants this node's
// record.
func (a *Agent) TakeRecordRequest() bool {
	requested := a.recordRequested
	a.recordRequested = false
	return requested
}

// Leave has the next heartbeat end the lease, so that the group need not wait for it to expire.
func (a *Agent) Leave(now Milliseconds) {
	if a.lease.id != 0 && !a.leaving {
		a.leaving = true
		a.heartbeat.nextAt = now
	}
}

// jitter spreads the heartbeats and retries of a fleet. It gives the same numbers for the same seed, so that a
// simulation can be repeated.
type jitter struct {
	seed  uint32
	draws uint32
}

// draw gives the next number.
func (j *jitter) draw() uint32 {
	j.draws++
	raw := binary.LittleEndian.AppendUint32(nil, j.seed)
	raw = binary.LittleEndian.AppendUint32(raw, j.draws)
	return crc32.ChecksumIEEE(raw)
}

// below gives a number from 0 up to a bound above 0, which is left out.
func (j *jitter) below(bound Milliseconds) Milliseconds { return uint64(j.draw()) % bound }
