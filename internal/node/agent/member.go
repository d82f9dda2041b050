// Package agent is a node's side of the fleet: the lease it holds, what it was told, the version it serves under
// and the next one, and whether it may serve at all. It decides; whoever drives it has the clock, the sockets and
// the disk. Now is always ms of a clock that goes on while the process is stopped and is not set by anybody.
//
// A node acts on what it was told only while it can prove that it still holds: its lease runs from the sending of
// the asking that brought it. Without that it serves nothing (fenced), or goes on under what it serves where the
// version in force says so (alone). It never goes back to an older version, and serves none that it was not told
// is in force.
package agent

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
)

// Times, in ms.
const (
	askLeast   = 50     // between two askings
	askWithin  = 1500   // for an answer; a beat goes out each second at least, and a commit takes some ms
	askLittle  = 800    // the same under a short lease, so that one lost asking does not cost it
	backFirst  = 100    // first wait before an address is tried again, which doubles
	backMost   = 3000   // and its bound
	lieBack    = 60_000 // for one that said what can't be
	aloneAfter = 3000   // of nobody answering before a start goes on alone by its record
)

// never is later than any time.
const never = uint64(1) << 60

// Config is what a node is told at its start.
type Config struct {
	Name, Zone, Address string
	ControlAddresses    []string // addresses of instances
	Nonce               string   // drawn anew at each start
	JitterSeed          uint32   // of the jitter
	DisabledGuards      policy.Guard
}

// Record is what a node with a disk keeps.
type Record struct {
	Cluster          string `json:"cluster"`
	Generation       uint64 `json:"generation,omitempty"`
	Term             uint64 `json:"term,omitempty"` // as heard last when this was written
	Index            uint64 `json:"index,omitempty"`
	EntryChecksum    uint64 `json:"sum,omitempty"`
	ActiveVersion    uint64 `json:"version"` // served under last
	ActiveHash       string `json:"hash"`
	ActiveText       string `json:"text"`
	ActiveAutonomous bool   `json:"alone"` // that version's rule
	MinVersion       uint64 `json:"floor"`
	PreparedVersion  uint64 `json:"prepared"`
	PreparedText     string `json:"next"` // text of the prepared one
	PreparedHash     string `json:"next_hash"`
	// PreparedAutonomous is the prepared one's rule.
	PreparedAutonomous bool `json:"next_alone"`
	// ZoneOrder is the order of its zone that it was told last.
	ZoneOrder *api.ZoneOrder `json:"zone,omitempty"`
}

// control is one address of the group.
type control struct {
	addr  string
	wait  uint64
	again uint64 // not before then
}

// Agent is a node's state.
type Agent struct {
	plan    Config
	at      int // address in use
	ctl     []control
	draws   uint32
	starts  int // incarnations of this life
	cluster string
	gen     uint64 // of the group; what an earlier one says counts no more
	term    uint64
	index   uint64
	echo    uint64 // the group's time, as told last
	lease   uint32
	until   uint64 // it may act on the lease before then
	length  uint64 // of the lease
	floor   uint64 // nothing older may be served under
	force   api.VersionHash
	next    api.VersionHash // being prepared
	cur     uint64          // served under
	alone   bool            // cur's rule
	zone    *api.ZoneOrder
	foreign bool   // zone is of an earlier generation: acted on, and its epoch means nothing here
	due     uint64 // when to ask next
	renewAt uint64
	asking  bool
	asked   string
	askNo   uint64 // counts askings: an answer names the one it is for
	sent    uint64
	renews  bool // the asking that is out wants more time
	byes    bool // or says goodbye
	born    uint64
	met     bool // the group was heard in this life
	start   bool // may begin alone by its record
	kept    api.VersionHash
	told    api.GroupPosition // where the group stood when it was heard last
	hash    string            // of cur
	gather  bool              // whoever answered restores the group, and asks what this node holds

	ready   map[uint64]string // versions that can be taken over, with their hashes; two at most
	refused uint64
	why     string
	never   bool // refused for what the platform says: taken neither when it is in force
	bye     bool
	left    bool // and the group has heard it: nothing is asked any more
}

