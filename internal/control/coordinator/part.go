// Package coordinator puts the fleet and the changes of its policy together: the part of the replicated state that
// is about nodes, and what its leader does beside the log. part.go is the replicated part: told committed
// entries, it is the same at every instance. steward.go is the leader's: it batches what nodes ask into beats,
// remembers what they reported, and adds what policy.Next says. Neither knows raft, sockets or a clock; both
// are driven by whoever does.
package coordinator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// Kinds of entries of the log that are this part's.
const (
	KindHeartbeats = "beat"
	KindPolicy     = "policy"
	KindZones      = "zones"
)

// Versions is the group's configuration, as far as it is kept.
type Versions interface {
	Last() uint64
	Text(number uint64) (text, hash string, ok bool)
}

// State is the replicated state about nodes.
type State struct {
	Fleet          *membership.State
	Policy         *policy.State
	Zones          *zones.State
	Index          uint64          // of the last entry that was this part's
	Generation     uint64          // how often the group was restored, from 1 on
	Predecessors   []string        // groups of earlier generations, the oldest first
	Checksums      []EntryChecksum // of the newest entries of this part, maxChecksums at least
	DisabledGuards policy.Guard
	// DisabledZoneGuards are guards about zones.
	DisabledZoneGuards zones.Guard
}

// EntryChecksum is an entry of this part as nodes are told it: by its place and a sum of what it says.
type EntryChecksum struct {
	Index    uint64 `json:"index"`
	Checksum uint64 `json:"sum"`
}

// maxChecksums is how many entries can be held against what nodes were told, the newest: some minutes of them. A group that was put
// back to an older state is at the same entries again within seconds.
const maxChecksums = 512

// sum is that of the last entry, 0 if none is known.
func (p *State) lastChecksum() uint64 {
	if n := len(p.Checksums); n > 0 && p.Checksums[n-1].Index == p.Index {
		return p.Checksums[n-1].Checksum
	}
	return 0
}

// checksumAt gives the sum of an entry, 0 where what stands there is none of this part's. known is false before the first that is
// kept, and after the last.
func (p *State) checksumAt(index uint64) (sum uint64, known bool) {
	i := sort.Search(len(p.Checksums), func(i int) bool { return p.Checksums[i].Index >= index })
	switch {
	case i == len(p.Checksums) || i == 0 && p.Checksums[0].Index != index:
		return 0, false
	case p.Checksums[i].Index != index:
		return 0, true
	}
	return p.Checksums[i].Checksum, true
}

// recordChecksum keeps an entry's sum. Each stands alone, so that instances which began to keep them at other entries agree.
func (p *State) recordChecksum(kind string, body []byte, index, term uint64) {
	raw := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64([]byte(kind), index), term)
	d := xxhash.New()
	d.Write(raw)
	d.Write(body)
	p.Checksums = append(p.Checksums, EntryChecksum{index, max(1, d.Sum64())})
	if len(p.Checksums) > 2*maxChecksums { // seldom, so that it costs nothing an entry
		p.Checksums = append(p.Checksums[:0], p.Checksums[len(p.Checksums)-maxChecksums:]...)
	}
}

// NewState gives an empty one.
func NewState(without policy.Guard) *State {
	return &State{Fleet: membership.New(), Policy: &policy.State{}, Zones: &zones.State{}, Generation: 1, DisabledGuards: without}
}

type world struct{ v Versions }

func (w world) Last() uint64 { return w.v.Last() }

func (w world) doc(version uint64) (*document.Document, string, error) {
	text, hash, ok := w.v.Text(version)
	if !ok {
		return nil, "", fmt.Errorf("version %d is not kept any more", version)
	}
	d, err := document.Parse(fmt.Sprintf("version %d", version), []byte(text))
	return d, hash, err
}

func (w world) Check(version, from uint64) (policy.Rules, string, error) {
	next, hash, err := w.doc(version)
	if err != nil {
		return policy.Rules{}, "", err
	}
	if from > 0 {
		was, _, err := w.doc(from)
		if err == nil {
			err = next.Follows(was)
		}
		if err != nil {
			return policy.Rules{}, "", err
		}
	}
	r := policy.Rules{LeaseMS: uint64(next.Fleet.Lease.Milliseconds()), Autonomous: next.Fleet.Alone}
	if z := &next.Zones; z.Given {
		r.Zones = api.ZoneRules{Mode: api.ZoneMode(z.Decide), InitialShare: int(z.First*api.FullShare + 0.5), MinStepMS: uint64(z.Hold.Milliseconds()),
			OrderTTLMS: uint64(z.Keep.Milliseconds()), MaxWaitMS: uint64(z.Wait.Milliseconds()),
			ColdStart: z.Small}
	}
	return r, hash, nil
}

// grant gives what leases are given under now.
func (p *State) leaseTerms() membership.LeaseTerms {
	r := p.Policy.ActiveRules()
	g := membership.LeaseTerms{LeaseMS: r.LeaseMS, Autonomous: r.Autonomous, DecidedVersion: p.Policy.DecidedVersion}
	if r.Zones.Enabled() && !p.DisabledZoneGuards.Has(zones.OneEpoch) {
		g.ZoneEpoch = p.Zones.Epoch
	}
	return g
}

// BatchApplied is the end of a beat.
type BatchApplied struct {
	Term, Sequence uint64
	membership.BatchResult
	FleetRestarted bool // most of the fleet had just restarted: it comes back with a share
}

