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
	KindBeat   = "beat"
	KindPolicy = "policy"
	KindZones  = "zones"
)

// Versions is the group's configuration, as far as it is kept.
type Versions interface {
	Last() uint64
	Text(number uint64) (text, hash string, ok bool)
}

// Part is the replicated state about nodes.
type Part struct {
	Fleet   *membership.State
	Policy  *policy.State
	Zones   *zones.State
	Index   uint64   // of the last entry that was this part's
	Gen     uint64   // how often the group was restored, from 1 on
	Before  []string // groups of earlier generations, the oldest first
	Sums    []Sum    // of the newest entries of this part, maxSums at least
	Without policy.Guard
	// WithoutZones are guards about zones.
	WithoutZones zones.Guard
}

// Sum is an entry of this part as nodes are told it: by its place and a sum of what it says.
type Sum struct {
	Index uint64 `json:"index"`
	Sum   uint64 `json:"sum"`
}

// maxSums is how many entries can be held against what nodes were told, the newest: some minutes of them. A group that was put
// back to an older state is at the same entries again within seconds.
const maxSums = 512

// sum is that of the last entry, 0 if none is known.
func (p *Part) sum() uint64 {
	if n := len(p.Sums); n > 0 && p.Sums[n-1].Index == p.Index {
		return p.Sums[n-1].Sum
	}
	return 0
}

// sumOf gives the sum of an entry, 0 where what stands there is none of this part's. known is false before the first that is
// kept, and after the last.
func (p *Part) sumOf(index uint64) (sum uint64, known bool) {
	i := sort.Search(len(p.Sums), func(i int) bool { return p.Sums[i].Index >= index })
	switch {
	case i == len(p.Sums) || i == 0 && p.Sums[0].Index != index:
		return 0, false
	case p.Sums[i].Index != index:
		return 0, true
	}
	return p.Sums[i].Sum, true
}

// noteSum keeps an entry's sum. Each stands alone, so that instances which began to keep them at other entries agree.
func (p *Part) noteSum(kind string, body []byte, index, term uint64) {
	raw := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64([]byte(kind), index), term)
	d := xxhash.New()
	d.Write(raw)
	d.Write(body)
	p.Sums = append(p.Sums, Sum{index, max(1, d.Sum64())})
	if len(p.Sums) > 2*maxSums { // seldom, so that it costs nothing an entry
		p.Sums = append(p.Sums[:0], p.Sums[len(p.Sums)-maxSums:]...)
	}
}

// NewPart gives an empty one.
func NewPart(without policy.Guard) *Part {
	return &Part{Fleet: membership.New(), Policy: &policy.State{}, Zones: &zones.State{}, Gen: 1, Without: without}
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

func (w world) Judge(version, from uint64) (policy.Rules, string, error) {
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
	r := policy.Rules{LeaseMS: uint64(next.Fleet.Lease.Milliseconds()), Alone: next.Fleet.Alone}
	if z := &next.Zones; z.Given {
		r.Zones = api.ZoneRules{Mode: z.Decide, InitialShare: int(z.First*api.FullShare + 0.5), MinStepMS: uint64(z.Hold.Milliseconds()),
			OrderTTLMS: uint64(z.Keep.Milliseconds()), MaxWaitMS: uint64(z.Wait.Milliseconds()),
			ColdStart: z.Small}
	}
	return r, hash, nil
}

// grant gives what leases are given under now.
func (p *Part) grant() membership.Grant {
	r := p.Policy.Grants()
	g := membership.Grant{LeaseMS: r.LeaseMS, Alone: r.Alone, Need: p.Policy.Need}
	if r.Zones.Enabled() && !p.WithoutZones.Has(zones.OneEpoch) {
		g.Zones = p.Zones.Epoch
	}
	return g
}

// BeatDone is the end of a beat.
type BeatDone struct {
	Term, No uint64
	membership.Result
	Began bool // most of the fleet had just restarted: it comes back with a share
}

// Apply plays one committed entry and gives its end: a BeatDone or a policy.Result. An error means that the entry
// can't be read: the instance can't go on, as others may have read it.
func (p *Part) Apply(kind string, body []byte, index, term uint64, v Versions) (any, error) {
	p.Index = index
	p.noteSum(kind, body, index, term)
	switch kind {
	case KindBeat:
		var b membership.Beat
		if err := json.Unmarshal(body, &b); err != nil {
			return nil, fmt.Errorf("not a beat: %w", err)
		}
		done := BeatDone{Term: b.Term, No: b.No, Result: p.Fleet.Apply(&b, term, p.grant())}
		if rules := p.Policy.Grants().Zones; len(done.Joined) > 0 {
			done.Began = p.Zones.BeginColdStart(p.Fleet, &rules, p.WithoutZones)
		}
		return done, nil
	case KindPolicy:
		var op policy.Op
		if err := json.Unmarshal(body, &op); err != nil {
			return nil, fmt.Errorf("not a step of a policy: %w", err)
		}
		if op.Kind == "propose" && op.Propose == nil {
			return nil, fmt.Errorf("a proposal of nothing")
		}
		return p.Policy.Apply(&op, p.Fleet, world{v}, p.Without), nil
	}
	if kind == KindZones {
		var op zones.Op
		if err := json.Unmarshal(body, &op); err != nil {
			return nil, fmt.Errorf("not a step of a zone: %w", err)
		}
		if !p.Policy.Grants().Zones.Enabled() {
			return zones.Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey,
				Err: "the policy in force decides nothing about zones: [zones] decide = ask or auto"}, nil
		}
		return p.Zones.Apply(&op, p.Fleet, p.WithoutZones), nil
	}
	return nil, fmt.Errorf("an entry of kind %q, expected %s, %s or %s", kind, KindBeat, KindPolicy, KindZones)
}

