// Package membership is the membership of nodes as the group of control instances holds it: who is in, since when,
// and until when each may act on what it was last told. It owns names, incarnations and leases. It is told
// committed beats in order and nothing else, so it is the same at every instance; time is the group's own, in
// ms that leaders counted, and it never looks at a clock, a socket or chance. It must never count a lease as
// run out that a node could still act on.
package membership

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"umberwinch/internal/control/api"
)

// Bounds of the state.
const (
	MaxNodes         = 10000
	maxEarlierLeases = 8 // leases of earlier incarnations that may still be acted on, a node
	maxJoinTimes     = 16
)

// LeaseSpanMS is how long the group counts a lease of so many ms. A node counts from when it asked, by a clock that
// may be slow; a leader counts from when the asking was committed, by one that may be fast. A hundredth covers
// clocks that differ by twenty times what a disciplined one may, 100 ms two ticks of any group.
func LeaseSpanMS(leaseMS uint64) uint64 { return leaseMS + leaseMS/100 + 100 }

// LeaseTerms is what a lease is given under: the version in force says how long it lasts, and whether its holder
// may go on alone when it has run out.
type LeaseTerms struct {
	LeaseMS        uint64
	Autonomous     bool
	DecidedVersion uint64 // the newest decided version: whoever doesn't promise it gets no more time
	ZoneEpoch      uint64 // the newest epoch of the zones: the same
}

// Lease is one incarnation's leave to act on what it was told.
type Lease struct {
	ID           uint32 `json:"id"`
	Nonce        string `json:"nonce"`
	ExpiresAtMS  uint64 `json:"until"`           // by the group's time it has surely run out then
	MinVersion   uint64 `json:"floor"`           // its holder promised to serve under nothing older
	MinZoneEpoch uint64 `json:"zones,omitempty"` // and to act on no older epoch of the zones
	Autonomous   bool   `json:"alone,omitempty"`
}

// Live tells whether its holder may still act on it.
func (l *Lease) Live(clock uint64) bool { return l.ID != 0 && (l.Autonomous || clock < l.ExpiresAtMS) }

// Node is one name.
type Node struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	Addr            string   `json:"addr"`
	Lease           Lease    `json:"lease"`
	JoinedAtMS      uint64   `json:"since"`           // its incarnation joined then
	UptimeAtJoinMS  uint64   `json:"up_ms,omitempty"` // and its process had been up for so long: one that joins anew need not be cold
	LastHeartbeatMS uint64   `json:"seen"`            // it was last heard then
	OutReason       string   `json:"out,omitempty"`
	OutAtMS         uint64   `json:"out_at,omitempty"`
	JoinTimesMS     []uint64 `json:"starts,omitempty"` // when its last incarnations joined
	EarlierLeases   []Lease  `json:"old,omitempty"`    // earlier ones that may still be acted on
}

// UptimeMS is for how long a node's process has been up, as far as it told.
func (n *Node) UptimeMS(clock uint64) uint64 {
	return clock - min(clock, n.JoinedAtMS) + n.UptimeAtJoinMS
}

// Why a node is out.
const (
	OutSilent = "silent" // it was not heard for a lease's time
	OutLeft   = "left"   // it said so
)

// HeartbeatBatch is one entry of the log: time that went by, and all that was heard meanwhile.
type HeartbeatBatch struct {
	Term          uint64            `json:"term"`            // of the leader that made it
	Sequence      uint64            `json:"no"`              // its beats in that term: with Term, whose beat it is
	BatchesBefore uint64            `json:"after"`           // beats before it, as its leader knew them: else it counts for nothing
	ElapsedMS     uint64            `json:"ms"`              // since the beat before was applied at its leader
	MinVersion    uint64            `json:"floor"`           // what those under Renew promise
	MinZoneEpoch  uint64            `json:"zones,omitempty"` // and of the zones
	Renewals      []uint32          `json:"renew,omitempty"`
	Outdated      []uint32          `json:"behind,omitempty"` // heard, but they promise less
	Joins         []api.JoinRequest `json:"join,omitempty"`
	Leaves        []uint32          `json:"bye,omitempty"`
	Forget        []string          `json:"forget,omitempty"`
	LostState     string            `json:"lost,omitempty"` // nodes proved that the group's state was put back or lost
}

