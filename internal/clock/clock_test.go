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

// fakeClocks is a machine whose clocks the test moves.
type fakeClocks struct{ mono, wall time.Duration }

func newFakeClocks() *fakeClocks { return &fakeClocks{mono: origin, wall: 1_764_576_000 * time.Second} }

func (m *fakeClocks) read() Reading { return Reading{Monotonic: m.mono, Wall: m.wall} }

func (m *fakeClocks) advance(d time.Duration) { m.mono, m.wall = m.mono+d, m.wall+d }

const timeout = 6 * time.Second

// A stamp made on either side of a step is placed where it was made, or between bounds that hold that place.
func TestStampsAroundStepAreBounded(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		for _, before := range []time.Duration{0, time.Second, 4 * time.Second} {
			for _, after := range []time.Duration{0, 10 * time.Millisecond, time.Second, 3500 * time.Millisecond} {
				t.Run(fmt.Sprint(step, before, after), func(t *testing.T) {
					m := newFakeClocks()
					s := NewStamps(m.read, 2*timeout)
					m.advance(10 * time.Second)
					s.Observe(m.read)
					old, oldAt := m.wall, m.mono
					m.advance(before)
					s.Observe(m.read)
					m.wall += step
					if _, seen := s.Observe(m.read); seen != step {
						t.Errorf("a step of %v is seen as %v", step, seen)
					}
					m.advance(after)
					young, youngAt := m.wall, m.mono
					m.advance(100 * time.Millisecond)
					s.Observe(m.read)
					s.checkPlace(t, m.mono, old, oldAt)
					s.checkPlace(t, m.mono, young, youngAt)
				})
			}
		}
	}
}

func (s *Stamps) checkPlace(t *testing.T, now, stamp, at time.Duration) {
	t.Helper()
	earliest, latest, ok := s.Place(now, stamp, time.Second)
	if !ok || earliest > at || latest < at || latest > now {
		t.Errorf("made at %v, placed %v from %v to %v, now %v", at, ok, earliest, latest, now)
	}
}

// Steps by an hour leave no doubt: a stamp of either side has one place.
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
			t.Errorf("stamp %d: %v, from %v to %v, expected %v", i, ok, earliest, latest, places[i])
		}
	}
}

// A process that was stopped as the clock was stepped does not know when; stamps of the whole stop are placed all the
// same.
func TestStampsDuringSuspensionWithStepArePlaced(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	m.advance(time.Second)
	old, oldAt := m.wall, m.mono
	m.advance(time.Second)
	m.wall += time.Hour
	young, youngAt := m.wall, m.mono
	m.advance(2 * time.Second)
	s.Observe(m.read)
	s.checkPlace(t, m.mono, old, oldAt)
	s.checkPlace(t, m.mono, young, youngAt)
}

// No stamp is placed that no reading makes plausible; one a little ahead is as if it were made now.
func TestImplausibleStampsAreRejected(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	m.advance(time.Hour)
	s.Observe(m.read)
	for _, off := range []time.Duration{time.Hour, 1001 * time.Millisecond, -2*timeout - time.Millisecond,
		-time.Hour} {
		if _, _, ok := s.Place(m.mono, m.wall+off, time.Second); ok {
			t.Errorf("a stamp %v off is placed", off)
		}
	}
	if at, _, ok := s.Place(m.mono, m.wall+time.Second, time.Second); !ok || at != m.mono {
		t.Errorf("a stamp within the slack is placed at %v, %v, expected now", at, ok)
	}
}

// Slewing is followed and is no step; nor is a stop, nor a pause between the two readings.
func TestSlewAndSuspensionAreNotSteps(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	for range 1000 {
		m.advance(100 * time.Millisecond)
		m.wall += 50 * time.Microsecond
		if _, step := s.Observe(m.read); step != 0 {
			t.Fatalf("slewing is seen as a step of %v", step)
		}
	}
	s.checkPlace(t, m.mono, m.wall, m.mono)
	m.advance(time.Minute)
	if _, step := s.Observe(m.read); step != 0 {
		t.Errorf("a stop is seen as a step of %v", step)
	}
	paused := true
	read := func() Reading {
		r := m.read()
		if paused {
			m.advance(2 * time.Second)
			r.Monotonic, paused = m.mono, false
		}
		return r
	}
	if _, step := s.Observe(read); step != 0 {
		t.Errorf("a pause between the readings is seen as a step of %v", step)
	}
	s.checkPlace(t, m.mono, m.wall, m.mono)
}

// Steps without end do not pile up.
func TestEpochCountIsBounded(t *testing.T) {
	m := newFakeClocks()
	s := NewStamps(m.read, 2*timeout)
	for range 1000 {
		m.advance(time.Millisecond)
		m.wall += time.Hour
		s.Observe(m.read)
	}
	if len(s.epochs) > maxEpochs {
		t.Errorf("%d are remembered", len(s.epochs))
	}
	m.advance(time.Hour)
	m.wall += time.Hour
	s.Observe(m.read)
	if len(s.epochs) > 2 {
		t.Errorf("%d are remembered an hour later", len(s.epochs))
	}
}

// wallClock finds what reads the wall clock, or makes a time that has no monotonic part.
var wallClock = regexp.MustCompile(`\.Unix(Micro|Milli|Nano)?\(|time\.Unix(Micro|Milli)?\(|` +
	`\.Round\(0\)|\.Date\(|CLOCK_REALTIME`)

// The server's packages read the wall clock in this package alone.
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

// What a round and a request pay: a look at both clocks, and a stamp that is placed.
func BenchmarkObserveAndPlace(b *testing.B) {
	c := New()
	s := NewStamps(c.Read, 2*timeout)
	for b.Loop() {
		now, _ := s.Observe(c.Read)
		s.Place(now, c.Read().Wall, time.Second)
	}
}

// Beside it what was there before.
func BenchmarkWallClock(b *testing.B) {
	for b.Loop() {
		if time.Now().UnixMicro() == 0 {
			b.Fatal("the epoch")
		}
	}
}
