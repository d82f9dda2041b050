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

// TestApply guards against a version that breaks the platform's promises to callers, and against changes of the
// platform's own settings.
func TestApply(t *testing.T) {
	base, err := settings.Parse([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	const view, submit = "[class view]\nkind = replayable\n", "[class submit]\nkind = uniqued\nwindow = 20s\n"
	for _, c := range []struct{ name, doc, want string }{
		{"empty document", "", ""},
		{"weights, latency objectives and quotas", view +
			"value = 3\nresponse_target = 200ms\nclient_timeout = 2s\n[tenant t0]\nrate = 7\n", ""},
		{"unknown handler", "[class other]\nkind = replayable\n", "class other: found it in the policy"},
		{"different kind", "[class view]\nkind = non-replayable\nclient_timeout = 3s\n",
			"class view.kind: found non-replayable"},
		{"longer timeout", view + "client_timeout = 5s\n",
			"client_timeout: found 5s, expected at most the platform's 3s"},
		{"shorter window", "[class submit]\nkind = uniqued\nwindow = 10s\n", "window: found 10s"},
		{"longer window", "[class submit]\nkind = uniqued\nwindow = 30s\n", ""},
		{"pools on a node without them",
			view + "client_timeout = 3s\npool = p\n[pool p]\nfloor = 0.1\n", "no [pool HANDLER]"},
		{"several conflicts", "[class other]\nkind = replayable\n" + submit + "client_timeout = 1h\n",
			"client_timeout: found 1h"},
	} {
		doc, err := document.Parse(c.name, []byte(c.doc))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		_, err = Apply(4, base, doc, false)
		if c.want == "" {
			if err != nil {
				t.Errorf("%s: Apply() error = %v, want none", c.name, err)
			}
			continue
		}
		if conflict := (*ConflictError)(nil); !errors.As(err, &conflict) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: Apply() error = %v, want a *ConflictError with %q", c.name, err, c.want)
		}
	}
	doc, err := document.Parse("d",
		[]byte(view+"value = 3\nresponse_target = 200ms\nclient_timeout = 2s\nretired = yes\n"+
			"[tenant t0]\nrate = 7\n"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Apply(4, base, doc, false)
	if err != nil {
		t.Fatal(err)
	}
	handler := got.Deployment.Handlers[0]
	if handler.Value != 3 || handler.LatencyObjective != 200*admission.Second/1000 ||
		handler.Timeout != 2*admission.Second || !got.RetiredHandlers[0] ||
		got.Deployment.Tenants[0].Quota != 7 || got.Deployment.Handlers[1].Value != 20 {
		t.Errorf("Apply() gave deployment %+v, retired handlers %v; want handler 0 retired, with value 3, "+
			"latency objective 200 ms and timeout 2 s, handler 1 with value 20, and quota 7 of tenant 0",
			got.Deployment, got.RetiredHandlers)
	}
	if base.Deployment.Handlers[0].Value != 1 || base.Deployment.Tenants[0].Quota != 100 {
		t.Errorf("Apply() changed the platform's deployment to %+v", base.Deployment)
	}
	doc, err = document.Parse("p", []byte(view+"client_timeout = 3s\npool = p\n[pool p]\nfloor = 0.1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err = Apply(5, base, doc, true); err != nil || got.PoolClasses[0].MinFraction != 0.1 ||
		got.PoolClasses[1].MaxFraction != 1 {
		t.Errorf(
			"Apply() with pools = %+v, %v; want minimum fraction 0.1 of handler 0 and maximum fraction 1 of handler 1",
			got, err)
	}
}
