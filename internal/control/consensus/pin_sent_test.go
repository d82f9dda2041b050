package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/config"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// The JSON of messages between instances and with clients must stay that of version 2a0a97e.
func TestGoldenMessages(t *testing.T) {
	checkGoldenJSON[Hello](t, "sent/hello.json")
	checkGoldenJSON[snapshotAnnouncement](t, "sent/snapshot-note.json")
	checkGoldenJSON[Put](t, "sent/put.json")
	checkGoldenJSON[PutResult](t, "sent/answer.json")
	checkGoldenJSON[Version](t, "sent/version.json")
	checkGoldenJSON[MemberChange](t, "sent/member-change.json")
	checkGoldenJSON[InstanceInfo](t, "sent/self.json")
	checkGoldenJSON[StatusReport](t, "sent/report.json")
	checkGoldenJSON[WatchHeartbeat](t, "sent/watch-beat.json")
	checkGoldenJSON[ErrorResponse](t, "sent/failure.json")
	checkGoldenJSON[PolicyView](t, "sent/policy-view.json")
	checkGoldenJSON[NodeView](t, "sent/node-view.json")
	checkGoldenJSON[ZonesView](t, "sent/zones-view.json")
	checkGoldenJSON[policy.Op](t, "sent/policy-op.json")
	checkGoldenJSON[policy.Result](t, "sent/policy-result.json")
	checkGoldenJSON[zones.Op](t, "sent/zone-op.json")
	checkGoldenJSON[zones.Result](t, "sent/zone-result.json")
	checkGoldenJSON[entry](t, "sent/entry.json")
}

// Frames between instances must keep the bytes of version 2a0a97e and be read back; invalid frames must give their
// errors.
func TestGoldenFrames(t *testing.T) {
	var wire bytes.Buffer
	if err := writeJSON(&wire, frameHello, filledValue[Hello]()); err != nil {
		t.Fatal(err)
	}
	if err := writeJSON(&wire, frameAccepted, Hello{Identity: Identity{ID: 1}}); err != nil {
		t.Fatal(err)
	}
	for _, reason := range []string{refusedOtherCluster, refusedWrongInstance, refusedRemoved, refusedOldCopy,
		refusedBarred, refusedOlderProgram} {
		if err := writeJSON(&wire, frameRefused, reason); err != nil {
			t.Fatal(err)
		}
	}
	m := &pb.Message{Type: pb.MessageType_MsgApp.Enum(), From: proto.Uint64(1), To: proto.Uint64(2),
		Term:    proto.Uint64(3),
		LogTerm: proto.Uint64(4), Index: proto.Uint64(5), Commit: proto.Uint64(6), Reject: proto.Bool(true),
		Entries: []*pb.Entry{{Type: pb.EntryType_EntryNormal.Enum(), Term: proto.Uint64(7), Index: proto.Uint64(8),
			Data: []byte("data")}}}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []struct {
		kind byte
		data []byte
	}{{frameMessage, raw}, {frameSnapshot, []byte(`{"message":"AQ==","bytes":5,"sum":6}`)}, {frameChunk,
		[]byte("chunk")}, {frameDone, nil}} {
		if err := writeFrame(&wire, f.kind, f.data); err != nil {
			t.Fatal(err)
		}
	}
	checkGolden(t, "sent/frames.bin", wire.Bytes())
	var all textReport
	stored := bytes.Clone(wire.Bytes())
	for {
		kind, data, err := readFrame(&wire, 1<<20)
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		all.addLine("%d %q", kind, data)
	}
	for what, raw := range map[string][]byte{"a": stored[:3], "b": stored[:20], "c": {0, 0, 0, 0, 0, 0, 0, 0},
		"d": {255, 255, 0, 0, 0, 0, 0, 0}, "e": {2, 0, 0, 0, 1, 2, 3, 4, 1, 1}} {
		_, _, err := readFrame(bytes.NewReader(raw), 1000)
		want := map[string]string{"a": "unexpected EOF", "b": "unexpected EOF",
			"c": "a frame of 0 bytes, expected 1 to 1000",
			"d": "a frame of 65535 bytes, expected 1 to 1000",
			"e": "a frame whose sum is 10a86ca6, expected 04030201"}[what]
		if err == nil || err.Error() != want {
			t.Errorf("readFrame() of case %s = %v, want %s", what, err, want)
		}
	}
	checkGolden(t, "sent/frames.txt", []byte(all.String()))
}

