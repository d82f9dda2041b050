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
	MaxNodes  = 10000
	maxOld    = 8 // leases of earlier incarnations that may still be acted on, a node
	maxStarts = 16
)

// Span is how long the group counts a lease of so many ms. A node counts from when it asked, by a clock that
// may be slow; a leader counts from when the asking was committed, by one that may be fast. A hundredth covers
// clocks that differ by twenty times what a disciplined one may, 100 ms two ticks of any group.
func Span(leaseMS uint64) uint64 { return leaseMS + leaseMS/100 + 100 }

// Grant is what a lease is given under: the version in force says how long it lasts, and whether its holder
// may go on alone when it has run out.
type Grant struct {
	LeaseMS uint64
	Alone   bool
	Need    uint64 // the newest decided version: whoever doesn't promise it gets no more time
	Zones   uint64 // the newest epoch of the zones: the same
}

// Lease is one incarnation's leave to act on what it was told.
type Lease struct {
	ID    uint32 `json:"id"`
	Nonce string `json:"nonce"`
	Until uint64 `json:"until"`           // by the group's time it has surely run out then
	Floor uint64 `json:"floor"`           // its holder promised to serve under nothing older
	Zones uint64 `json:"zones,omitempty"` // and to act on no older epoch of the zones
	Alone bool   `json:"alone,omitempty"`
}

// Live tells whether its holder may still act on it.
func (l *Lease) Live(clock uint64) bool { return l.ID != 0 && (l.Alone || clock < l.Until) }

// Node is one name.
type Node struct {
	Name   string   `json:"name"`
	Zone   string   `json:"zone"`
	Addr   string   `json:"addr"`
	Lease  Lease    `json:"lease"`
	Since  uint64   `json:"since"`           // its incarnation joined then
	Up     uint64   `json:"up_ms,omitempty"` // and its process had been up for so long: one that joins anew need not be cold
	Seen   uint64   `json:"seen"`            // it was last heard then
	Out    string   `json:"out,omitempty"`
	OutAt  uint64   `json:"out_at,omitempty"`
	Starts []uint64 `json:"starts,omitempty"` // when its last incarnations joined
	Old    []Lease  `json:"old,omitempty"`    // earlier ones that may still be acted on
}

// Age is for how long a node's process has been up, as far as it told.
func (n *Node) Age(clock uint64) uint64 { return clock - min(clock, n.Since) + n.Up }

// Why a node is out.
const (
	Silent = "silent" // it was not heard for a lease's time
	Left   = "left"   // it said so
)

// Beat is one entry of the log: time that went by, and all that was heard meanwhile.
type Beat struct {
	Term   uint64            `json:"term"`            // of the leader that made it
	No     uint64            `json:"no"`              // its beats in that term: with Term, whose beat it is
	After  uint64            `json:"after"`           // beats before it, as its leader knew them: else it counts for nothing
	Span   uint64            `json:"ms"`              // since the beat before was applied at its leader
	Floor  uint64            `json:"floor"`           // what those under Renew promise
	Zones  uint64            `json:"zones,omitempty"` // and of the zones
	Renew  []uint32          `json:"renew,omitempty"`
	Behind []uint32          `json:"behind,omitempty"` // heard, but they promise less
	Join   []api.JoinRequest `json:"join,omitempty"`
	Bye    []uint32          `json:"bye,omitempty"`
	Forget []string          `json:"forget,omitempty"`
	Lost   string            `json:"lost,omitempty"` // nodes proved that the group's state was put back or lost
}

// Joined is the end of one asking to join.
type Joined struct {
	Nonce   string
	Lease   uint32
	Refused string
	Wait    uint64 // ms after which to ask again
	timed   bool   // its lease runs from this asking on
}

// Result is what came of a beat.
type Result struct {
	Counted  bool // false: another beat came between, and nothing of it counts
	LeaseMS  uint64
	Granted  map[uint32]bool // heard leases: true where it was extended
	Joined   []Joined
	Silenced []string // nodes counted out by it
}

// State is the fleet.
type State struct {
	Clock uint64 // ms
	Beats uint64
	Epoch uint64 // joins so far: a decision about all nodes names the one it was made in
	Term  uint64
	Heard uint64 // since when the leader of Term listens
	// Hush: until then some node may act on a lease of the generation before that this one does not know of.
	Hush uint64
	// Lost: what nodes were told by this very group that it does not know. It grants nothing any more.
	Lost  string
	next  uint32
	nodes []*Node // by name
	names map[string]*Node
	lease map[uint32]*Node
}