// New begins a life. kept is what the disk held, nil without.
func New(plan Config, kept *Record, now uint64) *Agent {
	m := &Agent{plan: plan, born: now, due: now, gen: 1, ready: map[uint64]string{}}
	for _, a := range plan.ControlAddresses {
		m.ctl = append(m.ctl, control{addr: a})
	}
	m.at = int(m.draw() % uint32(max(1, len(m.ctl)))) // so that a fleet does not begin at one
	if kept != nil {
		m.cluster, m.floor, m.zone, m.gen = kept.Cluster, kept.MinVersion, kept.ZoneOrder, max(1, kept.Generation)
		m.told = api.GroupPosition{Group: m.cluster, Generation: m.gen, Term: kept.Term, Index: kept.Index, EntryChecksum: kept.EntryChecksum}
		if kept.ActiveVersion > 0 {
			m.kept = api.VersionHash{Version: kept.ActiveVersion, Hash: kept.ActiveHash}
			m.ready[kept.ActiveVersion] = kept.ActiveHash
			m.start = kept.ActiveAutonomous
		}
		// Decided and prepared, and killed before it was noted as taken over: in force, as a change under a policy that
		// lets nodes go on alone is never held.
		if kept.PreparedVersion > kept.ActiveVersion && kept.PreparedVersion == kept.MinVersion && (kept.ActiveAutonomous || kept.ActiveVersion == 0) {
			m.kept, m.start = api.VersionHash{Version: kept.PreparedVersion, Hash: kept.PreparedHash}, kept.PreparedAutonomous
		}
		if kept.PreparedVersion > kept.ActiveVersion {
			m.ready[kept.PreparedVersion] = kept.PreparedHash
		}
	}
	return m
}

// draw gives chance from the node's own seed.
func (m *Agent) draw() uint32 {
	m.draws++
	var raw [8]byte
	binary.LittleEndian.PutUint32(raw[:], m.plan.JitterSeed)
	binary.LittleEndian.PutUint32(raw[4:], m.draws)
	return crc32.ChecksumIEEE(raw[:])
}

// MayServe tells whether the node may serve now, and if not why.
func (m *Agent) MayServe(now uint64) (bool, string) {
	switch {
	case m.plan.DisabledGuards.Has(policy.Fence) && m.met:
		return true, ""
	case m.cur < m.floor && !m.plan.DisabledGuards.Has(policy.NoWayBack):
		return false, fmt.Sprintf("version %d is decided and not taken over yet", m.floor)
	case m.lease != 0 && now < m.until, m.handed(now):
		return true, ""
	case m.alone && m.met || m.start && !m.met && m.cur > 0:
		return true, ""
	case m.lease == 0 && !m.met:
		return false, "the group was not heard yet"
	case m.lease == 0:
		return false, "it has no lease"
	}
	return false, "its lease has run out"
}

// handed tells whether it serves on under what is left of the lease of the generation before, until the new one takes it
// in: a group that is restored waits for that time before it counts on anything.
func (m *Agent) handed(now uint64) bool {
	return m.lease == 0 && m.gen > 1 && m.met && now < m.until && !m.left
}

// Autonomous tells whether it serves without a lease.
func (m *Agent) Autonomous(now uint64) bool {
	ok, _ := m.MayServe(now)
	return ok && !(m.lease != 0 && now < m.until) && !m.handed(now)
}

// ActiveVersion is the version of the policy that the node serves under, 0 without one.
func (m *Agent) ActiveVersion() uint64    { return m.cur }
func (m *Agent) MinVersion() uint64       { return m.floor }
func (m *Agent) LeaseExpiry() uint64      { return m.until }
func (m *Agent) CommittedVersion() uint64 { return m.force.Version }
func (m *Agent) LeaseID() uint32          { return m.lease }
func (m *Agent) Cluster() string          { return m.cluster }

// GroupContacted tells whether the group was heard in this life.
func (m *Agent) GroupContacted() bool { return m.met }

// LastSeen gives where the group stood when it was heard last.
func (m *Agent) LastSeen() api.GroupPosition { return m.told }

// TakeRecordRequest tells, once, that whoever was asked last restores the group and wants to know what this node holds.
func (m *Agent) TakeRecordRequest() bool {
	g := m.gather
	m.gather = false
	return g
}

// ZoneOrder gives the last order of the node's zone, nil where nothing is decided about zones.
func (m *Agent) ZoneOrder() *api.ZoneOrder { return m.zone }

