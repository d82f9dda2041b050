package server

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/crc32"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"umberwinch/internal/config"
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/overlay"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/shadow"
	"umberwinch/internal/node/zonegate"
	"umberwinch/internal/retryafter"
)

// Log messages of the fleet agent. Log readers and fault tests match them.
const (
	logFleetJoining          = "node joins its fleet"
	logNodeServes            = "node serves"
	logNodeFenced            = "node is fenced: all requests are rejected"
	logVersionActivated      = "policy version is active"
	logZoneOrder             = "zone order is in effect"
	logAutonomous            = "node serves autonomously, without the group"
	logAutonomousQuota       = "autonomous mode continues: the node changes its own quota"
	logColdStartQuota        = "cold start without the group: serving begins with a quota"
	logHeartbeatFailed       = "heartbeat failed"
	logResponseRejected      = "heartbeat response rejected"
	logGenerationRestored    = "a restored generation of the group is followed"
	logIncarnationEnded      = "the group ended this incarnation: the node joins again"
	logRecordRequested       = "the group is being restored: sending the node's record"
	logRecordNotSent         = "sending the node's record failed"
	logRecordNotStored       = "storing the node's record failed"
	logTempFilesNotRemoved   = "removing temporary record files failed"
	logStoredVersionUnusable = "a stored policy version is unusable"
	logFetchFailed           = "fetching a policy version failed"
	logVersionUnusable       = "a policy version conflicts with this node's settings"
	logTrialFailed           = "a policy version failed its trial"
	logTrialPassed           = "a policy version passed its trial"
)

// fleetHost is the fleet agent's view of the server, implemented by the loop. runOnLoop may be called by any goroutine,
// the other methods by the loop's goroutine alone.
type fleetHost interface {
	runOnLoop(f func())                  // queues f to be called by the loop's goroutine
	setFleetTimer(in agent.Milliseconds) // has tick called after this time at the latest
	refreshReadiness()                   // updates health checks and service discovery
	rejectQueued()                       // rejects the requests whose run has not started
	activate(version *overlay.Settings)  // switches the controller to a policy version
	runsInFlight() int                   // started runs, sent to the kernel or not
	kernelConnected() bool               // the kernel link is live
	poolsEnabled() bool                  // run slots are divided among handlers
	isDraining() bool                    // the process is shutting down
	limitLog() *logrus.Entry             // a rate-limited log entry, nil past the limit
	counts() *Counters                   // the server's counters
	platform() *settings.Startup         // start-up settings, with the active deployment
	isKnownKey(key string) bool          // the idempotency table has an entry for the key
	// retryAfter returns the next Retry-After time; retries are known to be rejected for the given time, both in ms.
	retryAfter(*retryafter.Spreader, agent.Milliseconds) int64
}

// fleetAgent connects the node to its fleet: it sends heartbeats to the control service, fetches, evaluates and
// activates policy versions, stores the node's record, and rejects requests while the node is fenced or over its zone's
// quota. internal/node/agent decides on lease and versions, internal/node/zonegate on quotas. Only the loop's goroutine
// uses it; goroutines for network, disk and trials return their results through runOnLoop. Without [fleet] in the
// operator's file it is nil, and the methods called for each request do nothing. Service discovery is another peer
// (discovery_link.go).
type fleetAgent struct {
	host   fleetHost
	clock  steadyClock
	log    *logrus.Logger
	config *config.Fleet
	agent  *agent.Agent
	gate   *zonegate.Gate
	meter  *zonegate.Meter

	heartbeats *controlClient
	probes     prober
	recording  *shadow.Recording
	versions   versionFetcher
	record     recordStore

	fenced      bool
	autonomous  bool
	retired     []bool             // by handler: the active version rejects its requests
	timerSetFor agent.Milliseconds // time for which the fleet timer is set
	retryTimes  retryafter.Spreader
}

// steadyClock returns the time of a clock that is never stepped: bootTime, or a test's clock.
type steadyClock func() agent.Milliseconds

// bootTime returns CLOCK_BOOTTIME in milliseconds, which is never stepped and includes the time that the machine is
// suspended. Guards against a lease that outlives its term across a suspend. If the system refuses that clock,
// CLOCK_MONOTONIC is read: see row "clock_gettime of CLOCK_BOOTTIME: any" in docs/design/failures.md.
func bootTime() agent.Milliseconds {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // can't fail
	}
	return uint64(t.Nano() / nanosecondsPerMillisecond)
}

const nanosecondsPerMillisecond = 1_000_000

// nonceBytes is the size of the random nonce that makes an incarnation's name unique.
const nonceBytes = 12

