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

// pinnedDecisions are hashes over all that a node's agent decided on recorded inputs, as version 2a0a97e decided it.
// They stay as they are: a change means that the agent decides otherwise.
var pinnedDecisions = map[string]string{
	"all guards":               "3836aac7ff2b3d3f81d95a3031e36a408d43440f441e77c765a0ed232f817ccd",
	"without fencing":          "8410a29bf164201d843a3a437098acaa8202daf254a31b65b8f865a3b327e0b0",
	"without the way back":     "d29f6a5a0ba88e9ac4af552c8987ede9281941d070531337913398b8e4417b81",
	"without the generations":  "909fd257774e30c66e26fb877d0ce2a48fac340ee782ea5adbb0de912ebf5bdf",
	"without any of the three": "88eb957f6928abec65c9294a74fb4cfc9e0f98c75d5c837b0023417591fa3806",
}

// pinnedGroup stands in for the control service: what it would answer, which goes on by chance, and its faults.
type pinnedGroup struct {
	seed                     uint64
	cluster                  string
	generation               uint64
	before                   []string
	term, index, clock       uint64
	need, force, prepare     uint64
	lease                    uint32
	epoch                    uint64
	share                    int
	leaseMS                  uint64
	alone, decidesAboutZones bool
}

// chance draws from 0 up to n.
func (g *pinnedGroup) chance(n uint64) uint64 {
	g.seed = g.seed*6364136223846793005 + 1442695040888963407
	return (g.seed >> 33) % n
}

func pinnedVersion(version uint64) api.VersionHash {
	if version == 0 {
		return api.VersionHash{}
	}
	return api.VersionHash{Version: version, Hash: fmt.Sprint("hash of ", version)}
}

// goesOn changes the group's state.
func (g *pinnedGroup) goesOn() {
	g.index += g.chance(4)
	g.clock += 200
	switch g.chance(40) {
	case 0, 1:
		if g.prepare == 0 {
			g.prepare = max(g.need, g.force) + 1
		}
	case 2, 3:
		if g.prepare != 0 {
			g.need = g.prepare
		}
	case 4, 5, 6:
		if g.need > g.force {
			g.force, g.prepare = g.need, 0
		}
	case 7:
		g.term++
	case 8:
		g.prepare = 0
	case 9, 10:
		g.epoch++
		g.share = int(g.chance(257))
	case 11:
		g.alone = !g.alone
	case 12:
		g.leaseMS = 1000 + 1000*g.chance(8)
	case 13:
		g.lease++
	case 14:
		if g.chance(4) == 0 { // restored: a later generation, which may have lost the last version
			g.before = append(g.before, g.cluster)
			g.generation++
			g.cluster = fmt.Sprint("group-", g.generation)
			g.index, g.epoch = 3, 1
			if g.chance(3) == 0 && g.need > 1 {
				g.need, g.force, g.prepare = g.need-1, min(g.force, g.need-1), 0
			}
		}
	case 15:
		g.decidesAboutZones = !g.decidesAboutZones
	}
}

// answers gives an answer to what was asked, sometimes one that can't be believed.
func (g *pinnedGroup) answers(ask *api.HeartbeatRequest) api.HeartbeatResponse {
	t := api.HeartbeatResponse{Cluster: g.cluster, Generation: g.generation, Term: g.term, Index: g.index,
		EntryChecksum: g.index * 7, ClockMS: g.clock,
		DecidedVersion: g.need, CommittedVersion: pinnedVersion(g.force), PrepareVersion: pinnedVersion(g.prepare),
		Autonomous: g.alone, NextHeartbeatMS: 200 + g.chance(1500),
		LeaseID: g.lease}
	for _, b := range g.before {
		if ask.LastSeen == nil || ask.LastSeen.Group == b {
			t.Predecessors = append(t.Predecessors, b)
		}
	}
	if g.decidesAboutZones {
		t.Zone = &api.ZoneOrder{Epoch: g.epoch, Share: g.share, TTLMS: 5000}
	}
	if ask.Renew || ask.LeaseID == 0 || g.chance(5) == 0 {
		t.LeaseMS = g.leaseMS
	}
	switch g.chance(30) {
	case 0:
		t.Cluster, t.Predecessors = "another group", nil
	case 1:
		t.Cluster = ""
	case 2:
		t.CommittedVersion = pinnedVersion(t.DecidedVersion + 1)
	case 3:
		t.Index -= min(t.Index, 20)
	case 4:
		t.Term = 0
	case 5:
		t.DecidedVersion, t.CommittedVersion = g.need/2, pinnedVersion(min(g.force, g.need/2))
	case 6, 7:
		t.EndedReason, t.RetryAfterMS, t.LeaseID, t.LeaseMS = "it counts no more", 100*g.chance(20), 0, 0
	case 8:
		t = api.HeartbeatResponse{CollectRecord: true}
	case 9:
		if t.Zone != nil {
			t.Zone.Epoch /= 2
		}
	case 10:
		t.LeaseMS = 0
	case 11:
		t.PrepareVersion.Hash = "another text"
	case 12:
		if len(g.before) > 0 { // an instance of an earlier generation
			t.Cluster, t.Generation, t.Predecessors = g.before[0], 1, nil
		}
	case 13:
		t.LeaseID, t.LeaseMS = 0, 0
	}
	return t
}

