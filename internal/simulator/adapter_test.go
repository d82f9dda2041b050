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

// eventRecord is an event record: a code, then fields of the width of their type.
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

func frame(tail string, recs ...[]byte) []byte {
	var b []byte
	b = binary.BigEndian.AppendUint32(b, uint32(16+56*len(recs)+len(tail)))
	b = binary.BigEndian.AppendUint64(b, 5_000_000)
	b = binary.BigEndian.AppendUint32(b, uint32(len(recs)))
	for _, r := range recs {
		b = append(b, r...)
	}
	return append(b, tail...)
}

func startFrame(text string) []byte {
	return frame(text, eventRecord(100, uint32(3)), eventRecord(10, uint64(7), uint32(0), uint32(len(text))))
}

func instanceStarted(seed uint64) []byte {
	return eventRecord(10, seed, uint32(0), uint32(len(settingsJSON)))
}

func requestRead(id uint32) []byte { return eventRecord(20, id) }

func serveFrames(in ...[]byte) (codes string, err error) {
	var out bytes.Buffer
	err = New().Serve(bytes.NewReader(bytes.Join(in, nil)), &out)
	for b := out.Bytes(); len(b) >= 8; {
		size, n := binary.BigEndian.Uint32(b), int(binary.BigEndian.Uint32(b[4:]))
		for k := 0; k < n; k++ {
			codes += fmt.Sprint(b[8+24*k], " ")
		}
		codes += "| "
		b = b[size:]
	}
	return codes, err
}

// The simulator sends frames that are whole, cut short, or at odds with themselves. The adapter replies to each whole
// one and ends at the first bad one, saying which and why; an instance may start again in the same frame in which it
// ended.
func TestServeFrames(t *testing.T) {
	about := eventRecord(100, uint32(3))
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
			[][]byte{startFrame(settingsJSON), frame("", about, requestRead(1)),
				frame(settingsJSON, about, eventRecord(90), instanceStarted(8))}},
		{"truncated header", "| ", "frame 2: truncated in the header", [][]byte{frame(""), {0, 0, 1}}},
		{"truncated body", "", "frame 1: truncated, got 66 bytes, expected 72", [][]byte{frame("", requestRead(1))[:66]}},
		{"longer than it says", "", "frame 1: truncated, got 72 bytes, expected 81", [][]byte{long}},
		{"shorter than it says", "", "frame 1: size 12, expected", [][]byte{short}},
		{"count does not fit", "", "frame 1: 2 records do not fit, expected at most 1", [][]byte{many}},
		{"unknown code", "70 50 130 | ", "frame 2: record 1: event code 77", [][]byte{startFrame(settingsJSON),
			frame("", about, eventRecord(77))}},
		{"tail out of range", "", "frame 1: record 1: instance 3: tail reference 4+900 out of range",
			[][]byte{frame("abc", about, eventRecord(10, uint64(7), uint32(4), uint32(900)))}},
		{"never started", "", "frame 1: record 1: event 20 for instance 3", [][]byte{frame("", about, requestRead(1))}},
		{"unknown class", "70 50 130 | ", "frame 2: record 1: class 9, expected below 1", [][]byte{startFrame(settingsJSON),
			frame("", about, eventRecord(20, uint32(1), uint16(9)))}},
		{"unknown status", "70 50 130 | ", "frame 2: record 1: status 99", [][]byte{startFrame(settingsJSON),
			frame("", about, eventRecord(30, uint32(1), uint32(0), uint16(99)))}},
		{"settings not JSON", "", "frame 1: record 1: instance 3: settings are not JSON", [][]byte{startFrame("no")}},
		{"no handlers", "", "settings: no classes",
			[][]byte{startFrame(`{"family_info": {"cores": 1, "memory_kb": 9}}`)}},
		{"no cores", "", "family_info.cores is 0",
			[][]byte{startFrame(strings.Replace(settingsJSON, `"cores": 1`, `"cores": 0`, 1))}},
		{"no client timeout", "", "classes[0].give_up", [][]byte{startFrame(strings.Replace(settingsJSON, "6e6", "0", 1))}},
		{"unknown semantics", "", `"magic", which is not known`,
			[][]byte{startFrame(strings.Replace(settingsJSON, "idempotent", "magic", 1))}},
	} {
		t.Run(c.name, func(t *testing.T) {
			codes, err := serveFrames(c.in...)
			if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
				t.Errorf("error %v, expected %q", err, c.err)
			}
			if codes != c.codes {
				t.Errorf("replied %q, expected %q", codes, c.codes)
			}
		})
	}
}

// Hundreds of instances: one that appears late may see an id that another saw, and what is malformed for one
// of them is said with its record.
func TestServeManyInstances(t *testing.T) {
	var fleet [][]byte
	for i := range uint32(400) {
		fleet = append(fleet, eventRecord(100, i), instanceStarted(uint64(i)))
	}
	late := frame(settingsJSON, eventRecord(100, uint32(7)), requestRead(1), eventRecord(100, uint32(400)), instanceStarted(9), requestRead(1))
	bad := frame("", eventRecord(100, uint32(399)), requestRead(2), eventRecord(100, uint32(8)),
		eventRecord(30, uint32(1), uint32(0), uint16(99)))
	codes, err := serveFrames(frame(settingsJSON, fleet...), late, bad)
	if err == nil || !strings.Contains(err.Error(), "frame 3: record 3: status 99") {
		t.Errorf("error %v", err)
	}
	if want := strings.Repeat("70 50 130 ", 400) + "| 70 150 70 50 150 130 | "; codes != want {
		t.Errorf("replied %q", codes[len(codes)-60:])
	}
}

// A panic in the module is declared as the failure of that instance, and of no other.
func TestPanicFailsOneInstance(t *testing.T) {
	h := New()
	var out bytes.Buffer
	if err := h.Serve(bytes.NewReader(startFrame(settingsJSON)), &out); err != nil {
		t.Fatal(err)
	}
	h.instances[3].controller = nil
	h.instances[3].round.TimerFired = true
	h.reply.Reset()
	h.instances[3].decide(&h.reply, &h.decisions)
	out.Reset()
	if _, err := h.reply.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); b[7] != 2 || b[8] != 70 || b[32] != 30 || !bytes.Contains(b, []byte("admission: ")) {
		t.Errorf("replied % x", b)
	}
}