// varyingValues match addresses, ids, times and counters that differ between runs.
var varyingValues = []*regexp.Regexp{regexp.MustCompile(`127\.[0-9]+\.[0-9]+\.[0-9]+`),
	regexp.MustCompile(`"cluster":"([0-9a-f]{32})"`),
	regexp.MustCompile(`"(?:id|leader|vote)":([0-9]{6,})`),
	regexp.MustCompile(`"(?:at_ms|away_ms|clock_ms|age_ms)":([0-9]+)`),
	regexp.MustCompile(`"(?:term|log_last|commit|applied|disk_bytes|syncs|index|match|elections|alone_ticks|sum|` +
		`until|since|seen)":\[?([0-9]+)`),
	regexp.MustCompile(`instance ([0-9a-f]{6,16})`), regexp.MustCompile(`"wait_ms":([0-9]+)`),
	regexp.MustCompile(`"starts":\[([0-9]+)`)}

// maskVarying replaces values that differ between runs by X.
func maskVarying(raw []byte) []byte {
	for _, r := range varyingValues {
		raw = r.ReplaceAllFunc(raw, func(found []byte) []byte {
			if sub := r.FindSubmatch(found); len(sub) > 1 {
				return bytes.Replace(found, sub[1], []byte("X"), 1)
			}
			return []byte("X")
		})
	}
	return raw
}