// JoinResult is the end of one asking to join.
type JoinResult struct {
	Nonce         string
	LeaseID       uint32
	RefusedReason string
	RetryAfterMS  uint64 // ms after which to ask again
	extended      bool   // its lease runs from this asking on
}

// BatchResult is what came of a beat.
type BatchResult struct {
	Counted    bool // false: another beat came between, and nothing of it counts
	LeaseMS    uint64
	Granted    map[uint32]bool // heard leases: true where it was extended
	Joins      []JoinResult
	WentSilent []string // nodes counted out by it
}

// State is the fleet.
type State struct {
	ClockMS          uint64 // ms
	Batches          uint64
	Epoch            uint64 // joins so far: a decision about all nodes names the one it was made in
	Term             uint64
	ListeningSinceMS uint64 // since when the leader of Term listens
	// UnknownLeasesUntilMS: until then some node may act on a lease of the generation before that this one does not know of.
	UnknownLeasesUntilMS uint64
	// LostState: what nodes were told by this very group that it does not know. It grants nothing any more.
	LostState   string
	lastLeaseID uint32
	nodes       []*Node // by name
	byName      map[string]*Node
	byLease     map[uint32]*Node
}

// New gives an empty fleet.
func New() *State { return &State{byName: map[string]*Node{}, byLease: map[uint32]*Node{}} }

// Apply plays one beat.
func (s *State) Apply(b *HeartbeatBatch, term uint64, g LeaseTerms) BatchResult {
	r := BatchResult{LeaseMS: g.LeaseMS, Granted: map[uint32]bool{}}
	if b.BatchesBefore != s.Batches {
		return r
	}
	r.Counted = true
	s.Batches++
	s.ClockMS += b.ElapsedMS
	if term != s.Term {
		// A new leader has heard nobody yet: no silence from before it counts.
		s.Term, s.ListeningSinceMS = term, s.ClockMS
	}
	for _, name := range b.Forget {
		s.forget(name)
	}
	if s.LostState == "" {
		s.LostState = b.LostState
	}
	if s.LostState != "" { // what it would grant or count out rests on a state that is not the fleet's
		for i := range b.Joins {
			r.Joins = append(r.Joins, JoinResult{Nonce: b.Joins[i].Nonce, RefusedReason: "the group has lost state: " + s.LostState, RetryAfterMS: maxJoinWaitMS})
		}
		return r
	}
	for _, id := range b.Renewals {
		if n := s.LeaseHolder(id); n != nil {
			n.LastHeartbeatMS = s.ClockMS
			if b.MinVersion >= g.DecidedVersion && b.MinZoneEpoch >= g.ZoneEpoch {
				n.Lease.MinVersion, n.Lease.MinZoneEpoch = max(n.Lease.MinVersion, b.MinVersion), max(n.Lease.MinZoneEpoch, b.MinZoneEpoch)
				n.Lease.ExpiresAtMS, n.Lease.Autonomous = max(n.Lease.ExpiresAtMS, s.ClockMS+LeaseSpanMS(g.LeaseMS)), g.Autonomous
				r.Granted[id] = true
			} else {
				r.Granted[id] = false
			}
		}
	}
	for _, id := range b.Outdated {
		if n := s.LeaseHolder(id); n != nil {
			n.LastHeartbeatMS = s.ClockMS
			r.Granted[id] = false
		}
	}
	for _, id := range b.Leaves {
		if n := s.byLease[id]; n != nil {
			s.markOut(n, OutLeft)
			n.Lease = Lease{Nonce: n.Lease.Nonce} // it serves no more, so nothing of it is left to wait for
		}
	}
	for i := range b.Joins {
		j := s.join(&b.Joins[i], g)
		if j.RefusedReason == "" {
			r.Granted[j.LeaseID] = j.extended
		}
		r.Joins = append(r.Joins, j)
	}
	s.expire(&r, g)
	return r
}

// LeaseHolder gives the node whose lease this is, if it is in; nil for an incarnation that was replaced or counted out.
func (s *State) LeaseHolder(id uint32) *Node {
	n := s.byLease[id]
	if n == nil || n.OutReason != "" || n.Lease.ID != id {
		return nil
	}
	return n
}

func (s *State) markOut(n *Node, why string) {
	if n.OutReason == "" {
		n.OutReason, n.OutAtMS = why, s.ClockMS
	}
	delete(s.byLease, n.Lease.ID)
}