// StoredZoneOrder gives it as it is to be kept: an earlier generation's without its epoch.
func (m *Agent) StoredZoneOrder() *api.ZoneOrder {
	if m.zone == nil || !m.foreign {
		return m.zone
	}
	o := *m.zone
	o.Epoch = 0
	return &o
}

func (m *Agent) epoch() uint64 {
	if m.zone == nil || m.foreign {
		return 0
	}
	return m.zone.Epoch
}

// ControlAddress gives the instance to speak with.
func (m *Agent) ControlAddress() string {
	if len(m.ctl) == 0 {
		return ""
	}
	return m.ctl[m.at].addr
}

// Config gives what the node was told at its start, Asked the instance that was asked last, Length that of the lease.
func (m *Agent) Config() *Config       { return &m.plan }
func (m *Agent) LastContacted() string { return m.asked }
func (m *Agent) LeaseDuration() uint64 { return m.length }

// NextHeartbeat gives when Ask will have something to send.
func (m *Agent) NextHeartbeat() uint64 {
	if m.left {
		return never
	}
	if m.asking {
		return m.sent + m.HeartbeatTimeout()
	}
	return max(m.due, m.ctl[m.at].again)
}

// HeartbeatTimeout is how long an asking may take, in ms.
func (m *Agent) HeartbeatTimeout() uint64 {
	if m.length == 0 {
		return askWithin
	}
	return min(max(m.length/4, askLittle), askWithin)
}

// Heartbeat gives what is to be sent now to Address, if anything is due, and its number.
func (m *Agent) Heartbeat(now uint64) (a api.HeartbeatRequest, no uint64, due bool) {
	if m.asking || m.left || len(m.ctl) == 0 || now < m.NextHeartbeat() {
		return a, 0, false
	}
	m.asking, m.sent, m.asked = true, now, m.ControlAddress()
	m.askNo++
	a = api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: m.plan.Name, Zone: m.plan.Zone, Addr: m.plan.Address, Nonce: m.nonce(),
		UptimeMS: max(1, now-m.born)},
		LeaseID: m.lease, LastClockMS: m.echo, MinVersion: m.floor, ActiveVersion: m.cur, RefusedVersion: m.refused, RefusedReason: m.why,
		MinZoneEpoch: m.epoch()}
	if m.told.Group != "" {
		h := m.told
		h.ActiveHash = m.hash
		a.LastSeen = &h
	}
	if m.next.Version != 0 && m.has(m.next) { // by its hash: a group that lost state may give the number to another text
		a.PreparedVersion = m.next.Version
	}
	if ok, why := m.MayServe(now); !ok {
		a.Fenced = why
	}
	switch {
	case m.bye:
		a.Leave, a.Renew = true, false
	case m.lease != 0 && now >= m.renewAt:
		a.Renew = true
	}
	m.renews, m.byes = a.Renew || m.lease == 0, a.Leave
	return a, m.askNo, true
}

func (m *Agent) nonce() string { return fmt.Sprintf("%s-%d", m.plan.Nonce, m.starts) }

