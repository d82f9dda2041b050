package server

import "testing"

// A rejection without a status would be taken for a request that the controller heard of, and never be answered.
func TestEachRejectionHasAStatus(t *testing.T) {
	for why := notRejected + 1; why < rejections; why++ {
		if rejectionStatuses[why] == 0 {
			t.Errorf("rejection %d has no status", why)
		}
	}
}