// Flapping is answered with waits that grow: a name may join so often within joinWindowMS, then it waits for a
// second, doubled each time, up to maxJoinWaitMS. Four covers a deploy and its rollback; half a minute lets a crash
// loop cost the group two entries a minute.
const (
	freeJoins     = 4
	joinWindowMS  = 60_000
	maxJoinWaitMS = 30_000
)

func (s *State) join(j *api.JoinRequest, g LeaseTerms) JoinResult {
	n := s.byName[j.Name]
	if n != nil && n.Lease.Nonce == j.Nonce {
		if n.OutReason != "" {
			return JoinResult{Nonce: j.Nonce, RefusedReason: "this incarnation was counted out; begin another"}
		}
		// The same asking again: its answer was lost. One that never hears an answer doesn't stay in by asking on.
		if s.ClockMS-n.JoinedAtMS > LeaseSpanMS(g.LeaseMS) {
			return JoinResult{Nonce: j.Nonce, LeaseID: n.Lease.ID}
		}
		n.LastHeartbeatMS = s.ClockMS
		timed := n.Lease.MinVersion >= g.DecidedVersion && n.Lease.MinZoneEpoch >= g.ZoneEpoch
		if timed {
			n.Lease.ExpiresAtMS, n.Lease.Autonomous = max(n.Lease.ExpiresAtMS, s.ClockMS+LeaseSpanMS(g.LeaseMS)), g.Autonomous
		}
		return JoinResult{Nonce: j.Nonce, LeaseID: n.Lease.ID, extended: timed}
	}
	if n == nil {
		if len(s.nodes) >= MaxNodes && !s.evictLongestGone() {
			return JoinResult{Nonce: j.Nonce, RefusedReason: fmt.Sprintf("%d nodes are known, expected at most %d",
				len(s.nodes)+1, MaxNodes), RetryAfterMS: maxJoinWaitMS}
		}
		n = &Node{Name: j.Name}
		at := sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].Name >= j.Name })
		s.nodes = append(s.nodes, nil)
		copy(s.nodes[at+1:], s.nodes[at:])
		s.nodes[at] = n
		s.byName[j.Name] = n
	}
	if wait := s.joinBackoffMS(n); wait > 0 {
		return JoinResult{Nonce: j.Nonce, RefusedReason: fmt.Sprintf("%q began %d times within %d s", j.Name, len(n.JoinTimesMS),
			joinWindowMS/1000), RetryAfterMS: wait}
	}
	if n.Lease.ID != 0 {
		old := n.Lease
		if old.Autonomous { // a new incarnation stands for its name: what went on alone under it has ended
			old.Autonomous, old.ExpiresAtMS = false, max(old.ExpiresAtMS, s.ClockMS+LeaseSpanMS(g.LeaseMS))
		}
		if old.Live(s.ClockMS) {
			n.EarlierLeases = append(n.EarlierLeases, old)
		}
		delete(s.byLease, n.Lease.ID)
	}
	for k := range n.EarlierLeases {
		if n.EarlierLeases[k].Autonomous {
			n.EarlierLeases[k].Autonomous, n.EarlierLeases[k].ExpiresAtMS = false, max(n.EarlierLeases[k].ExpiresAtMS, s.ClockMS+LeaseSpanMS(g.LeaseMS))
		}
	}
	s.lastLeaseID++
	s.Epoch++
	n.Zone, n.Addr, n.OutReason, n.OutAtMS = j.Zone, j.Addr, "", 0
	n.Lease = Lease{ID: s.lastLeaseID, Nonce: j.Nonce, ExpiresAtMS: s.ClockMS + LeaseSpanMS(g.LeaseMS), MinVersion: g.DecidedVersion, MinZoneEpoch: g.ZoneEpoch,
		Autonomous: g.Autonomous}
	n.JoinedAtMS, n.LastHeartbeatMS, n.UptimeAtJoinMS = s.ClockMS, s.ClockMS, j.UptimeMS
	if !j.SameProcess {
		n.JoinTimesMS = append(n.JoinTimesMS, s.ClockMS)
		if len(n.JoinTimesMS) > maxJoinTimes {
			n.JoinTimesMS = n.JoinTimesMS[1:]
		}
	}
	s.byLease[s.lastLeaseID] = n
	return JoinResult{Nonce: j.Nonce, LeaseID: s.lastLeaseID, extended: true}
}