// HandleResponse takes the answer to an asking. An error says why it was not believed. One that comes after its asking was
// given up is not looked at: what it grants runs from a sending that is not the last one's.
func (m *Agent) HandleResponse(now, no uint64, t api.HeartbeatResponse) error {
	if !m.asking || no != m.askNo {
		return nil
	}
	m.asking = false
	if t.CollectRecord {
		m.gather = true
		m.leave(now, 0)
		return nil
	}
	if err, lies := m.doubt(&t); err != nil {
		m.leave(now, map[bool]uint64{true: lieBack}[lies])
		return err
	}
	newer := t.Cluster != m.cluster && m.cluster != ""
	if newer { // a later generation of the group
		// The lease of the one before may be acted on for the rest of its time, as the group that is restored waits for.
		m.lease, m.foreign, m.next, m.force = 0, true, api.VersionHash{}, api.VersionHash{}
		m.starts++
		m.refused, m.why, m.never = 0, "", false
	}
	if m.cluster != t.Cluster { // also the first that it hears of
		m.gen = max(1, t.Generation)
	}
	was, wasEpoch := m.floor, m.epoch()
	m.ctl[m.at].wait, m.ctl[m.at].again = 0, 0
	m.cluster, m.term, m.index, m.echo, m.met = t.Cluster, t.Term, t.Index, t.ClockMS, true
	m.told = api.GroupPosition{Group: t.Cluster, Generation: m.gen, Term: t.Term, Index: t.Index, EntryChecksum: t.EntryChecksum}
	if !m.plan.DisabledGuards.Has(policy.NoWayBack) {
		m.floor = max(m.floor, t.DecidedVersion)
	}
	if t.CommittedVersion.Version >= m.force.Version || m.plan.DisabledGuards.Has(policy.NoWayBack) {
		m.force = t.CommittedVersion
	}
	if t.Zone != nil || t.LeaseID != 0 {
		m.zone, m.foreign = t.Zone, false
	}
	if m.next != t.PrepareVersion {
		m.next = t.PrepareVersion
		if m.refused != t.PrepareVersion.Version {
			m.refused, m.why, m.never = 0, "", false
		}
	}
	if m.cur == m.force.Version {
		m.alone = t.Autonomous
	}
	m.due = now + max(askLeast, t.NextHeartbeatMS) + uint64(m.draw())%max(1, t.NextHeartbeatMS/8)
	switch {
	case m.bye && (m.byes || t.EndedReason != ""):
		m.lease, m.until, m.left = 0, 0, true
	case t.EndedReason != "":
		// Begun anew: what this incarnation was told about time counts no more, but for the rest of an earlier generation's.
		if m.lease != 0 || t.RetryAfterMS == 0 {
			m.starts++
		}
		if !newer && !m.handed(now) {
			m.until = 0
		}
		m.lease = 0
		m.due = now + max(askLeast, t.RetryAfterMS)
	case t.LeaseMS > 0:
		m.lease, m.length = t.LeaseID, t.LeaseMS
		m.until = m.sent + t.LeaseMS // a policy with a shorter lease takes time back at once
		m.renewAt = m.sent + t.LeaseMS/4
	case t.LeaseID != 0 && m.lease == 0: // taken in, but without time: what it asks next brings some
		m.lease = t.LeaseID
	}
	if m.bye {
		m.due = min(m.due, now+askLeast)
	}
	if m.lease != 0 {
		if m.renewAt > now {
			m.due = min(m.due, m.renewAt)
		}
		if m.renews && t.LeaseMS == 0 {
			m.renewAt = now // its promise came too late; it makes a newer one now
		}
		if m.floor > was || m.epoch() > wasEpoch || m.renewAt <= now {
			m.due = now + askLeast
		}
	}
	m.prune()
	return nil
}

// doubt tells what is wrong with an answer: from an instance that is behind what was seen, which may catch up, or
// from another group or at odds with itself, which is a lie.
func (m *Agent) doubt(t *api.HeartbeatResponse) (err error, lies bool) {
	back := m.plan.DisabledGuards.Has(policy.NoWayBack)
	of := recovery.GroupIdentity{Group: t.Cluster, Generation: max(1, t.Generation), Predecessors: t.Predecessors}
	switch {
	case t.Cluster == "":
		return fmt.Errorf("an answer without a group"), true
	case t.CommittedVersion.Version > t.DecidedVersion:
		return fmt.Errorf("an answer with version %d in force and %d decided", t.CommittedVersion.Version, t.DecidedVersion), true
	case m.cluster != "" && t.Cluster != m.cluster && !of.Succeeds(m.cluster, m.gen) && !m.plan.DisabledGuards.Has(policy.Generation):
		return fmt.Errorf("an answer of group %.16s in generation %d, expected %.16s in %d", t.Cluster, of.Generation, m.cluster,
			m.gen), true
	case m.cluster != "" && t.Cluster != m.cluster && t.DecidedVersion < m.floor && !back:
		return fmt.Errorf("generation %d of the group has version %d decided, expected %d at least: it was restored without what "+
			"this node was told", of.Generation, t.DecidedVersion, m.floor), false
	case m.cluster != "" && t.Cluster != m.cluster:
		return nil, false
	case t.Term < m.term || t.Index < m.index && !back:
		return fmt.Errorf("an answer as of term %d and entry %d, expected %d and %d at least", t.Term, t.Index, m.term,
			m.index), false
	case t.Zone != nil && t.Zone.Epoch < m.epoch():
		return fmt.Errorf("an answer with epoch %d of the zones, expected %d at least", t.Zone.Epoch, m.epoch()), false
	case t.DecidedVersion < m.floor && !back:
		return fmt.Errorf("an answer with version %d decided, expected %d at least", t.DecidedVersion, m.floor), false
	}
	return nil, false
}

