package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stalledReader accepts nothing until resume is closed.
type stalledReader struct {
	resume   chan bool
	accepted bytes.Buffer
}

func (r *stalledReader) Write(b []byte) (int, error) {
	<-r.resume
	return r.accepted.Write(b)
}

// If Write waited for a stalled log reader, the process would stall too. Dropped lines must be counted in the log.
func TestWriteDoesNotBlock(t *testing.T) {
	reader := &stalledReader{resume: make(chan bool)}
	w := NewWriter(reader, 4)
	for range 100 {
		w.Write([]byte("line\n"))
	}
	close(reader.resume)
	for end := time.Now().Add(5 * time.Second); len(w.queue) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	w.Write([]byte("last\n"))
	w.Close(5 * time.Second)
	out := reader.accepted.String()
	if n := strings.Count(out, "line\n"); n < 4 || n > 5 || !strings.Contains(out, " lines were dropped here") ||
		!strings.HasSuffix(out, "last\n") {
		t.Errorf("wrote %d of 100 lines, want 4 or 5, the number of dropped lines and the last line:\n%s", n, out)
	}
}

// If Close waited for a log reader that never resumes, the process would not exit.
func TestCloseReturnsAfterTimeout(t *testing.T) {
	w := NewWriter(&stalledReader{resume: make(chan bool)}, 4)
	w.Write([]byte("line\n"))
	began := time.Now()
	w.Close(20 * time.Millisecond)
	if took := time.Since(began); took < 20*time.Millisecond || took > 5*time.Second {
		t.Errorf("Close() returned after %v, want 20ms to 5s", took)
	}
}
