package document

import (
	"sort"
	"time"
)

// Limits of a document. They bound the time of its validation and the memory of nodes and control instances.
const (
	MaxBytes   = 1 << 20 // of the text, also in canonical form
	MaxClasses = 256
	MaxTenants = 10000
	MaxPools   = 64
	MaxLevels  = 16
)

// ClassKind is whether a request of a class may be executed again, as spelled in documents. The kinds correspond to
// admission.Retryable, IdempotencyKeyed and NonRetryable, and to the platform's semantics idempotent, deduplicated and
// at_most_once.
type ClassKind string

// Kinds of classes.
const (
	Idempotent       ClassKind = "replayable"
	IdempotencyKeyed ClassKind = "uniqued"        // a retry gets the result of the first run
	NotIdempotent    ClassKind = "non-replayable" // never executed again
)

// Class is the policy for the requests of one handler.
type Class struct {
	Name              string
	Kind              ClassKind
	Weight            float64
	LatencyObjective  time.Duration
	Timeout           time.Duration // of the client
	IdempotencyWindow time.Duration // how long a request may be retried
	Pool              string        // empty: none
	Retired           bool          // sheds all its requests; may be removed or changed in the next version
}

// Tenant is the quota of one tenant.
type Tenant struct {
	Name  string
	Share float64 // of capacity; 0: none reserved
	Rate  float64 // requests per second; 0: no limit
}

// Pool isolates work from other work by shares of capacity.
type Pool struct {
	Name     string
	MinShare float64
	MaxShare float64
	Lendable bool // unused capacity is lent to other pools
}

// Level is a degradation level, at which requests of some classes are shed.
type Level struct {
	Number      int
	EnterLoad   float64       // multiple of capacity at which the level is entered
	LeaveLoad   float64       // multiple of capacity below which the level is left
	MinDuration time.Duration // at the level, before it is left
	Sheds       []string      // names of classes
}

// Rollout is the staged activation of a version on the nodes.
type Rollout struct {
	Stages          []int         // percentages of nodes, ascending to 100
	StageDuration   time.Duration // duration of a stage
	MaxShedIncrease float64       // maximum increase of the fraction of requests shed
	MaxLateIncrease float64       // the same of requests completed late
}

// Fleet is how long nodes serve under a version without contact to the group, and what they do afterwards.
type Fleet struct {
	Lease      time.Duration
	Autonomous bool // nodes serve after their lease has expired: when_alone = go-on
	Present    bool // the document has a [fleet] section
}

// ZonesMode is who decides to evacuate a zone or to return load to it, as spelled in documents.
type ZonesMode string

// Values of Zones.Mode.
const (
	ZonesOff    ZonesMode = "off"
	ZonesManual ZonesMode = "ask"  // an operator decides
	ZonesAuto   ZonesMode = "auto" // the control service decides
)

// Zones is the policy for the evacuation of failing zones and the recovery ramp that returns load to them.
type Zones struct {
	Mode         ZonesMode     // ZonesOff without a [zones] section
	InitialShare float64       // share of a zone's load that a recovery ramp begins with
	MinStepTime  time.Duration // minimum time at each share of a ramp
	OrderTTL     time.Duration // how long a zone order is valid without contact to the group
	MaxRampDelay time.Duration // maximum delay of the ramp of a zone that fails repeatedly
	ColdStart    bool          // a fleet most of whose nodes restart at once begins with InitialShare
	Present      bool          // the document has a [zones] section
}

// Document is the content of one version. Its classes, tenants and pools are sorted by name, its levels by number.
type Document struct {
	Classes []Class
	Tenants []Tenant
	Pools   []Pool
	Levels  []Level
	Rollout Rollout
	Fleet   Fleet
	Zones   Zones
}

// Class returns the class with a name, false if there is none.
func (d *Document) Class(name string) (Class, bool) {
	i := sort.Search(len(d.Classes), func(i int) bool { return d.Classes[i].Name >= name })
	if i < len(d.Classes) && d.Classes[i].Name == name {
		return d.Classes[i], true
	}
	return Class{}, false
}

func (d *Document) hasPool(name string) bool {
	for _, p := range d.Pools {
		if p.Name == name {
			return true
		}
	}
	return false
}