// Apply plays one committed entry and gives its end: a BatchApplied or a policy.Result. An error means that the entry
// can't be read: the instance can't go on, as others may have read it.
func (p *State) Apply(kind string, body []byte, index, term uint64, v Versions) (any, error) {
	p.Index = index
	p.recordChecksum(kind, body, index, term)
	switch kind {
	case KindHeartbeats:
		var b membership.HeartbeatBatch
		if err := json.Unmarshal(body, &b); err != nil {
			return nil, fmt.Errorf("not a beat: %w", err)
		}
		done := BatchApplied{Term: b.Term, Sequence: b.Sequence, BatchResult: p.Fleet.Apply(&b, term, p.leaseTerms())}
		if rules := p.Policy.ActiveRules().Zones; len(done.Joins) > 0 {
			done.FleetRestarted = p.Zones.BeginColdStart(p.Fleet, &rules, p.DisabledZoneGuards)
		}
		return done, nil
	case KindPolicy:
		var op policy.Op
		if err := json.Unmarshal(body, &op); err != nil {
			return nil, fmt.Errorf("not a step of a policy: %w", err)
		}
		if op.Kind == "propose" && op.Proposal == nil {
			return nil, fmt.Errorf("a proposal of nothing")
		}
		return p.Policy.Apply(&op, p.Fleet, world{v}, p.DisabledGuards), nil
	}
	if kind == KindZones {
		var op zones.Op
		if err := json.Unmarshal(body, &op); err != nil {
			return nil, fmt.Errorf("not a step of a zone: %w", err)
		}
		if !p.Policy.ActiveRules().Zones.Enabled() {
			return zones.Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey,
				Err: "the policy in force decides nothing about zones: [zones] decide = ask or auto"}, nil
		}
		return p.Zones.Apply(&op, p.Fleet, p.DisabledZoneGuards), nil
	}
	return nil, fmt.Errorf("an entry of kind %q, expected %s, %s or %s", kind, KindHeartbeats, KindPolicy, KindZones)
}

// saved is the part as a snapshot keeps it.
type saved struct {
	Index  uint64          `json:"index"`
	Fleet  json.RawMessage `json:"fleet"`
	Policy json.RawMessage `json:"policy"`
	Zones  json.RawMessage `json:"zones,omitempty"`
	Gen    uint64          `json:"generation,omitempty"`
	Before []string        `json:"before,omitempty"`
	Sums   []EntryChecksum `json:"sums,omitempty"`
}

// Snapshot gives the part on one line.
func (p *State) Snapshot() ([]byte, error) {
	f, err := p.Fleet.Snapshot()
	if err != nil {
		return nil, err
	}
	c, err := p.Policy.Snapshot()
	if err != nil {
		return nil, err
	}
	s := saved{Index: p.Index, Fleet: f, Policy: c, Before: p.Predecessors, Sums: p.Checksums[max(0, len(p.Checksums)-maxChecksums):]}
	if p.Generation > 1 {
		s.Gen = p.Generation
	}
	if p.Zones.Epoch > 0 || len(p.Zones.Zones) > 0 { // an older build reads what it knows where there is none
		if s.Zones, err = p.Zones.Snapshot(); err != nil {
			return nil, err
		}
	}
	return json.Marshal(s)
}

// Restore reads what Save gave, in place of what the part held.
func (p *State) Restore(raw []byte) error {
	var s saved
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("the saved state about nodes: %w", err)
	}
	f, err := membership.Restore(s.Fleet)
	if err != nil {
		return err
	}
	c, err := policy.Restore(s.Policy)
	if err != nil {
		return err
	}
	z, err := zones.Restore(s.Zones)
	if err != nil {
		return err
	}
	p.Index, p.Fleet, p.Policy, p.Zones = s.Index, f, c, z
	p.Generation, p.Predecessors, p.Checksums = max(1, s.Gen), s.Before, s.Sums
	return nil
}

// BeginGeneration makes the part the first state of the next generation of a group, by what was found. A change under way has no
// end there: it is called off. Zones stand as the newest order of their nodes says, and return as any that was left.
func (p *State) BeginGeneration(found *recovery.RestorePlan, v Versions) error {
	rules := policy.DefaultRules
	if found.Hash != "" {
		var err error
		if rules, _, err = (world{v}).Check(found.Version, 0); err != nil {
			return err
		}
	}
	next := found.Lost.NextGeneration("")
	p.Generation, p.Predecessors = next.Generation, next.Predecessors
	var more []api.JoinRequest
	share := map[string]recovery.NodeRecord{}
	for _, k := range found.Records {
		more = append(more, api.JoinRequest{Name: k.Name, Zone: k.Zone, Addr: k.Addr})
		if was, there := share[k.Zone]; k.ZoneEpoch > 0 && (!there || k.ZoneEpoch > was.ZoneEpoch) {
			share[k.Zone] = k
		}
	}
	p.Fleet.BeginGeneration(max(found.LeaseMS, rules.LeaseMS), rules.Autonomous, more)
	if found.Version > 0 || p.Policy.Current != nil {
		p.Policy.BeginGeneration(policy.Restored{Version: found.Version, Hash: found.Hash, Rules: rules, Proof: found.Proof},
			p.Fleet.ClockMS)
	}
	left := map[string]int{}
	for name, k := range share { // each is judged alone
		if k.ZoneShare < api.FullShare {
			left[name] = k.ZoneShare
		}
	}
	p.Zones.BeginGeneration(found.ZoneEpoch, left, p.Fleet)
	return nil
}
