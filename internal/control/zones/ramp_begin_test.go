package zones

import "testing"

// TestReadyToRamp checks that load returns only to a zone with half of its former nodes, their kernels and, if it was
// evacuated partially, without failures.
func TestReadyToRamp(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(z *Zone, v *View)
		ready  bool
	}{
		{"all nodes present", func(*Zone, *View) {}, true},
		{"all nodes silent", func(_ *Zone, v *View) { v.NodesSilent = 10 }, false},
		{"no nodes in", func(_ *Zone, v *View) { v.NodesIn = 0 }, false},
		{"half of the nodes present", func(_ *Zone, v *View) { v.NodesSilent = 5 }, true},
		{"fewer than half present", func(_ *Zone, v *View) { v.NodesSilent = 6 }, false},
		{"no quorum of reports", func(_ *Zone, v *View) { v.NodesReporting = 3 }, false},
		{"no kernels connected", func(_ *Zone, v *View) { v.KernelsUp = false }, false},
		{"unhealthy, fully evacuated", func(_ *Zone, v *View) { v.NodesUnhealthy = 9 }, true},
		{"unhealthy, partially evacuated", func(z *Zone, v *View) { z.Share, v.NodesUnhealthy = 64, 9 }, false},
	} {
		zone := &Zone{Phase: Evacuated, NodesBefore: 10}
		view := &View{NodesIn: 10, NodesReporting: 10, KernelsUp: true, Note: "a note"}
		c.change(zone, view)
		if missing := readyToRamp(zone, view); (missing == "") != c.ready {
			t.Errorf("%s: readyToRamp() = %q, want ready %v", c.name, missing, c.ready)
		}
	}
}