// IsSameProcess tells whether two incarnations' nonces are one process's: it begins each with the same, and counts behind it.
func IsSameProcess(was, is string) bool {
	i := strings.LastIndexByte(was, '-')
	return i > 0 && strings.HasPrefix(is, was[:i+1])
}

// flaps gives how long a name has to wait before it may join again.
func (s *State) joinBackoffMS(n *Node) uint64 {
	for len(n.JoinTimesMS) > 0 && s.ClockMS-n.JoinTimesMS[0] > joinWindowMS {
		n.JoinTimesMS = n.JoinTimesMS[1:]
	}
	most := uint64(0)
	if over := len(n.JoinTimesMS) - freeJoins; over >= 0 {
		most = n.JoinTimesMS[len(n.JoinTimesMS)-1] + min(uint64(1000)<<over, maxJoinWaitMS)
	}
	if len(n.EarlierLeases) >= maxEarlierLeases {
		most = max(most, n.EarlierLeases[0].ExpiresAtMS)
	}
	if most > s.ClockMS {
		return most - s.ClockMS
	}
	return 0
}

// drop makes room for a name: of those that are out and owe nothing, the one out for longest.
func (s *State) evictLongestGone() bool {
	var oldest *Node
	for _, n := range s.nodes {
		if n.OutReason != "" && len(n.EarlierLeases) == 0 && !n.Lease.Live(s.ClockMS) && (oldest == nil || n.OutAtMS < oldest.OutAtMS) {
			oldest = n
		}
	}
	if oldest != nil {
		s.forget(oldest.Name)
	}
	return oldest != nil
}

// forget takes a name off the list, with all that was waited for of it: an operator vouches that it is dead.
func (s *State) forget(name string) {
	n := s.byName[name]
	if n == nil {
		return
	}
	delete(s.byLease, n.Lease.ID)
	delete(s.byName, name)
	at := sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].Name >= name })
	s.nodes = append(s.nodes[:at], s.nodes[at+1:]...)
}

// age counts out who was not heard for a lease's time since the leader listens, and drops what has run out.
func (s *State) expire(r *BatchResult, g LeaseTerms) {
	for _, n := range s.nodes {
		if n.OutReason == "" && s.ClockMS > max(n.LastHeartbeatMS, s.ListeningSinceMS)+LeaseSpanMS(g.LeaseMS) && s.ClockMS >= n.Lease.ExpiresAtMS {
			s.markOut(n, OutSilent)
			r.WentSilent = append(r.WentSilent, n.Name)
		}
		kept := n.EarlierLeases[:0]
		for _, o := range n.EarlierLeases {
			if o.Live(s.ClockMS) {
				kept = append(kept, o)
			}
		}
		n.EarlierLeases = kept
	}
}

// Nodes gives all names, in order. They belong to the state: whoever looks must not keep or change them.
func (s *State) Nodes() []*Node { return s.nodes }

// Lookup finds one.
func (s *State) Lookup(name string) *Node { return s.byName[name] }

// MayServeOlder tells whether any incarnation of a node may still serve under a version older than this.
func (s *State) MayServeOlder(n *Node, version uint64) bool {
	if n.Lease.Live(s.ClockMS) && n.Lease.MinVersion < version {
		return true
	}
	for i := range n.EarlierLeases {
		if n.EarlierLeases[i].Live(s.ClockMS) && n.EarlierLeases[i].MinVersion < version {
			return true
		}
	}
	return false
}

// NodesServingOlder names the nodes of which some incarnation may still serve under a version older than this.
func (s *State) NodesServingOlder(version uint64) (names []string) {
	for _, n := range s.nodes {
		if s.MayServeOlder(n, version) {
			names = append(names, n.Name)
		}
	}
	return s.hushed(names)
}

// UnknownNodes stands for nodes that hold a lease of the generation before and are not known to this one.
const UnknownNodes = "nodes of the generation before"

func (s *State) hushed(names []string) []string {
	if s.ClockMS < s.UnknownLeasesUntilMS {
		names = append(names, UnknownNodes)
	}
	return names
}

