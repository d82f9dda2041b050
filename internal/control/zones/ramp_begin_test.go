package zones

import "testing"

// TestReadyToRamp: load that returns to a zone without nodes or kernels is lost. Half of the nodes that it had have
// to be heard, with their kernels, and what a zone keeps that was evacuated in part must not fail.
func TestReadyToRamp(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(z *Zone, v *View)
		ready  bool
	}{
		{"all there", func(*Zone, *View) {}, true},
		{"nobody is heard", func(_ *Zone, v *View) { v.NodesSilent = 10 }, false},
		{"nobody is in", func(_ *Zone, v *View) { v.NodesIn = 0 }, false},
		{"half are there", func(_ *Zone, v *View) { v.NodesSilent = 5 }, true},
		{"fewer are", func(_ *Zone, v *View) { v.NodesSilent = 6 }, false},
		{"few report", func(_ *Zone, v *View) { v.NodesReporting = 3 }, false},
		{"no kernels", func(_ *Zone, v *View) { v.KernelsUp = false }, false},
		{"nodes unhealthy while evacuated", func(_ *Zone, v *View) { v.NodesUnhealthy = 9 }, true},
		{"the same, in part", func(z *Zone, v *View) { z.Share, v.NodesUnhealthy = 64, 9 }, false},
	} {
		zone := &Zone{Phase: Evacuated, NodesBefore: 10}
		view := &View{NodesIn: 10, NodesReporting: 10, KernelsUp: true, Note: "a note"}
		c.change(zone, view)
		if obstacle := readyToRamp(zone, view); (obstacle == "") != c.ready {
			t.Errorf("%s: %q, expected ready %v", c.name, obstacle, c.ready)
		}
	}
}
