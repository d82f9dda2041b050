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

// Messages of the fleet agent. Log readers, fault tests among them, know the lines by them.
const (
	logFleetJoining          = "node joins its fleet"
	logNodeServes            = "node serves"
	logNodeFenced            = "node is fenced: all requests are rejected"
	logVersionActivated      = "policy version is active"
	logZoneOrder             = "zone order is in effect"
	logAutonomous            = "node serves autonomously, without the group"
	logAutonomousQuota       = "autonomous for long: quota by the node's own rule"
	logColdStartQuota        = "cold start without the group: serving begins with a quota"
	logHeartbeatFailed       = "heartbeat failed"
	logResponseRejected      = "heartbeat response rejected"
	logGenerationRestored    = "a restored generation of the group is followed"
	logIncarnationEnded      = "the group ended this incarnation: the node joins anew"
	logRecordRequested       = "the group is being restored: the node's record is sent"
	logRecordNotSent         = "the node's record did not arrive"
	logRecordNotStored       = "the node's record can't be stored"
	logTempFilesNotRemoved   = "unfinished records of an earlier process stay"
	logStoredVersionUnusable = "a stored policy version can't be used"
	logFetchFailed           = "a policy version can't be fetched"
	logVersionUnusable       = "a policy version does not fit this node"
	logTrialFailed           = "a policy version failed its trial"
	logTrialPassed           = "a policy version passed its trial"
)

// fleetHost is what the fleet agent needs of the server around it. runOnLoop may be called by any goroutine, the rest
// by the loop's alone.
type fleetHost interface {
	runOnLoop(f func())                  // f is called by the loop's goroutine, soon
	setFleetTimer(in agent.Milliseconds) // tick is called by then at the latest
	refreshReadiness()                   // health checks and discovery are told anew
	rejectQueued()                       // requests in hand that never ran are rejected
	activate(version *overlay.Settings)  // the controller decides under another version from now on
	runsInFlight() int                   // that the kernel carries out
	kernelConnected() bool               // and answers
	poolsEnabled() bool                  // run slots are set apart by handler
	isDraining() bool                    // the process is about to end
	limitLog() *logrus.Entry             // for lines that may come often: nil where too many came
	counts() *Counters                   // of the server
	platform() *settings.Startup         // start-up settings, with the active deployment
	isKnownKey(key string) bool          // the idempotency table has it
	retryAfter(*retryafter.Spreader, agent.Milliseconds) int64
}

// fleetAgent is the node's part in a fleet: it carries heartbeats to the control service, fetches, tries and
// activates policy versions, stores the node's record, and rejects requests while the node is fenced or over its
// zone's quota. What is decided about lease and versions is internal/node/agent's, about quotas
// internal/node/zonegate's. It is used by the loop's goroutine; network, disk and trials are on others, which hand
// their results back by runOnLoop. Without [fleet] in the operator's file the loop has none: the methods that the
// loop calls on the way of a request do nothing on a nil agent.
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
	retired     []bool             // by handler: the active version takes no new request of it
	timerSetFor agent.Milliseconds // the timer is set for then
	retryTimes  retryafter.Spreader
}

// steadyClock gives the present time of a clock that nobody sets: bootTime, or a test's own.
type steadyClock func() agent.Milliseconds

// bootTime is a time of the clock that nobody sets and that runs on while the process is stopped or the machine sleeps.
// Guards against a lease that counts on over a time that this process did not see. Where the system refuses that clock
// the other stands in: see row "clock_gettime of CLOCK_BOOTTIME: any" in docs/design/failures.md.
func bootTime() agent.Milliseconds {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // always there
	}
	return uint64(t.Nano() / nanosecondsPerMillisecond)
}

const nanosecondsPerMillisecond = 1_000_000

// nonceBytes make an incarnation's name unlike any other.
const nonceBytes = 12