// New gives an empty fleet.
func New() *State { return &State{names: map[string]*Node{}, lease: map[uint32]*Node{}} }

// Apply plays one beat.
func (s *State) Apply(b *Beat, term uint64, g Grant) Result {
	r := Result{LeaseMS: g.LeaseMS, Granted: map[uint32]bool{}}
	if b.After != s.Beats {
		return r
	}
	r.Counted = true
	s.Beats++
	s.Clock += b.Span
	if term != s.Term {
		// A new leader has heard nobody yet: no silence from before it counts.
		s.Term, s.Heard = term, s.Clock
	}
	for _, name := range b.Forget {
		s.forget(name)
	}
	if s.Lost == "" {
		s.Lost = b.Lost
	}
	if s.Lost != "" { // what it would grant or count out rests on a state that is not the fleet's
		for i := range b.Join {
			r.Joined = append(r.Joined, Joined{Nonce: b.Join[i].Nonce, Refused: "the group has lost state: " + s.Lost, Wait: flapMost})
		}
		return r
	}
	for _, id := range b.Renew {
		if n := s.In(id); n != nil {
			n.Seen = s.Clock
			if b.Floor >= g.Need && b.Zones >= g.Zones {
				n.Lease.Floor, n.Lease.Zones = max(n.Lease.Floor, b.Floor), max(n.Lease.Zones, b.Zones)
				n.Lease.Until, n.Lease.Alone = max(n.Lease.Until, s.Clock+Span(g.LeaseMS)), g.Alone
				r.Granted[id] = true
			} else {
				r.Granted[id] = false
			}
		}
	}
	for _, id := range b.Behind {
		if n := s.In(id); n != nil {
			n.Seen = s.Clock
			r.Granted[id] = false
		}
	}
	for _, id := range b.Bye {
		if n := s.lease[id]; n != nil {
			s.out(n, Left)
			n.Lease = Lease{Nonce: n.Lease.Nonce} // it serves no more, so nothing of it is left to wait for
		}
	}
	for i := range b.Join {
		j := s.join(&b.Join[i], g)
		if j.Refused == "" {
			r.Granted[j.Lease] = j.timed
		}
		r.Joined = append(r.Joined, j)
	}
	s.age(&r, g)
	return r
}

// In gives the node whose lease this is, if it is in; nil for an incarnation that was replaced or counted out.
func (s *State) In(id uint32) *Node {
	n := s.lease[id]
	if n == nil || n.Out != "" || n.Lease.ID != id {
		return nil
	}
	return n
}

func (s *State) out(n *Node, why string) {
	if n.Out == "" {
		n.Out, n.OutAt = why, s.Clock
	}
	delete(s.lease, n.Lease.ID)
}

// Flapping is answered with waits that grow: a name may join so often within flapSpan, then it waits for a
// second, doubled each time, up to flapMost. Four covers a deploy and its rollback; half a minute lets a crash
// loop cost the group two entries a minute.
const (
	flapFree = 4
	flapSpan = 60_000
	flapMost = 30_000
)

