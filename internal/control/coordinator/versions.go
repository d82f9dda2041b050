package coordinator

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
)

// Versions gives access to the stored versions of the group's configuration.
type Versions interface {
	// Last returns the newest version's number, 0 if there is none.
	Last() uint64
	// Text returns a version's text and its hash; ok is false if the version is not stored.
	Text(number uint64) (text, hash string, ok bool)
}

// versionCatalog implements policy.Versions by parsing the stored versions.
type versionCatalog struct{ Versions }

func (c versionCatalog) document(version uint64) (*document.Document, string, error) {
	text, hash, ok := c.Text(version)
	if !ok {
		return nil, "", &VersionMissingError{version}
	}
	d, err := document.Parse(fmt.Sprintf("version %d", version), []byte(text))
	return d, hash, err
}

// Check returns the rules and the hash of a version, or why it may not follow version from; from = 0: no version
// precedes it.
func (c versionCatalog) Check(version, from uint64) (policy.Rules, string, error) {
	next, hash, err := c.document(version)
	if err != nil {
		return policy.Rules{}, "", err
	}
	if from > 0 {
		previous, _, err := c.document(from)
		if err == nil {
			err = next.ValidateUpdate(previous)
		}
		if err != nil {
			return policy.Rules{}, "", err
		}
	}
	return rulesOf(next), hash, nil
}

// roundHalfUp is added before a share is truncated to a whole number of 1/FullShare.
const roundHalfUp = 0.5

// rulesOf returns a document's lease and zone rules.
func rulesOf(d *document.Document) policy.Rules {
	rules := policy.Rules{LeaseMS: uint64(d.Fleet.Lease.Milliseconds()), Autonomous: d.Fleet.Autonomous}
	if z := &d.Zones; z.Present {
		rules.Zones = api.ZoneRules{
			Mode:           api.ZoneMode(z.Mode),
			InitialShare:   int(z.InitialShare*api.FullShare + roundHalfUp),
			MinStepMS:      uint64(z.MinStepTime.Milliseconds()),
			OrderTTLMS:     uint64(z.OrderTTL.Milliseconds()),
			MaxRampDelayMS: uint64(z.MaxRampDelay.Milliseconds()),
			ColdStart:      z.ColdStart,
		}
	}
	return rules
}
