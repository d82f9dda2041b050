package zones

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

// TestPinnedGate: a recorded run of requests, orders and time without the group, with faults in it (a clock that stands, a share
// that falls, an order that ends), gives the decisions of a gate and the reports of a meter of version 2a0a97e, byte for byte.
func TestPinnedGate(t *testing.T) {
	sum, rng := sha256.New(), rand.New(rand.NewPCG(5, 9))
	say := func(format string, args ...any) { fmt.Fprintf(sum, format+"\n", args...) }
	values := []float64{1, 5, 20}
	gate, meter := NewGate(len(values), 7), NewMeter(1000, values)
	taken, refused, finals, dialled, changes := 0, 0, 0, 0, 0
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
			if gate.Order(now, &order) {
				changes++
			}
		case 850:
			say("none %v", gate.Order(now, nil))
		case 890:
			gate.Begin(now, 16, 1000)
		}
		if step%900 > 550 && step%900 < 690 || step%900 > 890 {
			if gate.Alone(now, rng.IntN(4) != 0) {
				changes++
			}
		}
		if step%5 == 0 && gate.Dial(now) {
			dialled++
		}
		handler := rng.IntN(len(values))
		q := Asked{Handler: handler, Value: values[handler], Again: rng.IntN(5) == 0, Known: rng.IntN(30) == 0,
			Hash: Hash([]byte(fmt.Sprint("key", rng.IntN(2000))), nil, 0)}
		if rng.IntN(2) == 0 {
			q.Hash = Hash(nil, []byte("tenant"), uint32(rng.IntN(500)))
		}
		ok, last := gate.Take(now, q)
		meter.Came(now, handler, q.Again, !ok)
		switch {
		case ok:
			taken++
			meter.Ran(now, 20*rng.Float64())
			meter.Called(now, 9*rng.Float64(), rng.IntN(9) == 0)
			meter.Answered(now, handler, []int{200, 200, 200, 503, 500}[rng.IntN(5)], rng.IntN(8) != 0)
		case last:
			finals++
		default:
			refused++
		}
		if step%11 == 0 {
			meter.Opened(now)
			meter.Gauged(now, 4*rng.Float64())
		}
		say("%d %v %v %d %d %d %v %d", now, ok, last, gate.Back(now, q), gate.Epoch(), gate.Share(), gate.Out(), gate.Turned)
		if step%250 == 0 {
			raw, _ := json.Marshal(meter.Load(now, step%500 == 0, 4, step%3))
			say("%s %v", raw, meter.Well(now, step%3))
		}
		if step == 15_000 {
			now += 60_000 // nothing came for a minute
			values = []float64{2, 5, 20}
			meter.Values(values)
		}
	}
	got := fmt.Sprintf("%s taken=%d refused=%d final=%d dialled=%d changes=%d\n", hex.EncodeToString(sum.Sum(nil)), taken, refused,
		finals, dialled, changes)
	want, err := os.ReadFile(filepath.Join("testdata", "pin_gate.txt"))
	if err != nil || got != string(want) {
		t.Errorf("%v, found\n%s\nexpected\n%s", err, got, want)
	}
}

// TestPinnedReport: a meter's report with every field set is sent in the bytes of version 2a0a97e.
func TestPinnedReport(t *testing.T) {
	values := make([]float64, 20) // more than a report has room for
	for i := range values {
		values[i] = float64(i + 1)
	}
	m := NewMeter(10_000, values)
	for now := uint64(10_000); now < 14_000; now += 10 {
		i := int(now / 10)
		m.Came(now, i%20, i%7 == 0, i%9 == 0)
		m.Answered(now, i%20, []int{200, 503, 500, 200}[i%4], i%3 != 0)
		m.Ran(now, float64(i%50))
		m.Called(now, float64(i%30), i%11 == 0)
		m.Opened(now)
		m.Gauged(now, 1.5)
	}
	got, err := json.Marshal(m.Load(14_000, true, 4, 3))
	want, missing := os.ReadFile(filepath.Join("testdata", "pin_report.json"))
	if err != nil || missing != nil || !bytes.Equal(got, bytes.TrimSpace(want)) {
		t.Errorf("%v, %v, wrote\n%s\nexpected\n%s", err, missing, got, want)
	}
}
