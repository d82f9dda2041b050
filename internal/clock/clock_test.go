package clock

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// fakeClocks is a pair of clocks that the test advances.
type fakeClocks struct{ mono, wall time.Duration }

func newFakeClocks() *fakeClocks { return &fakeClocks{mono: origin, wall: 1_764_576_000 * time.Second} }

func (m *fakeClocks) read() Reading { return Reading{Monotonic: m.mono, Wall: m.wall} }

func (m *fakeClocks) advance(d time.Duration) { m.mono, m.wall = m.mono+d, m.wall+d }

const timeout = 6 * time.Second

// A stamp from before or after a step must get bounds that include the time at which it was made.
func TestStampsAroundStepAreBounded(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		for _, before := range []time.Duration{0, time.Second, 4 * time.Second} {
			for _, after := range []time.Duration{0, 10 * time.Millisecond, time.Second, 3500 * time.Millisecond} {
				t.Run(fmt.Sprint(step, before, after), func(t *testing.T) {
					m := newFakeClocks()
					s := NewStamps(m.read, 2*timeout)
					m.advance(10 * time.Second)
					s.Observe(m.read)
					stampBefore, timeBefore := m.wall, m.mono
					m.advance(before)
					s.Observe(m.read)
					m.wall += step
					if _, got := s.Observe(m.read); got != step {
						t.Errorf("Observe() step = %v, want %v", got, step)
					}
					m.advance(after)
					stampAfter, timeAfter := m.wall, m.mono
					m.advance(100 * time.Millisecond)
					s.Observe(m.read)
					s.checkPlace(t, m.mono, stampBefore, timeBefore)
					s.checkPlace(t, m.mono, stampAfter, timeAfter)
				})
			}
		}
	}
}

func (s *Stamps) checkPlace(t *testing.T, now, stamp, at time.Duration) {
	t.Helper()
	earliest, latest, ok := s.Place(now, stamp, time.Second)
	if !ok || earliest > at || latest < at || latest > now {
		t.Errorf("Place(%v, %v) = %v, %v, %v, want bounds that include %v", now, stamp, earliest, latest, ok, at)
	}
}

// Around a step of an hour, far larger than a stamp's possible age, each stamp must get one exact time.
func TestStampsAcrossLargeStepsAreExact(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	var stamps, places []time.Duration
	for _, step := range []time.Duration{time.Hour, -2 * time.Hour, time.Hour} {
		stamps, places = append(stamps, m.wall), append(places, m.mono)
		m.advance(time.Second)
		s.Observe(m.read)
		m.wall += step
		s.Observe(m.read)
		m.advance(time.Second)
	}
	for i := range stamps {
		if earliest, latest, ok := s.Place(m.mono, stamps[i], time.Second); !ok || earliest != places[i] ||
			latest != places[i] {
			t.Errorf("Place() of stamp %d = %v, %v, %v, want %v exactly", i, earliest, latest, ok, places[i])
		}
	}
}

// If the clock is stepped while the process is suspended, the time of the step is unknown. Stamps made during the
// suspension must be placed all the same.
func TestStampsDuringSuspensionWithStepArePlaced(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	m.advance(time.Second)
	stampBefore, timeBefore := m.wall, m.mono
	m.advance(time.Second)
	m.wall += time.Hour
	stampAfter, timeAfter := m.wall, m.mono
	m.advance(2 * time.Second)
	s.Observe(m.read)
	s.checkPlace(t, m.mono, stampBefore, timeBefore)
	s.checkPlace(t, m.mono, stampAfter, timeAfter)
}