// agentConfig builds the agent's configuration from the operator's file and the start-up file. Name and address default
// to those of the start-up file.
func agentConfig(c *config.Fleet, startup *StartupFile) (agent.Config, error) {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // never fails
	cfg := agent.Config{Name: c.Name, Zone: c.Zone, Address: startup.Listen, ControlAddresses: c.ControlAddresses,
		Nonce: hex.EncodeToString(nonce[:]), JitterSeed: crc32.ChecksumIEEE(append(nonce[:], c.Name...))}
	if c.AdvertiseAddress != "" {
		cfg.Address = c.AdvertiseAddress
	}
	if cfg.Name == "" {
		cfg.Name = startup.Name
	}
	if !config.IsName(cfg.Name) {
		return cfg, fmt.Errorf("fleet.name: found %.50q, expected up to 40 letters, digits, '-', '_' and '.'", cfg.Name)
	}
	for _, name := range c.DisabledGuards {
		guard, err := policy.GuardNamed(name)
		if err != nil {
			return cfg, err
		}
		cfg.DisabledGuards |= guard
	}
	return cfg, nil
}

// newFleetAgent creates the fleet agent and loads the record in the node's folder. The node is fenced until the first
// tick.
func newFleetAgent(host fleetHost, log *logrus.Logger, c *config.Fleet, startup *StartupFile) (*fleetAgent, error) {
	handlers := len(host.platform().Deployment.Handlers)
	f := &fleetAgent{host: host, clock: bootTime, log: log, config: c, fenced: true, retired: make([]bool, handlers),
		recording: shadow.NewRecording(handlers), meter: zonegate.NewMeter(bootTime(), handlerWeights(host.platform())),
		heartbeats: newControlClient(), probes: prober{client: newControlClient()},
		versions: versionFetcher{client: newControlClient(), timeout: minFetchTimeout,
			available: map[uint64]fetchedVersion{}}}
	agentConf, err := agentConfig(c, startup)
	if err != nil {
		return nil, err
	}
	stored, err := f.loadStored()
	if err != nil {
		return nil, err
	}
	f.agent = agent.New(agentConf, stored, f.clock())
	f.loadStoredVersions()
	f.gate = zonegate.NewGate(handlers, agentConf.JitterSeed)
	f.gate.SetOrder(f.clock(), f.agent.ZoneOrder())
	log.WithFields(logrus.Fields{logging.Node: agentConf.Name, logging.Zone: agentConf.Zone,
		logging.Address: c.ControlAddresses}).
		Info(logFleetJoining)
	return f, nil
}

// tick activates a committed version, updates fencing, and starts heartbeats, fetches and writes that are due. The loop
// calls it at the begin of each round and before the round's decisions. Guards against decisions under an expired
// lease.
func (f *fleetAgent) tick() {
	if f == nil {
		return
	}
	now := f.clock()
	if version, ok := f.agent.VersionToActivate(now); ok {
		f.activate(now, version)
	}
	ok, reason := f.agent.MayServe(now)
	if f.host.isDraining() {
		f.agent.Leave(now)
	}
	f.updateFencing(ok, reason)
	f.updateAutonomous(now, ok)
	f.storePending(now)
	f.sendHeartbeat(now)
	f.fetchPending(now)
	f.setTimer(now)
}

// maxTickInterval bounds the time between ticks, as the loop's clock may run slower than the fleet agent's.
const maxTickInterval agent.Milliseconds = 1000

// setTimer sets the fleet timer to the next heartbeat, lease expiry, fetch or write that is due.
func (f *fleetAgent) setTimer(now agent.Milliseconds) {
	at := f.agent.NextHeartbeat()
	for _, due := range []agent.Milliseconds{f.agent.LeaseExpiry(), f.versions.retryAt, f.record.nextRetry()} {
		if due > now {
			at = min(at, due)
		}
	}
	at = min(max(at, now+1), now+maxTickInterval)
	if f.timerSetFor <= now || at < f.timerSetFor {
		f.timerSetFor = at
		f.host.setFleetTimer(at - now)
	}
}

// leaseFields returns the log fields of the lease: its id, the active version and the group's generation.
func (f *fleetAgent) leaseFields() logrus.Fields {
	return logrus.Fields{logging.LeaseID: f.agent.LeaseID(), logging.PolicyVersion: f.agent.ActiveVersion(),
		logging.Generation: f.agent.LastSeen().Generation}
}

// shareFields returns the log fields of the zone's quota: the zone epoch and the share.
func (f *fleetAgent) shareFields() logrus.Fields {
	return logrus.Fields{logging.Epoch: f.gate.Epoch(), logging.Share: f.gate.Share()}
}

// handlerWeights returns the priority weight of each handler.
func handlerWeights(p *settings.Startup) []float64 {
	weights := make([]float64, len(p.Deployment.Handlers))
	for i := range p.Deployment.Handlers {
		weights[i] = p.Deployment.Handlers[i].Value
	}
	return weights
}

// setZoneOrder applies the order for the node's zone. If the order evacuates the zone, the queued requests are rejected
// and the node reports itself as not ready.
func (f *fleetAgent) setZoneOrder(now agent.Milliseconds, order *api.ZoneOrder) {
	wasEvacuated := f.gate.Evacuated()
	if !f.gate.SetOrder(now, order) {
		return
	}
	f.log.WithFields(f.shareFields()).Info(logZoneOrder)
	if evacuated := f.gate.Evacuated(); evacuated != wasEvacuated {
		f.host.refreshReadiness()
		if evacuated {
			f.host.rejectQueued()
		}
	}
}