// saved is the part as a snapshot keeps it.
type saved struct {
	Index  uint64          `json:"index"`
	Fleet  json.RawMessage `json:"fleet"`
	Policy json.RawMessage `json:"policy"`
	Zones  json.RawMessage `json:"zones,omitempty"`
	Gen    uint64          `json:"generation,omitempty"`
	Before []string        `json:"before,omitempty"`
	Sums   []Sum           `json:"sums,omitempty"`
}

// Save gives the part on one line.
func (p *Part) Save() ([]byte, error) {
	f, err := p.Fleet.Save()
	if err != nil {
		return nil, err
	}
	c, err := p.Policy.Save()
	if err != nil {
		return nil, err
	}
	s := saved{Index: p.Index, Fleet: f, Policy: c, Before: p.Before, Sums: p.Sums[max(0, len(p.Sums)-maxSums):]}
	if p.Gen > 1 {
		s.Gen = p.Gen
	}
	if p.Zones.Epoch > 0 || len(p.Zones.Zones) > 0 { // an older build reads what it knows where there is none
		if s.Zones, err = p.Zones.Save(); err != nil {
			return nil, err
		}
	}
	return json.Marshal(s)
}

// Load reads what Save gave, in place of what the part held.
func (p *Part) Load(raw []byte) error {
	var s saved
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("the saved state about nodes: %w", err)
	}
	f, err := membership.Load(s.Fleet)
	if err != nil {
		return err
	}
	c, err := policy.Load(s.Policy)
	if err != nil {
		return err
	}
	z, err := zones.Load(s.Zones)
	if err != nil {
		return err
	}
	p.Index, p.Fleet, p.Policy, p.Zones = s.Index, f, c, z
	p.Gen, p.Before, p.Sums = max(1, s.Gen), s.Before, s.Sums
	return nil
}

// Restore makes the part the first state of the next generation of a group, by what was found. A change under way has no
// end there: it is called off. Zones stand as the newest order of their nodes says, and return as any that was left.
func (p *Part) Restore(found *recovery.RestorePlan, v Versions) error {
	rules := policy.Before
	if found.Hash != "" {
		var err error
		if rules, _, err = (world{v}).Judge(found.Version, 0); err != nil {
			return err
		}
	}
	next := found.Lost.NextGeneration("")
	p.Gen, p.Before = next.Generation, next.Predecessors
	var more []api.JoinRequest
	share := map[string]recovery.NodeRecord{}
	for _, k := range found.Records {
		more = append(more, api.JoinRequest{Name: k.Name, Zone: k.Zone, Addr: k.Addr})
		if was, there := share[k.Zone]; k.ZoneEpoch > 0 && (!there || k.ZoneEpoch > was.ZoneEpoch) {
			share[k.Zone] = k
		}
	}
	p.Fleet.Restore(max(found.LeaseMS, rules.LeaseMS), rules.Alone, more)
	if found.Version > 0 || p.Policy.Now != nil {
		p.Policy.Restore(found.Version, found.Hash, rules, p.Fleet.Clock, found.Proof)
	}
	left := map[string]int{}
	for name, k := range share { // each is judged alone
		if k.ZoneShare < api.FullShare {
			left[name] = k.ZoneShare
		}
	}
	p.Zones.Restore(found.ZoneEpoch, left, p.Fleet)
	return nil
}