func (s *State) join(j *api.JoinRequest, g Grant) Joined {
	n := s.names[j.Name]
	if n != nil && n.Lease.Nonce == j.Nonce {
		if n.Out != "" {
			return Joined{Nonce: j.Nonce, Refused: "this incarnation was counted out; begin another"}
		}
		// The same asking again: its answer was lost. One that never hears an answer doesn't stay in by asking on.
		if s.Clock-n.Since > Span(g.LeaseMS) {
			return Joined{Nonce: j.Nonce, Lease: n.Lease.ID}
		}
		n.Seen = s.Clock
		timed := n.Lease.Floor >= g.Need && n.Lease.Zones >= g.Zones
		if timed {
			n.Lease.Until, n.Lease.Alone = max(n.Lease.Until, s.Clock+Span(g.LeaseMS)), g.Alone
		}
		return Joined{Nonce: j.Nonce, Lease: n.Lease.ID, timed: timed}
	}
	if n == nil {
		if len(s.nodes) >= MaxNodes && !s.drop() {
			return Joined{Nonce: j.Nonce, Refused: fmt.Sprintf("%d nodes are known, expected at most %d",
				len(s.nodes)+1, MaxNodes), Wait: flapMost}
		}
		n = &Node{Name: j.Name}
		at := sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].Name >= j.Name })
		s.nodes = append(s.nodes, nil)
		copy(s.nodes[at+1:], s.nodes[at:])
		s.nodes[at] = n
		s.names[j.Name] = n
	}
	if wait := s.flaps(n); wait > 0 {
		return Joined{Nonce: j.Nonce, Refused: fmt.Sprintf("%q began %d times within %d s", j.Name, len(n.Starts),
			flapSpan/1000), Wait: wait}
	}
	if n.Lease.ID != 0 {
		old := n.Lease
		if old.Alone { // a new incarnation stands for its name: what went on alone under it has ended
			old.Alone, old.Until = false, max(old.Until, s.Clock+Span(g.LeaseMS))
		}
		if old.Live(s.Clock) {
			n.Old = append(n.Old, old)
		}
		delete(s.lease, n.Lease.ID)
	}
	for k := range n.Old {
		if n.Old[k].Alone {
			n.Old[k].Alone, n.Old[k].Until = false, max(n.Old[k].Until, s.Clock+Span(g.LeaseMS))
		}
	}
	s.next++
	s.Epoch++
	n.Zone, n.Addr, n.Out, n.OutAt = j.Zone, j.Addr, "", 0
	n.Lease = Lease{ID: s.next, Nonce: j.Nonce, Until: s.Clock + Span(g.LeaseMS), Floor: g.Need, Zones: g.Zones,
		Alone: g.Alone}
	n.Since, n.Seen, n.Up = s.Clock, s.Clock, j.UptimeMS
	if !j.SameProcess {
		n.Starts = append(n.Starts, s.Clock)
		if len(n.Starts) > maxStarts {
			n.Starts = n.Starts[1:]
		}
	}
	s.lease[s.next] = n
	return Joined{Nonce: j.Nonce, Lease: s.next, timed: true}
}

// SameProcess tells whether two incarnations' nonces are one process's: it begins each with the same, and counts behind it.
func SameProcess(was, is string) bool {
	i := strings.LastIndexByte(was, '-')
	return i > 0 && strings.HasPrefix(is, was[:i+1])
}

// flaps gives how long a name has to wait before it may join again.
func (s *State) flaps(n *Node) uint64 {
	for len(n.Starts) > 0 && s.Clock-n.Starts[0] > flapSpan {
		n.Starts = n.Starts[1:]
	}
	most := uint64(0)
	if over := len(n.Starts) - flapFree; over >= 0 {
		most = n.Starts[len(n.Starts)-1] + min(uint64(1000)<<over, flapMost)
	}
	if len(n.Old) >= maxOld {
		most = max(most, n.Old[0].Until)
	}
	if most > s.Clock {
		return most - s.Clock
	}
	return 0
}

// drop makes room for a name: of those that are out and owe nothing, the one out for longest.
func (s *State) drop() bool {
	var oldest *Node
	for _, n := range s.nodes {
		if n.Out != "" && len(n.Old) == 0 && !n.Lease.Live(s.Clock) && (oldest == nil || n.OutAt < oldest.OutAt) {
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
	n := s.names[name]
	if n == nil {
		return
	}
	delete(s.lease, n.Lease.ID)
	delete(s.names, name)
	at := sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].Name >= name })
	s.nodes = append(s.nodes[:at], s.nodes[at+1:]...)
}

// age counts out who was not heard for a lease's time since the leader listens, and drops what has run out.
func (s *State) age(r *Result, g Grant) {
	for _, n := range s.nodes {
		if n.Out == "" && s.Clock > max(n.Seen, s.Heard)+Span(g.LeaseMS) && s.Clock >= n.Lease.Until {
			s.out(n, Silent)
			r.Silenced = append(r.Silenced, n.Name)
		}
		kept := n.Old[:0]
		for _, o := range n.Old {
			if o.Live(s.Clock) {
				kept = append(kept, o)
			}
		}
		n.Old = kept
	}
}

// Nodes gives all names, in order. They belong to the state: whoever looks must not keep or change them.
func (s *State) Nodes() []*Node { return s.nodes }

// Named finds one.
func (s *State) Named(name string) *Node { return s.names[name] }

