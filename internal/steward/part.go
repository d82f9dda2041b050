// Package steward puts the fleet and the changes of its policy together: the part of the replicated state that
// is about nodes, and what its leader does beside the log. part.go is the replicated part: told committed
// entries, it is the same at every instance. steward.go is the leader's: it batches what nodes ask into beats,
// remembers what they reported, and adds what policy.Next says. Neither knows raft, sockets or a clock; both
// are driven by whoever does.
package steward

import (
	"encoding/json"
	"fmt"

	"umberwinch/internal/conf"
	"umberwinch/internal/fleet"
	"umberwinch/internal/policy"
)

// Kinds of entries of the log that are this part's.
const (
	KindBeat   = "beat"
	KindPolicy = "policy"
)

// Versions is the group's configuration, as far as it is kept.
type Versions interface {
	Last() uint64
	Text(number uint64) (text, hash string, ok bool)
}

// Part is the replicated state about nodes.
type Part struct {
	Fleet   *fleet.State
	Policy  *policy.State
	Index   uint64 // of the last entry that was this part's
	Without policy.Guard
}

// NewPart gives an empty one.
func NewPart(without policy.Guard) *Part {
	return &Part{Fleet: fleet.New(), Policy: &policy.State{}, Without: without}
}

type world struct{ v Versions }

func (w world) Last() uint64 { return w.v.Last() }

func (w world) doc(version uint64) (*conf.Document, string, error) {
	text, hash, ok := w.v.Text(version)
	if !ok {
		return nil, "", fmt.Errorf("version %d is not kept any more", version)
	}
	d, err := conf.Parse(fmt.Sprintf("version %d", version), []byte(text))
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
	return policy.Rules{LeaseMS: uint64(next.Fleet.Lease.Milliseconds()), Alone: next.Fleet.Alone}, hash, nil
}

// grant gives what leases are given under now.
func (p *Part) grant() fleet.Grant {
	r := p.Policy.Grants()
	return fleet.Grant{LeaseMS: r.LeaseMS, Alone: r.Alone, Need: p.Policy.Need}
}

// BeatDone is the end of a beat.
type BeatDone struct {
	Term, No uint64
	fleet.Result
}

// Apply plays one committed entry and gives its end: a BeatDone or a policy.Result. An error means that the entry
// can't be read: the instance can't go on, as others may have read it.
func (p *Part) Apply(kind string, body []byte, index, term uint64, v Versions) (any, error) {
	p.Index = index
	switch kind {
	case KindBeat:
		var b fleet.Beat
		if err := json.Unmarshal(body, &b); err != nil {
			return nil, fmt.Errorf("not a beat: %w", err)
		}
		return BeatDone{b.Term, b.No, p.Fleet.Apply(&b, term, p.grant())}, nil
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
	return nil, fmt.Errorf("an entry of kind %q, expected %s or %s", kind, KindBeat, KindPolicy)
}

// saved is the part as a snapshot keeps it.
type saved struct {
	Index  uint64          `json:"index"`
	Fleet  json.RawMessage `json:"fleet"`
	Policy json.RawMessage `json:"policy"`
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
	return json.Marshal(saved{p.Index, f, c})
}

// Load reads what Save gave, in place of what the part held.
func (p *Part) Load(raw []byte) error {
	var s saved
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("the saved state about nodes: %w", err)
	}
	f, err := fleet.Load(s.Fleet)
	if err != nil {
		return err
	}
	c, err := policy.Load(s.Policy)
	if err != nil {
		return err
	}
	p.Index, p.Fleet, p.Policy = s.Index, f, c
	return nil
}