// HandleFailure tells that an asking had no answer that could be read.
func (m *Agent) HandleFailure(now, no uint64) {
	if m.asking && no == m.askNo {
		m.asking = false
		m.leave(now, 0)
	}
}

// leave turns to another instance: the one that may be asked soonest, the next in the list first.
func (m *Agent) leave(now, least uint64) {
	c := &m.ctl[m.at]
	c.wait = min(max(2*c.wait, backFirst), backMost)
	back := max(c.wait, least)
	c.again = now + back/2 + uint64(m.draw())%(back/2+1)
	best := m.at
	for k := 1; k <= len(m.ctl); k++ {
		if o := (m.at + k) % len(m.ctl); m.ctl[o].again < m.ctl[best].again || k == 1 {
			best = o
		}
	}
	m.at = best
	m.due = now
}

// VersionToFetch gives the version whose text is needed now, with its hash; decided tells that it has to be taken whatever
// its trial says.
func (m *Agent) VersionToFetch() (v api.VersionHash, decided, ok bool) {
	if m.force.Version > m.cur && !m.has(m.force) && !(m.never && m.refused == m.force.Version) {
		return m.force, true, true
	}
	if m.next.Version > m.cur && !m.has(m.next) && m.refused != m.next.Version {
		return m.next, false, true
	}
	return api.VersionHash{}, false, false
}

func (m *Agent) has(v api.VersionHash) bool { return m.ready[v.Version] == v.Hash && v.Hash != "" }

// MarkPrepared tells that a version was checked, tried and kept.
func (m *Agent) MarkPrepared(now uint64, v api.VersionHash) {
	m.ready[v.Version] = v.Hash
	m.due = min(m.due, now)
	m.prune()
}

// Reject tells that the node says no to a version. never tells that it can't serve under it at all; what only failed
// its trial is taken once it is in force all the same, as the fleet decided to go on without this node's consent.
func (m *Agent) Reject(now uint64, version uint64, why string, never bool) {
	m.refused, m.why, m.never, m.due = version, why, never, min(m.due, now)
}

// VersionToActivate gives the version to be taken over now, if there is one: in force, prepared, and newer than what is served.
func (m *Agent) VersionToActivate(now uint64) (v api.VersionHash, ok bool) {
	if m.start && !m.met && m.cur == 0 && now >= m.born+aloneAfter && m.kept.Version >= m.floor {
		return m.kept, true
	}
	if (m.force.Version > m.cur || m.plan.DisabledGuards.Has(policy.NoWayBack) && m.force.Version != m.cur) && m.has(m.force) {
		return m.force, true
	}
	return api.VersionHash{}, false
}

// MarkActive tells that the loop serves under a version from now on.
func (m *Agent) MarkActive(now uint64, v api.VersionHash, alone bool) {
	m.cur, m.alone, m.hash = v.Version, alone, v.Hash
	m.floor = max(m.floor, v.Version)
	m.due = min(m.due, now)
	m.prune()
}

// prune keeps what can still be needed of the versions at hand.
func (m *Agent) prune() {
	for n := range m.ready { // each is judged alone
		if n != m.cur && n != m.force.Version && n != m.next.Version && m.met {
			delete(m.ready, n)
		}
	}
}

// Leave says goodbye: the group need not wait for a lease that nobody acts on.
func (m *Agent) Leave(now uint64) {
	if m.lease != 0 && !m.bye {
		m.bye, m.due = true, now
	}
}

// DropPrepared tells that a version is not at hand after all: it is wanted again.
func (m *Agent) DropPrepared(version uint64) {
	delete(m.ready, version)
	if m.kept.Version == version {
		m.start = false
	}
}

// IsPrepared tells whether a version can be taken over.
func (m *Agent) IsPrepared(version uint64) bool { _, ok := m.ready[version]; return ok }

// ExpireHeartbeat gives up an asking whose time is over, for whoever drives it without a deadline of its own.
func (m *Agent) ExpireHeartbeat(now uint64) {
	if m.asking && now >= m.sent+m.HeartbeatTimeout() {
		m.HandleFailure(now, m.askNo)
	}
}