// BeginGeneration makes the state that of a new generation: nobody was heard by it, nothing that an earlier one promised is
// relied on, and all leases of it may still be acted on for their whole length, by who is known and by who is not.
// Names are added that are not known yet. longest is the longest lease that any node may hold, in ms.
func (s *State) BeginGeneration(longest uint64, alone bool, more []api.JoinRequest) {
	s.LostState, s.Term, s.ListeningSinceMS = "", 0, s.ClockMS
	s.UnknownLeasesUntilMS = s.ClockMS + LeaseSpanMS(longest)
	s.lastLeaseID += 1 << 20 // numbers that an earlier generation may have given since stand for nothing here
	for i := range more {
		if s.byName[more[i].Name] == nil && len(s.nodes) < MaxNodes {
			n := &Node{Name: more[i].Name, Zone: more[i].Zone, Addr: more[i].Addr}
			at := sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].Name >= n.Name })
			s.nodes = append(s.nodes, nil)
			copy(s.nodes[at+1:], s.nodes[at:])
			s.nodes[at], s.byName[n.Name] = n, n
		}
	}
	clear(s.byLease)
	for _, n := range s.nodes {
		if n.OutReason == OutLeft && !n.Lease.Live(s.ClockMS) && len(n.EarlierLeases) == 0 {
			continue
		}
		s.lastLeaseID++
		alone := alone || n.Lease.Autonomous
		n.EarlierLeases = nil
		n.Lease = Lease{ID: s.lastLeaseID, Nonce: "before", ExpiresAtMS: s.UnknownLeasesUntilMS, Autonomous: alone}
		n.OutReason, n.OutAtMS, n.JoinTimesMS, n.JoinedAtMS, n.LastHeartbeatMS = OutSilent, s.ClockMS, nil, s.ClockMS, s.ClockMS
	}
}

// NodesOnOlderZoneEpoch names the nodes of which some incarnation has a lease and may act on an older epoch of the zones. A node
// that goes on alone past its lease is not waited for here: what it has of a ceiling counts as spent instead.
func (s *State) NodesOnOlderZoneEpoch(epoch uint64) (names []string) {
	under := func(l *Lease) bool { return l.ID != 0 && s.ClockMS < l.ExpiresAtMS && l.MinZoneEpoch < epoch }
	for _, n := range s.nodes {
		is := under(&n.Lease)
		for i := range n.EarlierLeases {
			is = is || under(&n.EarlierLeases[i])
		}
		if is {
			names = append(names, n.Name)
		}
	}
	return s.hushed(names)
}

// saved is the state as a snapshot keeps it.
type saved struct {
	Clock uint64  `json:"clock"`
	Beats uint64  `json:"beats"`
	Epoch uint64  `json:"epoch"`
	Term  uint64  `json:"term"`
	Heard uint64  `json:"heard"`
	Next  uint32  `json:"next"`
	Hush  uint64  `json:"hush,omitempty"`
	Lost  string  `json:"lost,omitempty"`
	Nodes []*Node `json:"nodes"`
}

// Snapshot gives the state as JSON.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(saved{s.ClockMS, s.Batches, s.Epoch, s.Term, s.ListeningSinceMS, s.lastLeaseID, s.UnknownLeasesUntilMS, s.LostState, s.nodes})
}

// Restore reads what Save gave.
func Restore(raw []byte) (*State, error) {
	var p saved
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("a saved fleet: %w", err)
	}
	if len(p.Nodes) > MaxNodes {
		return nil, fmt.Errorf("a saved fleet of %d nodes, expected at most %d", len(p.Nodes), MaxNodes)
	}
	s := New()
	s.ClockMS, s.Batches, s.Epoch, s.Term, s.ListeningSinceMS, s.lastLeaseID = p.Clock, p.Beats, p.Epoch, p.Term, p.Heard, p.Next
	s.UnknownLeasesUntilMS, s.LostState = p.Hush, p.Lost
	for i, n := range p.Nodes {
		if i > 0 && p.Nodes[i-1].Name >= n.Name {
			return nil, fmt.Errorf("a saved fleet has %q after %q, expected them in order", n.Name, p.Nodes[i-1].Name)
		}
		s.nodes = append(s.nodes, n)
		s.byName[n.Name] = n
		if n.OutReason == "" && n.Lease.ID != 0 {
			s.byLease[n.Lease.ID] = n
		}
	}
	return s, nil
}
