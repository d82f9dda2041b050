package simulator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
)

const settingsJSON = `{"classes": [{"gain": 1, "give_up": 6e6, "promise": 2e6, "semantics": "idempotent"}],
 "family_info": {"cores": 1, "memory_kb": 1000, "meters": ["core_use"], "new_key": 1}, "granularity": 2000}`

// eventRecord encodes an event: its code, fields of the width of their type, and zero padding to 56 bytes.
func eventRecord(code byte, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		if err := binary.Write(&b, binary.BigEndian, f); err != nil {
			panic(err)
		}
	}
	return append(b.Bytes(), make([]byte, 56-b.Len())...)
}

// frame encodes a batch of events at 5 s, with the tail.
func frame(tail string, events ...[]byte) []byte {
	var b []byte
	b = binary.BigEndian.AppendUint32(b, uint32(16+56*len(events)+len(tail)))
	b = binary.BigEndian.AppendUint64(b, 5_000_000)
	b = binary.BigEndian.AppendUint32(b, uint32(len(events)))
	for _, e := range events {
		b = append(b, e...)
	}
	return append(b, tail...)
}

// startFrame encodes a batch that starts instance 3 with the settings.
func startFrame(settings string) []byte {
	return frame(settings, eventRecord(100, uint32(3)), eventRecord(10, uint64(7), uint32(0), uint32(len(settings))))
}

func instanceStarted(seed uint64) []byte {
	return eventRecord(10, seed, uint32(0), uint32(len(settingsJSON)))
}

func requestRead(id uint32) []byte { return eventRecord(20, id) }

// serveFrames serves the frames with a new adapter, and returns the action codes of each reply, with "| " after it.
func serveFrames(in ...[]byte) (codes string, err error) {
	var out bytes.Buffer
	err = New().Serve(bytes.NewReader(bytes.Join(in, nil)), &out)
	for b := out.Bytes(); len(b) >= 8; {
		size, n := binary.BigEndian.Uint32(b), int(binary.BigEndian.Uint32(b[4:]))
		for i := 0; i < n; i++ {
			codes += fmt.Sprint(b[8+24*i], " ")
		}
		codes += "| "
		b = b[size:]
	}
	return codes, err
}

