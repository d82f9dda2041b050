package resultstore

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"umberwinch/internal/wal"
)

// Store carries records to a log and back. One goroutine writes: all records that wait go out with one sync. Whoever hands
// one over never waits for the disk, and hears once it is durable, or that nobody knows whether it is.
type Store struct {
	fs    wal.FS
	sizes wal.Sizes
	boot  []byte

	mu   sync.Mutex // guards log, which a reopening replaces, and gone
	log  *wal.Log
	bad  error // why nothing can be written at present
	gone bool
	swap sync.RWMutex // held while a reopening closes one log and opens the next; who reads or lets go waits for that

	SyncEachRecord bool   // a sync for each record, for measurements
	BeforeWrite    func() // called before each write, for the laboratory; nil: none
	jobs           chan job
	ended          chan struct{}
	work           sync.WaitGroup // a reopening
}

type job struct {
	rec  Record
	done func(place uint64, err error)
}

// Limits of what waits for the disk.
const (
	queueMost = 4096 // records; past it a req that needs one is shed
	batchMost = 1024 // of one sync
)

// markBoot is the mark that has whose clock the records' times are of.
const markBoot = 0

// reopenEvery is how often a log that failed is opened again, to see whether its disk is well.
const reopenEvery = time.Second

// ErrBusy says that as many records wait for the disk as may.
var ErrBusy = errors.New("too many records wait for the disk")

var errSalvaging = errors.New("a damaged log is being written anew: a node's start ends that")

// Recovery tells what a start found.
type Recovery struct {
	Records       int
	Keys          int
	Indeterminate int  // that may have run
	SameBoot      bool // the clock goes on from the life before
	TornTail      string
	Duration      time.Duration
	Gaps          int // places of a damaged log that can't be read; what stands elsewhere was written anew
}

// load reads a folder's log into a book.
func load(fs wal.FS, sizes wal.Sizes, bounds Limits, now uint64, boot string) (*wal.Log, *Index, Recovery, error) {
	var o Recovery
	if err := bounds.Validate(); err != nil {
		return nil, nil, o, err
	}
	began := time.Now()
	if going, err := wal.Salvaging(fs); err != nil || going {
		return nil, nil, o, errors.Join(err, errSalvaging)
	}
	log, found, err := wal.Open(fs, sizes)
	if err != nil {
		return nil, nil, o, err
	}
	o.SameBoot, o.TornTail = string(log.Mark(markBoot)) == boot, found.Torn
	book := NewIndex(bounds)
	if err = log.Each(func(number uint64, data []byte) error {
		r, err := ReadRecord(data)
		if err == nil {
			o.Records++
			err = book.Replay(&r, number)
		}
		if err != nil {
			return fmt.Errorf("entry %d: %w", number, err)
		}
		return nil
	}); err != nil {
		return nil, nil, o, errors.Join(err, log.Close())
	}
	book.FinishReplay(now, o.SameBoot)
	book.ForEach(now, func(_ Key, state State, _ uint64) {
		if o.Keys++; state == Indeterminate {
			o.Indeterminate++
		}
	})
	o.Duration = time.Since(began)
	return log, book, o, nil
}

// Open reads a folder, or begins one. now is ms of a clock that goes on while the process is stopped, boot names what it
// counts from: where the folder has another, the times in it mean nothing here.
func Open(fs wal.FS, sizes wal.Sizes, bounds Limits, now uint64, boot string) (*Store, *Index, Recovery, error) {
	log, book, o, gaps, err := start(fs, sizes, bounds, now, boot)
	if o.Gaps = gaps; err != nil {
		return nil, nil, o, err
	}
	if !o.SameBoot {
		first := Record{Kind: ClockChange, At: now}
		if _, err = log.Commit(wal.Batch{Entries: [][]byte{first.Append(nil)}, Marks: []wal.Mark{{Kind: markBoot,
			Data: []byte(boot)}}}); err != nil {
			return nil, nil, o, errors.Join(err, log.Close())
		}
	}
	s := &Store{fs: fs, sizes: sizes, boot: []byte(boot), log: log, jobs: make(chan job, queueMost), ended: make(chan struct{})}
	go s.run()
	return s, book, o, nil
}

