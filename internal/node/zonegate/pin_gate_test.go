package zonegate

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"umberwinch/internal/control/api"
)

// TestRecordedGate guards against an unintended change of any decision of a gate or report of a meter. The recording
// has orders, times without the control service, a clock that stands still, falling shares and a removed order; the
// hash in testdata is that of version 2a0a97e.
func TestRecordedGate(t *testing.T) {
	sum, rng := sha256.New(), rand.New(rand.NewPCG(5, 9))
	note := func(format string, args ...any) { fmt.Fprintf(sum, format+"\n", args...) }
	values := []float64{1, 5, 20}
	gate, meter := NewGate(len(values), 7), NewMeter(1000, values)
	admitted, rejected, finals, connections, changes := 0, 0, 0, 0, 0
	order, now := api.ZoneOrder{Share: api.FullShare}, uint64(1000)
	for step := range 20_000 {
		if step%7 != 0 {
			now += uint64(rng.IntN(40))
		}
		switch step % 900 {
		case 100, 300, 500, 700:
			order.Epoch++
			order = api.ZoneOrder{Epoch: order.Epoch, Share: []int{0, 16, 40, 100, 256, 20}[rng.IntN(6)], TTLMS: 1500}
			if rng.IntN(2) == 0 {
				order.RateLimited, order.RateLimit, order.ConnectRateLimit = true, 60*rng.Float64(), 40*rng.Float64()
			}
			if rng.IntN(3) == 0 {
				order.PriorityCutoff = 5
			}
			if rng.IntN(2) == 0 {
				order.RetryBudget, order.NoCapacityElsewhere = 64, rng.IntN(2) == 0
			}
			if gate.SetOrder(now, &order) {
				changes++
			}
		case 850:
			note("none %v", gate.SetOrder(now, nil))
		case 890:
			gate.BeginAutonomousColdStart(now, 16, 1000)
		}
		if step%900 > 550 && step%900 < 690 || step%900 > 890 {
			if gate.AdjustAutonomousShare(now, rng.IntN(4) != 0) {
				changes++
			}
		}
		if step%5 == 0 && gate.AdmitConnection(now) {
			connections++
		}
		handler := rng.IntN(len(values))
		request := Request{Handler: handler, Weight: values[handler], IsRetry: rng.IntN(5) == 0,
			SeenBefore: rng.IntN(30) == 0,
			Hash:       RequestHash([]byte(fmt.Sprint("key", rng.IntN(2000))), nil, 0)}
		if rng.IntN(2) == 0 {
			request.Hash = RequestHash(nil, []byte("tenant"), uint32(rng.IntN(500)))
		}
		decision := gate.Admit(now, request)
		if decision.Admitted {
			meter.RequestAdmitted(now, handler, request.IsRetry)
		} else {
			meter.RequestRejected(now, handler, request.IsRetry)
		}
		switch {
		case decision.Admitted:
			admitted++
			meter.RunEnded(now, 20*rng.Float64())
			meter.CallEnded(now, 9*rng.Float64(), rng.IntN(9) == 0)
			meter.RequestAnswered(now, handler, []int{200, 200, 200, 503, 500}[rng.IntN(5)], rng.IntN(8) != 0)
		case decision.Final:
			finals++
		default:
			rejected++
		}
		if step%11 == 0 {
			meter.ConnectionOpened(now)
			meter.CoresSampled(now, 4*rng.Float64())
		}
		note("%d %v %v %d %d %d %v %d", now, decision.Admitted, decision.Final, gate.RetryAfter(now, request),
			gate.Epoch(), gate.Share(), gate.Evacuated(), gate.Rejected)
		if step%250 == 0 {
			raw, _ := json.Marshal(meter.Report(now, step%500 == 0, 4, step%3))
			note("%s %v", raw, meter.Healthy(now, step%3))
		}
		if step == 15_000 {
			now += 60_000 // no requests for a minute
			values = []float64{2, 5, 20}
			meter.SetWeights(values)
		}
	}
	got := fmt.Sprintf("%s taken=%d refused=%d final=%d dialled=%d changes=%d\n", hex.EncodeToString(sum.Sum(nil)),
		admitted, rejected, finals, connections, changes)
	want, err := os.ReadFile(filepath.Join("testdata", "pin_gate.txt"))
	if err != nil || got != string(want) {
		t.Errorf("recording: got\n%s\nwant (error %v)\n%s", got, err, want)
	}
}

// TestRecordedReport guards against a change of the JSON that a report with every field set is sent as.
func TestRecordedReport(t *testing.T) {
	values := make([]float64, 20) // more than a report holds
	for i := range values {
		values[i] = float64(i + 1)
	}
	m := NewMeter(10_000, values)
	for now := uint64(10_000); now < 14_000; now += 10 {
		i := int(now / 10)
		if i%9 == 0 {
			m.RequestRejected(now, i%20, i%7 == 0)
		} else {
			m.RequestAdmitted(now, i%20, i%7 == 0)
		}
		m.RequestAnswered(now, i%20, []int{200, 503, 500, 200}[i%4], i%3 != 0)
		m.RunEnded(now, float64(i%50))
		m.CallEnded(now, float64(i%30), i%11 == 0)
		m.ConnectionOpened(now)
		m.CoresSampled(now, 1.5)
	}
	got, err := json.Marshal(m.Report(14_000, true, 4, 3))
	want, readErr := os.ReadFile(filepath.Join("testdata", "pin_report.json"))
	if err != nil || readErr != nil || !bytes.Equal(got, bytes.TrimSpace(want)) {
		t.Errorf("report: got (error %v)\n%s\nwant (error %v)\n%s", err, got, readErr, want)
	}
}
