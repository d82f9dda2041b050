package document

import (
	"sort"
	"time"
)

// Bounds of a document. They bound the time of a check and what each version, node and instance holds.
const (
	MaxBytes   = 1 << 20 // in canonical form too
	MaxClasses = 256
	MaxTenants = 10000
	MaxPools   = 64
	MaxLevels  = 16
)

// ClassKind says whether a request may be run a second time, in the words of documents.
type ClassKind string

// Kinds of classes.
const (
	Idempotent       ClassKind = "replayable"
	IdempotencyKeyed ClassKind = "uniqued" // a retry gets the first run's result
	NotIdempotent    ClassKind = "non-replayable"
)

// Class is what requests of one handler are worth and how they may be run.
type Class struct {
	Name              string
	Kind              ClassKind
	Weight            float64
	LatencyObjective  time.Duration // response_target
	Timeout           time.Duration // of the client
	IdempotencyWindow time.Duration // how long a request may be retried
	Pool              string
	Retired           bool // sheds all its requests; may be removed or changed in the next version
}

// Tenant is what one tenant may use.
type Tenant struct {
	Name  string
	Share float64 // of capacity, 0 for none of its own
	Rate  float64 // requests a second, 0 for no limit
}

// Pool is work that is kept apart from other work, in shares of capacity.
type Pool struct {
	Name     string
	MinShare float64 // of capacity
	MaxShare float64
	Lendable bool // lent out while not needed
}

// Level is a step of reduced service.
type Level struct {
	Number    int
	EnterLoad float64       // times capacity; at it or above the level begins
	LeaveLoad float64       // below it the level ends
	MinTime   time.Duration // at the level
	Sheds     []string      // names of classes
}

// Rollout is how a version reaches the nodes.
type Rollout struct {
	Stages          []int // percent of nodes
	StageTime       time.Duration
	MaxShedIncrease float64 // share of requests shed beyond those before, that stops it
	MaxLateIncrease float64 // of requests late
}

// Fleet is how long nodes serve under a version without word of the group, and what they do then.
type Fleet struct {
	Lease      time.Duration
	Autonomous bool // past the lease it serves on: when_alone = go-on
	Present    bool // the document has the section
}

// ZonesMode says who evacuates zones and returns load to them, in the words of documents.
type ZonesMode string

// Modes of Zones.
const (
	ZonesOff  ZonesMode = "off"
	ZonesAsk  ZonesMode = "ask"  // an operator decides
	ZonesAuto ZonesMode = "auto" // the rules decide
)

// Zones is whether the fleet evacuates zones that fail and returns to them, and how.
type Zones struct {
	Mode       ZonesMode     // ZonesOff without the section
	FirstShare float64       // of its traffic, that a return begins with
	StepTime   time.Duration // least time at each quota of a return
	OrderTime  time.Duration // how long a node follows its last order without the group
	MaxBackoff time.Duration // longest wait of a zone that fails again and again
	SmallStart bool          // a fleet of which most nodes restart at once begins with FirstShare
	Present    bool
}

// Document is the content of one version.
type Document struct {
	Classes []Class
	Tenants []Tenant
	Pools   []Pool
	Levels  []Level
	Rollout Rollout
	Fleet   Fleet
	Zones   Zones
}

// Class returns a class by name; ok is false if there is none.
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
