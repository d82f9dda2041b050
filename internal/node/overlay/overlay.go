package overlay

import (
	"fmt"
	"time"

	"umberwinch/admission"
	"umberwinch/internal/control/document"
	"umberwinch/internal/node/pools"
	"umberwinch/internal/node/settings"
)

// Settings are the settings that a node serves under with one policy version.
type Settings struct {
	Version         uint64
	Document        *document.Document
	Deployment      *admission.Deployment
	PoolClasses     []pools.Class // run slots by handler; nil: no pool of the document has a class
	RetiredHandlers []bool        // by handler: new requests are rejected
}

// retrySafetyOfKind maps the kinds of classes in documents to the platform's retry safety.
var retrySafetyOfKind = map[document.ClassKind]admission.RetrySafety{document.Idempotent: admission.Retryable,
	document.IdempotencyKeyed: admission.IdempotencyKeyed, document.NotIdempotent: admission.NonRetryable}

// admissionTick is the unit of admission.Time.
const admissionTick = 100 * time.Microsecond

func toAdmissionTime(d time.Duration) admission.Time { return admission.Time(d / admissionTick) }

func toDuration(t admission.Time) time.Duration { return time.Duration(t) * admissionTick }

// builder accumulates the settings and the conflicts of one Apply.
type builder struct {
	base        *settings.Startup
	settings    *Settings
	classOfPool map[string]string // class name by pool name
	conflicts   []string
}

// Apply applies a version's document to the platform's settings. poolsEnabled reports whether the node reserves run
// slots by handler, which can't be enabled while it serves. The error is a *ConflictError.
func Apply(version uint64, base *settings.Startup, doc *document.Document, poolsEnabled bool) (*Settings, error) {
	deployment := *base.Deployment
	deployment.Handlers = append([]admission.Handler(nil), deployment.Handlers...)
	deployment.Tenants = append([]admission.Tenant(nil), deployment.Tenants...)
	b := &builder{base: base, classOfPool: map[string]string{}, settings: &Settings{Version: version, Document: doc,
		Deployment: &deployment, RetiredHandlers: make([]bool, len(deployment.Handlers))}}
	for i := range doc.Classes {
		b.applyClass(&doc.Classes[i])
	}
	for i := range doc.Tenants {
		b.applyTenant(&doc.Tenants[i])
	}
	b.applyPools(doc.Pools, poolsEnabled)
	if len(b.conflicts) > 0 {
		return nil, &ConflictError{b.conflicts}
	}
	return b.settings, nil
}

func (b *builder) addConflict(format string, args ...any) {
	b.conflicts = append(b.conflicts, fmt.Sprintf(format, args...))
}

// applyClass applies a class's weight, latency objective, timeout and window. Callers rely on the platform's kind,
// timeout and window, so a version may only shorten the timeout and extend the window.
func (b *builder) applyClass(class *document.Class) {
	index, known := b.base.HandlerIndex[class.Name]
	if !known {
		b.addConflict("class %s: found it in the policy, expected only handlers that the platform has here", class.Name)
		return
	}
	handler := &b.settings.Deployment.Handlers[index]
	if retrySafetyOfKind[class.Kind] != handler.RetrySafety {
		b.addConflict("class %s.kind: found %s, expected the platform's", class.Name, class.Kind)
	}
	if timeout := toAdmissionTime(class.Timeout); timeout > handler.Timeout {
		b.addConflict("class %s.client_timeout: found %s, expected at most the platform's %s", class.Name,
			class.Timeout, toDuration(handler.Timeout))
	} else if timeout > 0 {
		handler.Timeout = timeout
	}
	if handler.RetrySafety == admission.IdempotencyKeyed {
		b.applyWindow(class, handler)
	}
	handler.Value = class.Weight
	handler.LatencyObjective = min(max(toAdmissionTime(class.LatencyObjective), 1), handler.Timeout)
	b.settings.RetiredHandlers[index] = class.Retired
	b.assignPool(class)
}

// applyWindow applies a class's idempotency window, which must not be shorter than the platform's.
func (b *builder) applyWindow(class *document.Class, handler *admission.Handler) {
	window := toAdmissionTime(class.IdempotencyWindow)
	if window < handler.IdempotencyWindow {
		b.addConflict("class %s.window: found %s, expected at least the platform's %s", class.Name,
			class.IdempotencyWindow, toDuration(handler.IdempotencyWindow))
		return
	}
	handler.IdempotencyWindow = window
}

// assignPool assigns a class to its pool. A document names its pools, but each pool has at most one class, since
// run slots are reserved by handler.
func (b *builder) assignPool(class *document.Class) {
	if class.Pool == "" {
		return
	}
	if other, assigned := b.classOfPool[class.Pool]; assigned {
		b.addConflict(
			"pool %s: found classes %s and %s in it, expected one here, as run slots are set apart by handler",
			class.Pool, other, class.Name)
	}
	b.classOfPool[class.Pool] = class.Name
}

// applyTenant applies a tenant's quota. Tenants that the platform does not have here are ignored.
func (b *builder) applyTenant(tenant *document.Tenant) {
	if index, known := b.base.TenantIndex[tenant.Name]; known && tenant.Rate > 0 {
		b.settings.Deployment.Tenants[index].Quota = tenant.Rate
	}
}

// applyPools applies the run slots of the pools that have a class.
func (b *builder) applyPools(docPools []document.Pool, enabled bool) {
	for _, pool := range docPools {
		class, used := b.classOfPool[pool.Name]
		if !used {
			continue
		}
		if !enabled {
			b.addConflict("pool %s: found it in the policy, "+
				"expected none while this node's own file has no [pool HANDLER]", pool.Name)
			return
		}
		index, known := b.base.HandlerIndex[class]
		if !known {
			continue
		}
		if b.settings.PoolClasses == nil {
			b.settings.PoolClasses = b.unlimitedPools()
		}
		limits := &b.settings.PoolClasses[index]
		limits.MinFraction, limits.MaxFraction = pool.MinShare, pool.MaxShare
	}
}

// unlimitedPools returns a pool for each handler that reserves no run slot and may use all of them.
func (b *builder) unlimitedPools() []pools.Class {
	classes := make([]pools.Class, len(b.settings.Deployment.Handlers))
	for name, index := range b.base.HandlerIndex {
		classes[index] = pools.Class{Name: name, Value: b.settings.Deployment.Handlers[index].Value, MaxFraction: 1}
	}
	return classes
}