// The leader of a group of one must answer client requests as version 2a0a97e did: status, headers and body, except for
// values that differ between runs.
func TestGoldenClientAPI(t *testing.T) {
	t.Parallel()
	a := startInstance(t, "a", "new", func(c *config.Control) { c.Token = "a token of some length" })
	a.await("the newest level", func(v *View) bool { return v.Role == "leader" && v.Level == LatestLevel })
	id := a.group.View().ID
	var all textReport
	request := func(method, path, body string) {
		t.Helper()
		req, err := http.NewRequest(method, "http://"+a.control.Listen+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(path, "tokenless") {
			req.Header.Set("Authorization", "Bearer "+a.control.Token)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		raw, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		all.addLine("%s %s %.300s\n%d, type %q, Retry-After %q, version %q, term and away %v, out of touch %q, "+
			"by length %v\n%s", method, path,
			strings.ReplaceAll(body, fmt.Sprint(id), "ID"), res.StatusCode, res.Header.Get("Content-Type"),
			res.Header.Get("Retry-After"), res.Header.Get(HeaderVersion),
			res.Header.Get(HeaderTerm) != "" && res.Header.Get(HeaderSinceLeader) != "",
			res.Header.Get(HeaderOutOfContact), res.ContentLength >= 0,
			goTypeNames.ReplaceAll(maskVarying(raw), []byte("Go value")))
	}
	for _, path := range []string{"self", "status", "config", "config?read=stale", "config?read=quick",
		"config?version=x", "config?version=7",
		"history", "history?limit=0", "history?limit=1001&from=x", "watch?from=0", "watch?from=x", "nodes", "policy",
		"zones", "none"} {
		request("GET", "/v1/"+path, "")
	}
	request("PUT", "/v1/config?tokenless", "{}")
	text, err := json.Marshal(goldenZonesText)
	if err != nil {
		t.Fatal(err)
	}
	for _, body := range []string{"x", `{"sesion":"x"}`, `{"seq":1,"author":"x"}`, `{"session":"s","author":"x"}`,
		`{"session":"s","seq":1}`,
		`{"session":"s","seq":1,"author":"x","text":"[x]\ny = 1\n"}`,
		`{"session":"t","seq":1,"author":"x","reason":"why","text":` + string(text) + `}`,
		`{"session":"t","seq":1,"author":"x","reason":"why","text":` + string(text) + `}`,
		`{"session":"t","seq":2,"base":1,"author":"x","text":` + string(text) + `}`,
		`{"session":"u","seq":1,"author":"x","text":"[class a]\nkind = replayable\n"}`,
		`{"session":"t","seq":1,"author":"x","text":""}`, `{"session":"v","seq":2,"author":"x","text":""}`,
		`{"session":"w","seq":1,"base":1,"author":"x","text":"[class a]\nkind = replayable\n"}`,
		`{"session":"s","seq":1,"author":"x","text":"` + strings.Repeat("x", 1<<20+1) + `"}`,
		`{"text":"` + strings.Repeat("x", 7<<20) + `"}`} {
		request("PUT", "/v1/config", body)
	}
	for _, path := range []string{"config", "config?version=1&read=stale", "history", "history?from=1&limit=1"} {
		request("GET", "/v1/"+path, "")
	}
	for _, body := range []string{"x", `{"op":"fly"}`, `{"op":"add","member":{"id":0}}`,
		`{"op":"add","member":{"id":5,"name":"a"}}`,
		`{"op":"add","member":{"id":77,"name":"b","peer":"127.0.0.1:1","listen":"127.0.0.1:2"}}`,
		fmt.Sprintf(`{"op":"remove","member":{"id":%d}}`, id), `{"op":"remove","member":{"id":5}}`,
		`{"op":"promote","member":{"id":5}}`,
		`{"op":"replace","member":{"id":5},"gone":6}`, `{"op":"transfer","member":{"id":5}}`,
		`{"op":"remove","member":{"id":77}}`,
		`{"op":"add","member":{"id":77,"name":"b","peer":"127.0.0.1:1","listen":"127.0.0.1:2"}}`} {
		request("POST", "/v1/members", body)
	}
	request("POST", "/v1/members?tokenless", "{}")
	for _, body := range []string{"x", `{"unknown":1}`, `{"name":"n1"}`,
		`{"name":"n1","zone":"z1","addr":"127.0.0.1:9","nonce":"n1-12345678"}`,
		`{"name":"n1","zone":"z1","addr":"127.0.0.1:9","nonce":"n1-12345678","lease":9,"renew":true}`} {
		request("POST", "/v1/nodes", body)
	}
	request("GET", "/v1/nodes", "")
	for _, body := range []string{"x", `{"op":"decide"}`, `{"op":"off"}`, `{"op":"propose","propose":{"version":0}}`,
		`{"op":"propose","propose":{"version":9,"within_ms":5000,"author":"t","reason":"r","key":"12345678"}}`,
		`{"op":"propose","propose":{"version":1,"within_ms":60000,"author":"t","reason":"r","key":"12345679"}}`,
		`{"op":"off","by":"op","why":"why"}`} {
		request("POST", "/v1/policy", body)
	}
	request("POST", "/v1/policy?tokenless", "{}")
	for _, body := range []string{"x", `{"op":"fly"}`, `{"op":"leave"}`,
		`{"op":"leave","zone":"z1","by":"op","key":"12345678","why":"w"}`,
		`{"op":"hold","by":"op","key":"12345679","wait_ms":1000}`} {
		request("POST", "/v1/zones", body)
	}
	request("POST", "/v1/zones?tokenless", "{}")
	for _, body := range []string{"x", `{"name":"none"}`} {
		request("POST", "/v1/nodes/forget", body)
	}
	request("GET", "/v1/snapshot?tokenless", "")
	checkGolden(t, "sent/client-api.txt", []byte(all.String()))
}

// A watch must send versions and, between them, heartbeats, one line each.
func TestGoldenWatch(t *testing.T) {
	t.Parallel()
	a := startInstance(t, "a", "new", nil)
	a.await("the newest level", func(v *View) bool { return v.Role == "leader" && v.Level == LatestLevel })
	a.put("s", 1, 0)
	a.put("s", 2, 1)
	res, err := (&http.Client{Timeout: 20 * time.Second}).Get("http://" + a.control.Listen + "/v1/watch?from=1")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var got []byte
	for buf := make([]byte, 1); bytes.Count(got, []byte("\n")) < 3; {
		if _, err := io.ReadFull(res.Body, buf); err != nil {
			t.Fatal(err)
		}
		got = append(got, buf...)
	}
	checkGolden(t, "sent/watch.txt", fmt.Appendf(nil, "%d %s\n%s", res.StatusCode, res.Header.Get("Content-Type"),
		maskVarying(got)))
}