// start reads a folder, and salvages what can be of one that is damaged.
func start(fs wal.FS, sizes wal.Sizes, bounds Limits, now uint64, boot string) (*wal.Log, *Index, Recovery, int, error) {
	if err := bounds.Validate(); err != nil {
		return nil, nil, Recovery{}, 0, err
	}
	left, err := wal.Aside(fs, false)
	if err != nil {
		return nil, nil, Recovery{}, 0, err
	}
	if !left {
		log, book, o, err := load(fs, sizes, bounds, now, boot)
		if damage := (*wal.Damage)(nil); !errors.As(err, &damage) {
			return log, book, o, 0, err
		}
		if _, err = wal.Aside(fs, true); err != nil {
			return nil, nil, o, 0, err
		}
	}
	gaps, err := salvage(fs, sizes, bounds, now, boot)
	if err != nil {
		return nil, nil, Recovery{}, gaps, fmt.Errorf("what is left of a damaged log can't be written anew: %w", err)
	}
	log, book, o, err := load(fs, sizes, bounds, now, boot)
	return log, book, o, gaps, err
}

// salvage writes anew what can be read of a damaged log. A gap may have been the record of another boot's clock: windows go on
// from the record before it at the one behind, which is never too early. Behind all stands that something is missing.
func salvage(fs wal.FS, sizes wal.Sizes, bounds Limits, now uint64, boot string) (gaps int, err error) {
	log, _, err := wal.Open(fs, sizes)
	if err != nil {
		return 0, err
	}
	var batch [][]byte
	flush := func(marks ...wal.Mark) error {
		_, err := log.Commit(wal.Batch{Entries: batch, Marks: marks})
		batch = batch[:0]
		return err
	}
	lost, gap := 0, false
	gaps, err = wal.Salvage(fs, func(s wal.Salvaged) error {
		switch {
		case s.Gap:
			gap = true
			return nil
		case s.Mark:
			return nil
		}
		r, err := ReadRecord(s.Data)
		if err != nil {
			gap, lost = true, lost+1
			return nil
		}
		if gap {
			gap = false
			first := Record{Kind: ClockChange, At: r.At}
			batch = append(batch, first.Append(nil))
		}
		if batch = append(batch, bytes.Clone(s.Data)); len(batch) < batchMost {
			return nil
		}
		return flush()
	})
	gaps += lost
	if err == nil {
		here, doubt := Record{Kind: ClockChange, At: now}, Record{Kind: Damage, At: now, Window: bounds.LongestWindow}
		batch = append(batch, here.Append(nil), doubt.Append(nil))
		err = flush(wal.Mark{Kind: markBoot, Data: []byte(boot)})
	}
	if err = errors.Join(err, log.Close()); err != nil {
		return gaps, err
	}
	return gaps, wal.SalvageDone(fs)
}

// Inspect reads a folder that no node uses, as a start would, and lets go of it: what each key's state would be, and the bytes
// on disk.
func Inspect(fs wal.FS, sizes wal.Sizes, bounds Limits, now uint64, boot string) (*Index, Recovery, int64, error) {
	log, book, o, err := load(fs, sizes, bounds, now, boot)
	if err != nil {
		return nil, o, 0, err
	}
	used := log.Usage()
	return book, o, used, log.Close()
}

// Compact lets go of what is over in a folder that no node uses, as a node does by and by: whole segments, from the front.
func Compact(fs wal.FS, sizes wal.Sizes, bounds Limits, now uint64, boot string) (before, after int64, err error) {
	log, book, o, err := load(fs, sizes, bounds, now, boot)
	if err != nil {
		return 0, 0, err
	}
	before = log.Usage()
	if o.SameBoot { // in another boot each window has only just begun
		first := uint64(0)
		for first == 0 {
			_, first = book.Expire(now, log.Next())
		}
		if first > log.First() {
			err = log.Release(min(first, log.Next()) - 1)
		}
	}
	after = log.Usage()
	return before, after, errors.Join(err, log.Close())
}

// BootClock gives ms of the clock that windows run by, and names the boot that it counts from.
func BootClock() (now uint64, boot string, err error) {
	var t unix.Timespec
	if err = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, "", fmt.Errorf("CLOCK_BOOTTIME: %w", err)
	}
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return uint64(t.Sec)*1000 + uint64(t.Nsec)/1e6, string(bytes.TrimSpace(raw)), err
}

