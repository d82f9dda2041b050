package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// held takes nothing until it is let.
type held struct {
	let chan bool
	got bytes.Buffer
}

func (h *held) Write(b []byte) (int, error) {
	<-h.let
	return h.got.Write(b)
}

// Whoever logs never waits for whoever reads; what is left out is counted where it is missing.
func TestWriterNeverWaits(t *testing.T) {
	h := &held{let: make(chan bool)}
	w := NewWriter(h, 4)
	for range 100 {
		w.Write([]byte("line\n"))
	}
	close(h.let)
	for end := time.Now().Add(5 * time.Second); len(w.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	w.Write([]byte("last\n"))
	w.Close(5 * time.Second)
	out := h.got.String()
	if n := strings.Count(out, "line\n"); n < 4 || n > 5 || !strings.Contains(out, " lines were left out here") ||
		!strings.HasSuffix(out, "last\n") {
		t.Errorf("%d lines were written: %s", n, out)
	}
}

// A reader that takes nothing holds up the end for no longer than its bound.
func TestCloseIsBounded(t *testing.T) {
	w := NewWriter(&held{let: make(chan bool)}, 4)
	w.Write([]byte("line\n"))
	began := time.Now()
	w.Close(20 * time.Millisecond)
	if took := time.Since(began); took < 20*time.Millisecond || took > 5*time.Second {
		t.Errorf("closed after %v", took)
	}
}