// TestServeFrames checks that the adapter replies to each valid frame, and ends at the first invalid one with an error
// that names the frame, the record and the reason.
func TestServeFrames(t *testing.T) {
	selected := eventRecord(100, uint32(3))
	long := frame("", requestRead(1))
	binary.BigEndian.PutUint32(long, uint32(len(long)+9))
	short := frame("", requestRead(1))
	binary.BigEndian.PutUint32(short, 12)
	many := frame("", requestRead(1))
	binary.BigEndian.PutUint32(many[12:], 2)
	for _, c := range []struct {
		name, codes, err string
		in               [][]byte
	}{
		{"empty batch, then the end", "| ", "", [][]byte{frame("")}},
		{"start, order, halt and a new start in one batch", "70 50 130 | 70 150 | 70 50 130 | ", "",
			[][]byte{startFrame(settingsJSON), frame("", selected, requestRead(1)),
				frame(settingsJSON, selected, eventRecord(90), instanceStarted(8))}},
		{"truncated header", "| ", "frame 2: truncated in the header", [][]byte{frame(""), {0, 0, 1}}},
		{"truncated body", "", "frame 1: truncated, got 66 bytes, expected 72",
			[][]byte{frame("", requestRead(1))[:66]}},
		{"size larger than the frame", "", "frame 1: truncated, got 72 bytes, expected 81", [][]byte{long}},
		{"size smaller than the header", "", "frame 1: size 12, expected", [][]byte{short}},
		{"count does not fit", "", "frame 1: 2 records do not fit, expected at most 1", [][]byte{many}},
		{"unknown code", "70 50 130 | ", "frame 2: record 1: event code 77", [][]byte{startFrame(settingsJSON),
			frame("", selected, eventRecord(77))}},
		{"tail out of range", "", "frame 1: record 1: instance 3: tail reference 4+900 out of range",
			[][]byte{frame("abc", selected, eventRecord(10, uint64(7), uint32(4), uint32(900)))}},
		{"instance never started", "", "frame 1: record 1: event 20 for instance 3",
			[][]byte{frame("", selected, requestRead(1))}},
		{"unknown class", "70 50 130 | ", "frame 2: record 1: class 9, expected below 1",
			[][]byte{startFrame(settingsJSON), frame("", selected, eventRecord(20, uint32(1), uint16(9)))}},
		{"unknown status", "70 50 130 | ", "frame 2: record 1: status 99", [][]byte{startFrame(settingsJSON),
			frame("", selected, eventRecord(30, uint32(1), uint32(0), uint16(99)))}},
		{"settings not JSON", "", "frame 1: record 1: instance 3: settings are not JSON", [][]byte{startFrame("no")}},
		{"no handlers", "", "settings: no classes",
			[][]byte{startFrame(`{"family_info": {"cores": 1, "memory_kb": 9}}`)}},
		{"no cores", "", "family_info.cores is 0",
			[][]byte{startFrame(strings.Replace(settingsJSON, `"cores": 1`, `"cores": 0`, 1))}},
		{"no client timeout", "", "classes[0].give_up",
			[][]byte{startFrame(strings.Replace(settingsJSON, "6e6", "0", 1))}},
		{"unknown semantics", "", `"magic", which is not known`,
			[][]byte{startFrame(strings.Replace(settingsJSON, "idempotent", "magic", 1))}},
	} {
		t.Run(c.name, func(t *testing.T) {
			codes, err := serveFrames(c.in...)
			if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
				t.Errorf("Serve() error = %v, want %q", err, c.err)
			}
			if codes != c.codes {
				t.Errorf("action codes %q, want %q", codes, c.codes)
			}
		})
	}
}

// TestServeManyInstances checks 400 instances: request ids are separate by instance, and an error for one instance
// names the record.
func TestServeManyInstances(t *testing.T) {
	var starts [][]byte
	for i := range uint32(400) {
		starts = append(starts, eventRecord(100, i), instanceStarted(uint64(i)))
	}
	late := frame(settingsJSON, eventRecord(100, uint32(7)), requestRead(1), eventRecord(100, uint32(400)),
		instanceStarted(9), requestRead(1))
	bad := frame("", eventRecord(100, uint32(399)), requestRead(2), eventRecord(100, uint32(8)),
		eventRecord(30, uint32(1), uint32(0), uint16(99)))
	codes, err := serveFrames(frame(settingsJSON, starts...), late, bad)
	if err == nil || !strings.Contains(err.Error(), "frame 3: record 3: status 99") {
		t.Errorf("Serve() error = %v, want one of frame 3, record 3", err)
	}
	if want := strings.Repeat("70 50 130 ", 400) + "| 70 150 70 50 150 130 | "; codes != want {
		t.Errorf("action codes end with %q, want %q", codes[len(codes)-60:], want[len(want)-60:])
	}
}

// TestPanicFailsOneInstance checks that a panic of a controller is replied as the crash of its instance.
func TestPanicFailsOneInstance(t *testing.T) {
	a := New()
	var out bytes.Buffer
	if err := a.Serve(bytes.NewReader(startFrame(settingsJSON)), &out); err != nil {
		t.Fatal(err)
	}
	a.instances[3].controller = nil
	a.instances[3].round.TimerFired = true
	a.reply.Reset()
	a.instances[3].decide(&a.reply, &a.decisions)
	out.Reset()
	if _, err := a.reply.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); b[7] != 2 || b[8] != 70 || b[32] != 30 || !bytes.Contains(b, []byte("admission: ")) {
		t.Errorf("reply % x, want two actions, Source (70) and Die (30) with a text", b)
	}
}
