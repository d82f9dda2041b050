// Package overlay turns a version of the policy into what one node's module is told: the platform's deployment with
// the version's values, targets, timeouts and quotas laid over it. It owns what a version may say to a node that the
// platform has told otherwise. It reads nothing and keeps nothing.
package overlay

import (
	"fmt"
	"strings"
	"time"

	"umberwinch/admission"
	"umberwinch/internal/control/document"
	"umberwinch/internal/node/pools"
	"umberwinch/internal/node/settings"
)

// Settings is a version as a node would serve under it.
type Settings struct {
	Version         uint64
	Document        *document.Document
	Deployment      *admission.Deployment
	PoolClasses     []pools.Class // the version's word on run slots by handler; nil: it has none
	RetiredHandlers []bool        // handlers of which nothing new is taken
}

var kinds = map[string]admission.RetrySafety{document.Replayable: admission.Retryable, document.Uniqued: admission.IdempotencyKeyed,
	document.NonReplayable: admission.NonRetryable}

func span(d time.Duration) admission.Time { return admission.Time(d / (100 * time.Microsecond)) }

func word(t admission.Time) string { return (time.Duration(t) * 100 * time.Microsecond).String() }

// Apply checks a version against the platform's settings and lays it over them. What is wrong comes all at once.
// apart tells whether the node sets run slots apart by handler, which can't be begun while it serves.
func Apply(version uint64, base *settings.Profile, doc *document.Document, apart bool) (*Settings, error) {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	d := *base.Deployment
	d.Handlers = append([]admission.Handler(nil), d.Handlers...)
	d.Tenants = append([]admission.Tenant(nil), d.Tenants...)
	p := &Settings{Version: version, Document: doc, Deployment: &d, RetiredHandlers: make([]bool, len(d.Handlers))}
	inPool := map[string]string{}
	for _, c := range doc.Classes {
		i, known := base.Handlers[c.Name]
		if !known {
			fault("class %s: found it in the policy, expected only handlers that the platform has here", c.Name)
			continue
		}
		h := &d.Handlers[i]
		if kinds[c.Kind] != h.RetrySafety {
			fault("class %s.kind: found %s, expected the platform's", c.Name, c.Kind)
		}
		// Callers wait as long as the platform told them, and come again within its window.
		if t := span(c.Timeout); t > h.Timeout {
			fault("class %s.client_timeout: found %s, expected at most the platform's %s", c.Name, c.Timeout,
				word(h.Timeout))
		} else if t > 0 {
			h.Timeout = t
		}
		if w := span(c.Window); w < h.IdempotencyWindow && h.RetrySafety == admission.IdempotencyKeyed {
			fault("class %s.window: found %s, expected at least the platform's %s", c.Name, c.Window, word(h.IdempotencyWindow))
		} else if h.RetrySafety == admission.IdempotencyKeyed {
			h.IdempotencyWindow = w
		}
		h.Value, h.LatencyObjective = c.Value, min(max(span(c.Target), 1), h.Timeout)
		p.RetiredHandlers[i] = c.Retired
		if c.Pool != "" {
			if was, twice := inPool[c.Pool]; twice {
				fault("pool %s: found classes %s and %s in it, expected one here, as run slots are set apart by handler",
					c.Pool, was, c.Name)
			}
			inPool[c.Pool] = c.Name
		}
	}
	for _, t := range doc.Tenants {
		if i, known := base.Tenants[t.Name]; known && t.Rate > 0 {
			d.Tenants[i].Quota = t.Rate
		}
	}
	for _, o := range doc.Pools {
		class, used := inPool[o.Name]
		if !used {
			continue
		}
		if !apart {
			fault("pool %s: found it in the policy, expected none while this node's own file has no [pool HANDLER]", o.Name)
			break
		}
		i, known := base.Handlers[class]
		if !known {
			continue
		}
		if p.PoolClasses == nil {
			p.PoolClasses = make([]pools.Class, len(d.Handlers))
			for name, k := range base.Handlers { // each has a place of its own
				p.PoolClasses[k] = pools.Class{Name: name, Value: d.Handlers[k].Value, Cap: 1}
			}
		}
		p.PoolClasses[i].Floor, p.PoolClasses[i].Cap = o.Floor, o.Cap
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(faults, "; "))
	}
	return p, nil
}
