package agent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// recordedDecisions are hashes over the decisions of agents on recorded inputs, by disabled guards, as of version
// 2a0a97e. A change of one is a change of behaviour.
var recordedDecisions = map[string]string{
	"all guards":          "3836aac7ff2b3d3f81d95a3031e36a408d43440f441e77c765a0ed232f817ccd",
	"without Fence":       "8410a29bf164201d843a3a437098acaa8202daf254a31b65b8f865a3b327e0b0",
	"without NoDowngrade": "d29f6a5a0ba88e9ac4af552c8987ede9281941d070531337913398b8e4417b81",
	"without Generation":  "909fd257774e30c66e26fb877d0ce2a48fac340ee782ea5adbb0de912ebf5bdf",
	"without all three":   "88eb957f6928abec65c9294a74fb4cfc9e0f98c75d5c837b0023417591fa3806",
}

// recordedGroup simulates a control group whose state changes at random, with faults.
type recordedGroup struct {
	seed                         uint64
	cluster                      string
	generation                   uint64
	predecessors                 []string
	term, index, clock           uint64
	decided, committed, proposed uint64
	leaseID                      uint32
	zoneEpoch                    uint64
	zoneShare                    int
	leaseMS                      uint64
	autonomous, hasZoneRules     bool
}

// intN returns a pseudo-random number in [0, n).
func (g *recordedGroup) intN(n uint64) uint64 {
	g.seed = g.seed*6364136223846793005 + 1442695040888963407
	return (g.seed >> 33) % n
}

func versionHash(version uint64) api.VersionHash {
	if version == 0 {
		return api.VersionHash{}
	}
	return api.VersionHash{Version: version, Hash: fmt.Sprint("hash of ", version)}
}

// advance changes the group's state at random.
func (g *recordedGroup) advance() {
	g.index += g.intN(4)
	g.clock += 200
	switch g.intN(40) {
	case 0, 1:
		if g.proposed == 0 {
			g.proposed = max(g.decided, g.committed) + 1
		}
	case 2, 3:
		if g.proposed != 0 {
			g.decided = g.proposed
		}
	case 4, 5, 6:
		if g.decided > g.committed {
			g.committed, g.proposed = g.decided, 0
		}
	case 7:
		g.term++
	case 8:
		g.proposed = 0
	case 9, 10:
		g.zoneEpoch++
		g.zoneShare = int(g.intN(257))
	case 11:
		g.autonomous = !g.autonomous
	case 12:
		g.leaseMS = 1000 + 1000*g.intN(8)
	case 13:
		g.leaseID++
	case 14:
		if g.intN(4) == 0 { // restored, maybe without the latest version
			g.predecessors = append(g.predecessors, g.cluster)
			g.generation++
			g.cluster = fmt.Sprint("group-", g.generation)
			g.index, g.zoneEpoch = 3, 1
			if g.intN(3) == 0 && g.decided > 1 {
				g.decided, g.committed, g.proposed = g.decided-1, min(g.committed, g.decided-1), 0
			}
		}
	case 15:
		g.hasZoneRules = !g.hasZoneRules
	}
}

// respond returns a response to a request, sometimes a faulty one.
func (g *recordedGroup) respond(request *api.HeartbeatRequest) api.HeartbeatResponse {
	r := api.HeartbeatResponse{Cluster: g.cluster, Generation: g.generation, Term: g.term, Index: g.index,
		EntryChecksum: g.index * 7, ClockMS: g.clock,
		DecidedVersion: g.decided, CommittedVersion: versionHash(g.committed), PrepareVersion: versionHash(g.proposed),
		Autonomous: g.autonomous, NextHeartbeatMS: 200 + g.intN(1500), LeaseID: g.leaseID}
	for _, group := range g.predecessors {
		if request.LastSeen == nil || request.LastSeen.Group == group {
			r.Predecessors = append(r.Predecessors, group)
		}
	}
	if g.hasZoneRules {
		r.Zone = &api.ZoneOrder{Epoch: g.zoneEpoch, Share: g.zoneShare, TTLMS: 5000}
	}
	if request.Renew || request.LeaseID == 0 || g.intN(5) == 0 {
		r.LeaseMS = g.leaseMS
	}
	switch g.intN(30) {
	case 0:
		r.Cluster, r.Predecessors = "another group", nil
	case 1:
		r.Cluster = ""
	case 2:
		r.CommittedVersion = versionHash(r.DecidedVersion + 1)
	case 3:
		r.Index -= min(r.Index, 20)
	case 4:
		r.Term = 0
	case 5:
		r.DecidedVersion, r.CommittedVersion = g.decided/2, versionHash(min(g.committed, g.decided/2))
	case 6, 7:
		r.EndedReason, r.RetryAfterMS, r.LeaseID, r.LeaseMS = "it counts no more", 100*g.intN(20), 0, 0
	case 8:
		r = api.HeartbeatResponse{CollectRecord: true}
	case 9:
		if r.Zone != nil {
			r.Zone.Epoch /= 2
		}
	case 10:
		r.LeaseMS = 0
	case 11:
		r.PrepareVersion.Hash = "another text"
	case 12:
		if len(g.predecessors) > 0 { // an instance of an earlier generation
			r.Cluster, r.Generation, r.Predecessors = g.predecessors[0], 1, nil
		}
	case 13:
		r.LeaseID, r.LeaseMS = 0, 0
	}
	return r
}

// storedRecord updates the record that a node with a disk stores.
func storedRecord(a *Agent, r Record) Record {
	seen := a.LastSeen()
	r.Cluster, r.MinVersion, r.ZoneOrder = a.Cluster(), a.MinVersion(), a.StoredZoneOrder()
	r.Generation, r.Term, r.Index, r.EntryChecksum = seen.Generation, seen.Term, seen.Index, seen.EntryChecksum
	if n := a.ActiveVersion(); n != r.ActiveVersion {
		r.ActiveVersion, r.ActiveHash, r.ActiveText = n, versionHash(n).Hash, "text"
	}
	return r
}