// A stamp that is too old or too far ahead in every epoch must be rejected; one within the slack ahead counts as now.
func TestImplausibleStampsAreRejected(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	m.advance(time.Hour)
	s.Observe(m.read)
	for _, offset := range []time.Duration{time.Hour, 1001 * time.Millisecond, -2*timeout - time.Millisecond,
		-time.Hour} {
		if _, _, ok := s.Place(m.mono, m.wall+offset, time.Second); ok {
			t.Errorf("Place() accepted a stamp that is off by %v, want it rejected", offset)
		}
	}
	if at, _, ok := s.Place(m.mono, m.wall+time.Second, time.Second); !ok || at != m.mono {
		t.Errorf("Place() of a stamp within the slack = %v, %v, want now, %v", at, ok, m.mono)
	}
}

// Slew, a suspension of the process, and one between the two readings must not be reported as steps.
func TestSlewAndSuspensionAreNotSteps(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	for range 1000 {
		m.advance(100 * time.Millisecond)
		m.wall += 50 * time.Microsecond
		if _, step := s.Observe(m.read); step != 0 {
			t.Fatalf("Observe() step = %v while the clock slews, want 0", step)
		}
	}
	s.checkPlace(t, m.mono, m.wall, m.mono)
	m.advance(time.Minute)
	if _, step := s.Observe(m.read); step != 0 {
		t.Errorf("Observe() step = %v after a suspension, want 0", step)
	}
	suspend := true
	read := func() Reading {
		r := m.read()
		if suspend {
			m.advance(2 * time.Second)
			r.Monotonic, suspend = m.mono, false
		}
		return r
	}
	if _, step := s.Observe(read); step != 0 {
		t.Errorf("Observe() step = %v after a suspension between the readings, want 0", step)
	}
	s.checkPlace(t, m.mono, m.wall, m.mono)
}

// Repeated steps must not grow the list of epochs without bound.
func TestEpochCountIsBounded(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	for range 1000 {
		m.advance(time.Millisecond)
		m.wall += time.Hour
		s.Observe(m.read)
	}
	if len(s.epochs) > maxEpochs {
		t.Errorf("kept %d epochs, want at most %d", len(s.epochs), maxEpochs)
	}
	m.advance(time.Hour)
	m.wall += time.Hour
	s.Observe(m.read)
	if len(s.epochs) > 2 {
		t.Errorf("kept %d epochs after an hour, want at most 2", len(s.epochs))
	}
}

// wallClock matches calls that read the wall clock or create a time without a monotonic part.
var wallClock = regexp.MustCompile(`\.Unix(Micro|Milli|Nano)?\(|time\.Unix(Micro|Milli)?\(|` +
	`\.Round\(0\)|\.Date\(|CLOCK_REALTIME`)

// A wall clock read elsewhere in the server would make a deadline or window move with a step of that clock.
func TestWallClockIsReadOnlyInThisPackage(t *testing.T) {
	for _, folder := range []string{
		"../../admission", "../../cmd/umberwinch",
		"../config", "../logging", "../retryafter", "../wal",
		"../control/api", "../control/membership", "../control/recovery", "../control/zones",
		"../node/agent", "../node/overlay", "../node/pools", "../node/resultstore", "../node/server",
		"../node/settings",
		"../node/shadow", "../node/wire", "../node/zonegate",
	} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", folder, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for i, line := range strings.Split(string(text), "\n") {
				if found := wallClock.FindString(line); found != "" {
					t.Errorf("%s:%d: found %q, expected internal/clock to be used", file, i+1, found)
				}
			}
		}
	}
}

// BenchmarkObserveAndPlace measures the clock work of one request: reading both clocks and placing a stamp.
func BenchmarkObserveAndPlace(b *testing.B) {
	c := New()
	s := NewStamps(c.Read, 2*timeout)
	for b.Loop() {
		now, _ := s.Observe(c.Read)
		s.Place(now, c.Read().Wall, time.Second)
	}
}

// BenchmarkWallClock measures a plain read of the wall clock, for comparison.
func BenchmarkWallClock(b *testing.B) {
	for b.Loop() {
		if time.Now().UnixMicro() == 0 {
			b.Fatal("the epoch")
		}
	}
}