// agentConfig is what the agent is told of this node.
func agentConfig(c *config.Fleet, startup *Node) (agent.Config, error) {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // never fails
	out := agent.Config{Name: c.Name, Zone: c.Zone, Address: startup.Listen, ControlAddresses: c.Control,
		Nonce: hex.EncodeToString(nonce[:]), JitterSeed: crc32.ChecksumIEEE(append(nonce[:], c.Name...))}
	if c.At != "" {
		out.Address = c.At
	}
	if out.Name == "" {
		out.Name = startup.Name
	}
	if !config.IsName(out.Name) {
		return out, fmt.Errorf("fleet.name: found %.50q, expected up to 40 letters, digits, '-', '_' and '.'", out.Name)
	}
	for _, name := range c.DisabledGuards {
		guard, err := policy.GuardNamed(name)
		if err != nil {
			return out, err
		}
		out.DisabledGuards |= guard
	}
	return out, nil
}

// newFleetAgent readies the node's part in a fleet with what its folder has. It is fenced until the first tick.
func newFleetAgent(host fleetHost, log *logrus.Logger, c *config.Fleet, startup *Node) (*fleetAgent, error) {
	handlers := len(host.platform().Deployment.Handlers)
	f := &fleetAgent{host: host, clock: bootTime, log: log, config: c, fenced: true, retired: make([]bool, handlers),
		recording: shadow.NewRecording(handlers), meter: zonegate.NewMeter(bootTime(), handlerWeights(host.platform())),
		heartbeats: newControlClient(), probes: prober{client: newControlClient()},
		versions: versionFetcher{client: newControlClient(), timeout: minFetchTimeout,
			available: map[uint64]fetchedVersion{}}}
	about, err := agentConfig(c, startup)
	if err != nil {
		return nil, err
	}
	stored, err := f.loadStored()
	if err != nil {
		return nil, err
	}
	f.agent = agent.New(about, stored, f.clock())
	f.loadStoredVersions()
	f.gate = zonegate.NewGate(handlers, about.JitterSeed)
	f.gate.SetOrder(f.clock(), f.agent.ZoneOrder())
	log.WithFields(logrus.Fields{logging.Node: about.Name, logging.Zone: about.Zone, logging.Address: c.Control}).
		Info(logFleetJoining)
	return f, nil
}

// tick looks at the time and at what came. The loop calls it as a round begins and before its decisions, so that
// nothing is decided on a lease that has expired.
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

// maxTickInterval is how long at most passes until the next tick: a clock that does not run evenly costs no more.
const maxTickInterval agent.Milliseconds = 1000

// setTimer has the loop call tick again when something is due.
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

// leaseFields are those of a line about whether the node serves.
func (f *fleetAgent) leaseFields() logrus.Fields {
	return logrus.Fields{logging.LeaseID: f.agent.LeaseID(), logging.PolicyVersion: f.agent.ActiveVersion(),
		logging.Generation: f.agent.LastSeen().Generation}
}

// shareFields are those of a line about the zone's quota.
func (f *fleetAgent) shareFields() logrus.Fields {
	return logrus.Fields{logging.Epoch: f.gate.Epoch(), logging.Share: f.gate.Share()}
}

// handlerWeights gives the priority weight of each handler.
func handlerWeights(p *settings.Startup) []float64 {
	out := make([]float64, len(p.Deployment.Handlers))
	for i := range p.Deployment.Handlers {
		out[i] = p.Deployment.Handlers[i].Value
	}
	return out
}

// setZoneOrder takes the order of the node's zone. A node whose zone is evacuated rejects what it has queued, and its
// health says so.
func (f *fleetAgent) setZoneOrder(now agent.Milliseconds, order *api.ZoneOrder) {
	was := f.gate.Evacuated()
	if !f.gate.SetOrder(now, order) {
		return
	}
	f.log.WithFields(f.shareFields()).Info(logZoneOrder)
	if evacuated := f.gate.Evacuated(); evacuated != was {
		f.host.refreshReadiness()
		if evacuated {
			f.host.rejectQueued()
		}
	}
}
