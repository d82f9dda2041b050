package coordinator

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
)

// Versions is the group's configuration, as far as it is kept.
type Versions interface {
	// Last is the newest version's number, 0 before the first.
	Last() uint64
	// Text gives a version's text with its hash; ok is false where it is not kept.
	Text(number uint64) (text, hash string, ok bool)
}

// versionCatalog reads versions as policy.Versions.
type versionCatalog struct{ Versions }

func (c versionCatalog) document(version uint64) (*document.Document, string, error) {
	text, hash, ok := c.Text(version)
	if !ok {
		return nil, "", &VersionMissingError{version}
	}
	d, err := document.Parse(fmt.Sprintf("version %d", version), []byte(text))
	return d, hash, err
}

// Check gives the rules and the hash of a version, or why it may not come after version from; 0: after none.
func (c versionCatalog) Check(version, from uint64) (policy.Rules, string, error) {
	next, hash, err := c.document(version)
	if err != nil {
		return policy.Rules{}, "", err
	}
	if from > 0 {
		previous, _, err := c.document(from)
		if err == nil {
			err = next.Follows(previous)
		}
		if err != nil {
			return policy.Rules{}, "", err
		}
	}
	return rulesOf(next), hash, nil
}

// roundHalfUp rounds a share to the nearest of the parts that shares are counted in.
const roundHalfUp = 0.5

// rulesOf gives what a document says about leases and zones.
func rulesOf(d *document.Document) policy.Rules {
	rules := policy.Rules{LeaseMS: uint64(d.Fleet.Lease.Milliseconds()), Autonomous: d.Fleet.Autonomous}
	if z := &d.Zones; z.Present {
		rules.Zones = api.ZoneRules{
			Mode:           api.ZoneMode(z.Mode),
			InitialShare:   int(z.FirstShare*api.FullShare + roundHalfUp),
			MinStepMS:      uint64(z.StepTime.Milliseconds()),
			OrderTTLMS:     uint64(z.OrderTime.Milliseconds()),
			MaxRampDelayMS: uint64(z.MaxBackoff.Milliseconds()),
			ColdStart:      z.SmallStart,
		}
	}
	return rules
}