// Append hands a record over. done is called once, on the store's goroutine, with its place once it is durable; an error says
// that it may be there or not. False: as many wait as may.
func (s *Store) Append(r Record, done func(place uint64, err error)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return false
	}
	select {
	case s.jobs <- job{r, done}:
		return true
	default:
		return false
	}
}

func (s *Store) run() {
	defer close(s.ended)
	var batch []job
	for j := range s.jobs {
		batch = append(batch[:0], j)
	more:
		for len(batch) < batchMost && !s.SyncEachRecord {
			select {
			case k, open := <-s.jobs:
				if !open {
					break more
				}
				batch = append(batch, k)
			default:
				break more
			}
		}
		b := wal.Batch{Entries: make([][]byte, len(batch))}
		for i := range batch {
			b.Entries[i] = batch[i].rec.Append(nil)
		}
		if s.BeforeWrite != nil {
			s.BeforeWrite()
		}
		first, err := s.commit(b)
		for i := range batch {
			batch[i].done(first+uint64(i), err)
		}
	}
}

// commit writes a batch. A log that failed is closed: what is in it is not known until it is opened again.
func (s *Store) commit(b wal.Batch) (uint64, error) {
	s.mu.Lock()
	log, bad := s.log, s.bad
	s.mu.Unlock()
	if bad != nil {
		return 0, bad
	}
	first, err := log.Commit(b)
	if err != nil && !errors.Is(err, wal.ErrFull) {
		s.mu.Lock()
		s.bad = err
		s.mu.Unlock()
		s.work.Add(1)
		go s.reopen(log)
	}
	return first, err
}

// reopen tries until the disk is well, or the store is closed. What was handed over meanwhile has failed; what is there is read
// from the log that failed, which is let go of only once something else could be written. No lock is held while the disk works
// that whoever hands a record over needs.
func (s *Store) reopen(log *wal.Log) {
	defer s.work.Done()
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(reopenEvery):
		}
		if s.probe() != nil {
			continue
		}
		s.swap.Lock()
		again := s.another(log)
		if again != nil {
			s.mu.Lock()
			s.log, s.bad = again, nil
			s.mu.Unlock()
		}
		s.swap.Unlock()
		if again != nil {
			return
		}
	}
}

// probeFile is written and removed to see whether the disk is well. A log's start removes files with such an end.
const probeFile = "probe.tmp"

// probe writes as much as a small flush has.
func (s *Store) probe() error {
	f, err := s.fs.Create(probeFile)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(make([]byte, 4096), 0)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close(), s.fs.Remove(probeFile))
}

// another closes a log and opens it again; nil: that did not work.
func (s *Store) another(log *wal.Log) *wal.Log {
	log.Close()
	again, _, err := wal.Open(s.fs, s.sizes)
	if err != nil {
		return nil
	}
	if _, err = again.Commit(wal.Batch{Marks: []wal.Mark{{Kind: markBoot, Data: s.boot}}}); err != nil {
		again.Close()
		return nil
	}
	return again
}

// Err tells why nothing can be written at present; nil: it can.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bad
}

// ReadResult reads what a key's run gave, by its place.
func (s *Store) ReadResult(place uint64) ([]byte, error) {
	s.swap.RLock()
	defer s.swap.RUnlock()
	s.mu.Lock()
	log := s.log
	s.mu.Unlock()
	raw, err := log.Read(place)
	if err != nil {
		return nil, err
	}
	r, err := ReadRecord(raw)
	if err != nil {
		return nil, err
	}
	if r.Kind != Result {
		return nil, fmt.Errorf("entry %d is an %s, expected a result", place, r.Kind)
	}
	return r.Result, nil
}

// ReleaseBefore lets go of what comes before a place, whole segments at a time.
func (s *Store) ReleaseBefore(first uint64) error {
	s.swap.RLock()
	defer s.swap.RUnlock()
	s.mu.Lock()
	log, bad := s.log, s.bad
	s.mu.Unlock()
	if bad != nil || first <= log.First() {
		return bad
	}
	return log.Release(min(first, log.Next()) - 1)
}

// NextPosition gives the place that the next record gets, at least.
func (s *Store) NextPosition() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Next()
}

// DiskUsage gives the bytes on disk.
func (s *Store) DiskUsage() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Usage()
}

// Close waits for what was handed over and lets the folder go.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return nil
	}
	s.gone = true
	close(s.jobs)
	s.mu.Unlock()
	<-s.ended
	s.work.Wait()
	return s.log.Close()
}
