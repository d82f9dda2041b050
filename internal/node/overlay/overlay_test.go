package overlay

import (
	"errors"
	"strings"
	"testing"

	"umberwinch/admission"
	"umberwinch/internal/control/document"
	"umberwinch/internal/node/settings"
)

const settingsJSON = `{"classes": [{"name": "view", "give_up": 3000000, "promise": 300000, "gain": 1,
  "semantics": "idempotent"},
 {"name": "submit", "give_up": 10000000, "promise": 2000000, "gain": 20,
  "semantics": "deduplicated", "window": 20000000}],
 "customers": [{"name": "t0", "quota_per_s": 100}], "family_info": {"cores": 2, "memory_kb": 10000}}`

// TestApply: a version contradicts what the platform has promised its callers. It is refused with all its conflicts
// at once; one that stays within those promises is laid over the settings, which stay as they are.
func TestApply(t *testing.T) {
	base, err := settings.Parse([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	const view, submit = "[class view]\nkind = replayable\n", "[class submit]\nkind = uniqued\nwindow = 20s\n"
	for _, c := range []struct{ name, doc, why string }{
		{"nothing said", "", ""},
		{"values and targets", view +
			"value = 3\nresponse_target = 200ms\nclient_timeout = 2s\n[tenant t0]\nrate = 7\n", ""},
		{"a handler that is not there", "[class other]\nkind = replayable\n", "class other: found it in the policy"},
		{"another kind", "[class view]\nkind = non-replayable\nclient_timeout = 3s\n",
			"class view.kind: found non-replayable"},
		{"a longer timeout", view + "client_timeout = 5s\n",
			"client_timeout: found 5s, expected at most the platform's 3s"},
		{"a shorter window", "[class submit]\nkind = uniqued\nwindow = 10s\n", "window: found 10s"},
		{"a longer window", "[class submit]\nkind = uniqued\nwindow = 30s\n", ""},
		{"pools where none are", view + "client_timeout = 3s\npool = p\n[pool p]\nfloor = 0.1\n", "no [pool HANDLER]"},
		{"all faults at once", "[class other]\nkind = replayable\n" + submit + "client_timeout = 1h\n",
			"client_timeout: found 1h"},
	} {
		doc, err := document.Parse(c.name, []byte(c.doc))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		_, err = Apply(4, base, doc, false)
		if c.why == "" {
			if err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
			continue
		}
		if conflict := (*ConflictError)(nil); !errors.As(err, &conflict) || !strings.Contains(err.Error(), c.why) {
			t.Errorf("%s: found %v, expected %q", c.name, err, c.why)
		}
	}
	doc, err := document.Parse("d",
		[]byte(view+"value = 3\nresponse_target = 200ms\nclient_timeout = 2s\nretired = yes\n"+
			"[tenant t0]\nrate = 7\n"))
	if err != nil {
		t.Fatal(err)
	}
	p, err := Apply(4, base, doc, false)
	if err != nil {
		t.Fatal(err)
	}
	h := p.Deployment.Handlers[0]
	if h.Value != 3 || h.LatencyObjective != 200*admission.Second/1000 || h.Timeout != 2*admission.Second ||
		!p.RetiredHandlers[0] ||
		p.Deployment.Tenants[0].Quota != 7 || p.Deployment.Handlers[1].Value != 20 {
		t.Errorf("made %+v", p.Deployment)
	}
	if base.Deployment.Handlers[0].Value != 1 || base.Deployment.Tenants[0].Quota != 100 {
		t.Error("the platform's deployment was changed")
	}
	doc, err = document.Parse("p", []byte(view+"client_timeout = 3s\npool = p\n[pool p]\nfloor = 0.1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if p, err = Apply(5, base, doc, true); err != nil || p.PoolClasses[0].MinFraction != 0.1 ||
		p.PoolClasses[1].MaxFraction != 1 {
		t.Errorf("pools where run slots are set apart: %v %+v", err, p)
	}
}