// agentState returns the agent's state and decisions at one time.
func agentState(a *Agent, now uint64) string {
	mayServe, reason := a.MayServe(now)
	lastSeen, _ := json.Marshal(a.LastSeen())
	order, _ := json.Marshal(a.ZoneOrder())
	storedOrder, _ := json.Marshal(a.StoredZoneOrder())
	fetch, committed, hasFetch := a.VersionToFetch()
	activate, hasActivate := a.VersionToActivate(now)
	return fmt.Sprintln(now, mayServe, reason, a.Autonomous(now), a.ActiveVersion(), a.MinVersion(), a.LeaseExpiry(),
		a.CommittedVersion(), a.LeaseID(), a.Cluster(), a.GroupContacted(),
		string(lastSeen), string(order), string(storedOrder), a.ControlAddress(), a.LastContacted(), a.LeaseDuration(),
		a.NextHeartbeat(), a.HeartbeatTimeout(), fetch.Version, fetch.Hash,
		committed, hasFetch, activate.Version, activate.Hash, hasActivate, a.IsPrepared(3), a.TakeRecordRequest())
}

// recordLives simulates four processes of a node against a group with faults and adds their decisions to a hash.
func recordLives(seed uint64, disabled policy.Guard, sum hash.Hash) (heartbeats, activated, rejected int) {
	g := &recordedGroup{seed: seed, cluster: "group-1", generation: 1, term: 1, index: 5, clock: 100,
		decided: 1, committed: 1, leaseID: 4, leaseMS: 4000, hasZoneRules: seed%2 == 0}
	now, record := uint64(5000), Record{}
	for life := range 4 {
		var stored *Record
		if life > 0 && g.intN(4) > 0 {
			stored = &record
		}
		a := New(Config{Name: "node", Zone: "zone", Address: "127.0.0.1:7",
			ControlAddresses: []string{"one", "two", "three"}, Nonce: fmt.Sprint("nonce-", life),
			JitterSeed: uint32(seed) + uint32(life), DisabledGuards: disabled}, stored, now)
		downUntil := uint64(0) // no instance responds before
		timedOut := uint64(0)  // sequence number of a heartbeat that timed out; 0: none
		for range 500 {
			now += g.intN(250)
			g.advance()
			fmt.Fprint(sum, agentState(a, now))
			if v, ok := a.VersionToActivate(now); ok {
				activated++
				a.MarkActive(now, v, g.autonomous)
				record = storedRecord(a, record)
			}
			if g.intN(60) == 0 {
				downUntil = now + g.intN(12_000)
			}
			a.ExpireHeartbeat(now)
			if request, sequence, due := a.Heartbeat(now); due {
				heartbeats++
				raw, _ := json.Marshal(&request)
				fmt.Fprintln(sum, string(raw), sequence)
				switch now += g.intN(120); {
				case now < downUntil && g.intN(3) > 0:
					timedOut = sequence // ExpireHeartbeat times it out
				case now < downUntil:
					a.HandleFailure(now, sequence)
				default:
					err := a.HandleResponse(now, sequence, g.respond(&request))
					if err != nil {
						rejected++
					}
					fmt.Fprintln(sum, err != nil)
				}
			} else if timedOut != 0 && g.intN(3) == 0 {
				fmt.Fprintln(sum, a.HandleResponse(now, timedOut, g.respond(&api.HeartbeatRequest{})) != nil)
				timedOut = 0
			}
			if v, committed, ok := a.VersionToFetch(); ok && g.intN(3) == 0 {
				switch g.intN(6) {
				case 0:
					a.RejectVersion(now, v.Version, "it can't be served under", true)
				case 1:
					if !committed {
						a.RejectVersion(now, v.Version, "it failed its trial", false)
					}
				default:
					a.MarkPrepared(now, v)
					if v.Version > record.ActiveVersion {
						record.PreparedVersion, record.PreparedText, record.PreparedHash,
							record.PreparedAutonomous = v.Version, "text", v.Hash, g.autonomous
					}
				}
			}
			switch g.intN(200) {
			case 0:
				a.DropPrepared(a.CommittedVersion())
			case 1:
				if life == 2 {
					a.Leave(now)
				}
			}
			record = storedRecord(a, record)
		}
		now += g.intN(20_000)
	}
	return heartbeats, activated, rejected
}

// TestRecordedDecisions guards against an unintended change of any decision of the agent, with all guards and without.
func TestRecordedDecisions(t *testing.T) {
	for name, disabled := range map[string]policy.Guard{"all guards": 0, "without Fence": policy.FenceOnExpiry,
		"without NoDowngrade": policy.NoDowngrade, "without Generation": policy.NewestGeneration,
		"without all three": policy.FenceOnExpiry | policy.NoDowngrade | policy.NewestGeneration} {
		sum, heartbeats, activated, rejected := sha256.New(), 0, 0, 0
		for seed := uint64(1); seed <= 12; seed++ {
			h, a, r := recordLives(seed, disabled, sum)
			heartbeats, activated, rejected = heartbeats+h, activated+a, rejected+r
		}
		if heartbeats < 1500 || activated < 50 || rejected < 100 {
			t.Errorf("%s: %d heartbeats, %d versions activated, %d responses rejected, want at least 1500, 50 and 100",
				name, heartbeats, activated, rejected)
		}
		if got := hex.EncodeToString(sum.Sum(nil)); got != recordedDecisions[name] {
			t.Errorf("%s: hash of decisions = %s, want %s", name, got, recordedDecisions[name])
		}
	}
}