// May tells whether any incarnation of a node may still serve under a version older than this.
func (s *State) May(n *Node, version uint64) bool {
	if n.Lease.Live(s.Clock) && n.Lease.Floor < version {
		return true
	}
	for i := range n.Old {
		if n.Old[i].Live(s.Clock) && n.Old[i].Floor < version {
			return true
		}
	}
	return false
}

// Under names the nodes of which some incarnation may still serve under a version older than this.
func (s *State) Under(version uint64) (names []string) {
	for _, n := range s.nodes {
		if s.May(n, version) {
			names = append(names, n.Name)
		}
	}
	return s.hushed(names)
}

// Unknown stands for nodes that hold a lease of the generation before and are not known to this one.
const Unknown = "nodes of the generation before"

func (s *State) hushed(names []string) []string {
	if s.Clock < s.Hush {
		names = append(names, Unknown)
	}
	return names
}

// Restore makes the state that of a new generation: nobody was heard by it, nothing that an earlier one promised is
// relied on, and all leases of it may still be acted on for their whole length, by who is known and by who is not.
// Names are added that are not known yet. longest is the longest lease that any node may hold, in ms.
func (s *State) Restore(longest uint64, alone bool, more []api.JoinRequest) {
	s.Lost, s.Term, s.Heard = "", 0, s.Clock
	s.Hush = s.Clock + Span(longest)
	s.next += 1 << 20 // numbers that an earlier generation may have given since stand for nothing here
	for i := range more {
		if s.names[more[i].Name] == nil && len(s.nodes) < MaxNodes {
			n := &Node{Name: more[i].Name, Zone: more[i].Zone, Addr: more[i].Addr}
			at := sort.Search(len(s.nodes), func(i int) bool { return s.nodes[i].Name >= n.Name })
			s.nodes = append(s.nodes, nil)
			copy(s.nodes[at+1:], s.nodes[at:])
			s.nodes[at], s.names[n.Name] = n, n
		}
	}
	clear(s.lease)
	for _, n := range s.nodes {
		if n.Out == Left && !n.Lease.Live(s.Clock) && len(n.Old) == 0 {
			continue
		}
		s.next++
		alone := alone || n.Lease.Alone
		n.Old = nil
		n.Lease = Lease{ID: s.next, Nonce: "before", Until: s.Hush, Alone: alone}
		n.Out, n.OutAt, n.Starts, n.Since, n.Seen = Silent, s.Clock, nil, s.Clock, s.Clock
	}
}

// UnderZones names the nodes of which some incarnation has a lease and may act on an older epoch of the zones. A node
// that goes on alone past its lease is not waited for here: what it has of a ceiling counts as spent instead.
func (s *State) UnderZones(epoch uint64) (names []string) {
	under := func(l *Lease) bool { return l.ID != 0 && s.Clock < l.Until && l.Zones < epoch }
	for _, n := range s.nodes {
		is := under(&n.Lease)
		for i := range n.Old {
			is = is || under(&n.Old[i])
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

// Save gives the state as JSON.
func (s *State) Save() ([]byte, error) {
	return json.Marshal(saved{s.Clock, s.Beats, s.Epoch, s.Term, s.Heard, s.next, s.Hush, s.Lost, s.nodes})
}

// Load reads what Save gave.
func Load(raw []byte) (*State, error) {
	var p saved
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("a saved fleet: %w", err)
	}
	if len(p.Nodes) > MaxNodes {
		return nil, fmt.Errorf("a saved fleet of %d nodes, expected at most %d", len(p.Nodes), MaxNodes)
	}
	s := New()
	s.Clock, s.Beats, s.Epoch, s.Term, s.Heard, s.next = p.Clock, p.Beats, p.Epoch, p.Term, p.Heard, p.Next
	s.Hush, s.Lost = p.Hush, p.Lost
	for i, n := range p.Nodes {
		if i > 0 && p.Nodes[i-1].Name >= n.Name {
			return nil, fmt.Errorf("a saved fleet has %q after %q, expected them in order", n.Name, p.Nodes[i-1].Name)
		}
		s.nodes = append(s.nodes, n)
		s.names[n.Name] = n
		if n.Out == "" && n.Lease.ID != 0 {
			s.lease[n.Lease.ID] = n
		}
	}
	return s, nil
}