// pinnedRecord is what a node with a disk would have on it now.
func pinnedRecord(m *Agent, r Record) Record {
	told := m.LastSeen()
	r.Cluster, r.MinVersion, r.ZoneOrder = m.Cluster(), m.MinVersion(), m.StoredZoneOrder()
	r.Generation, r.Term, r.Index, r.EntryChecksum = told.Generation, told.Term, told.Index, told.EntryChecksum
	if n := m.ActiveVersion(); n != r.ActiveVersion {
		r.ActiveVersion, r.ActiveHash, r.ActiveText = n, pinnedVersion(n).Hash, "text"
	}
	return r
}

// pinnedLine is all that the agent says at one time.
func pinnedLine(m *Agent, now uint64) string {
	may, why := m.MayServe(now)
	told, _ := json.Marshal(m.LastSeen())
	zone, _ := json.Marshal(m.ZoneOrder())
	kept, _ := json.Marshal(m.StoredZoneOrder())
	want, decided, wanted := m.VersionToFetch()
	take, takes := m.VersionToActivate(now)
	return fmt.Sprintln(now, may, why, m.Autonomous(now), m.ActiveVersion(), m.MinVersion(), m.LeaseExpiry(),
		m.CommittedVersion(), m.LeaseID(), m.Cluster(), m.GroupContacted(),
		string(told), string(zone), string(kept), m.ControlAddress(), m.LastContacted(), m.LeaseDuration(),
		m.NextHeartbeat(), m.HeartbeatTimeout(), want.Version, want.Hash,
		decided, wanted, take.Version, take.Hash, takes, m.IsPrepared(3), m.TakeRecordRequest())
}

// pinnedLives plays some lives of a node against a group with faults, and puts all that it decides into a hash.
func pinnedLives(seed uint64, without policy.Guard, sum hash.Hash) (asked, taken, refused int) {
	g := &pinnedGroup{seed: seed, cluster: "group-1", generation: 1, term: 1, index: 5, clock: 100, need: 1, force: 1,
		lease:   4,
		leaseMS: 4000, decidesAboutZones: seed%2 == 0}
	now, record := uint64(5000), Record{}
	for life := range 4 {
		var kept *Record
		if life > 0 && g.chance(4) > 0 {
			kept = &record
		}
		m := New(Config{Name: "node", Zone: "zone", Address: "127.0.0.1:7",
			ControlAddresses: []string{"one", "two", "three"},
			Nonce:            fmt.Sprint("nonce-", life), JitterSeed: uint32(seed) + uint32(life),
			DisabledGuards: without},
			kept, now)
		silent := uint64(0) // until then no instance answers
		late := uint64(0)   // a heartbeat that was given up
		for range 500 {
			now += g.chance(250)
			g.goesOn()
			fmt.Fprint(sum, pinnedLine(m, now))
			if v, ok := m.VersionToActivate(now); ok {
				taken++
				m.MarkActive(now, v, g.alone)
				record = pinnedRecord(m, record)
			}
			if g.chance(60) == 0 {
				silent = now + g.chance(12_000)
			}
			m.ExpireHeartbeat(now)
			if ask, no, due := m.Heartbeat(now); due {
				asked++
				raw, _ := json.Marshal(&ask)
				fmt.Fprintln(sum, string(raw), no)
				switch now += g.chance(120); {
				case now < silent && g.chance(3) > 0:
					late = no // ExpireHeartbeat gives it up
				case now < silent:
					m.HandleFailure(now, no)
				default:
					err := m.HandleResponse(now, no, g.answers(&ask))
					if err != nil {
						refused++
					}
					fmt.Fprintln(sum, err != nil)
				}
			} else if late != 0 && g.chance(3) == 0 {
				fmt.Fprintln(sum, m.HandleResponse(now, late, g.answers(&api.HeartbeatRequest{})) != nil)
				late = 0
			}
			if v, decided, ok := m.VersionToFetch(); ok && g.chance(3) == 0 {
				switch g.chance(6) {
				case 0:
					m.Reject(now, v.Version, "it can't be served under", true)
				case 1:
					if !decided {
						m.Reject(now, v.Version, "it failed its trial", false)
					}
				default:
					m.MarkPrepared(now, v)
					if v.Version > record.ActiveVersion {
						record.PreparedVersion, record.PreparedText, record.PreparedHash,
							record.PreparedAutonomous = v.Version, "text", v.Hash, g.alone
					}
				}
			}
			switch g.chance(200) {
			case 0:
				m.DropPrepared(m.CommittedVersion())
			case 1:
				if life == 2 {
					m.Leave(now)
				}
			}
			record = pinnedRecord(m, record)
		}
		now += g.chance(20_000)
	}
	return asked, taken, refused
}

// TestPinnedDecisions holds the agent to what it decided as version 2a0a97e.
func TestPinnedDecisions(t *testing.T) {
	for what, without := range map[string]policy.Guard{"all guards": 0, "without fencing": policy.Fence,
		"without the way back": policy.NoDowngrade, "without the generations": policy.Generation,
		"without any of the three": policy.Fence | policy.NoDowngrade | policy.Generation} {
		sum, asked, taken, refused := sha256.New(), 0, 0, 0
		for seed := uint64(1); seed <= 12; seed++ {
			a, k, r := pinnedLives(seed, without, sum)
			asked, taken, refused = asked+a, taken+k, refused+r
		}
		if asked < 1500 || taken < 50 || refused < 100 {
			t.Errorf("%s: %d heartbeats, %d versions activated, %d responses rejected: too few to hold anything to",
				what, asked, taken, refused)
		}
		if got := hex.EncodeToString(sum.Sum(nil)); got != pinnedDecisions[what] {
			t.Errorf("%s: decisions have the hash %s, expected %s", what, got, pinnedDecisions[what])
		}
	}
}
