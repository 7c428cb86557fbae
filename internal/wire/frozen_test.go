package wire

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"oakproxy/balancer"
)

// The simulator fixes the codes and names of records, so they must not change.
func TestCodesMatchProtocol(t *testing.T) {
	for number, name := range map[uint8]string{
		16: "begin", 17: "membership", 18: "request", 19: "headers", 20: "answer", 21: "cancelled_by_client",
		22: "timeout_fired", 23: "health_result", 24: "whisper", 25: "stop", 26: "manifest", 27: "instance",
	} {
		if got := EventCode(number).String(); got != name {
			t.Errorf("event %d: got name %q, want %q", number, got, name)
		}
	}
	var reply Reply
	for _, action := range []struct {
		code  byte
		write func()
	}{
		{80, func() { reply.Deliver(1, 2, 3) }}, {81, func() { reply.Decline(1, 2) }}, {82, func() { reply.Fail(1) }},
		{83, func() { reply.Revoke(1, 2) }}, {84, func() { reply.Arm(1, 2) }}, {85, func() { reply.SoundOut(1) }},
		{86, func() { reply.LetGo(1) }}, {87, func() { reply.WritePeer(1, nil) }}, {88, func() { reply.Trace("") }},
		{89, func() { reply.Exception("") }}, {90, func() { reply.Track(true) }}, {91, func() { reply.ListAll() }},
		{92, func() { reply.As(1) }},
	} {
		reply.Reset(0)
		action.write()
		if got := reply.Bytes()[12]; got != action.code {
			t.Errorf("got action code %d, want %d", got, action.code)
		}
	}
}

// Every settings key has the same meaning as in the previous release. The JSON of the settings, whose expected value is
// in testdata/settings.json, is the input of a configuration's hash: with the same settings, sidecars of both releases
// must show the same hash.
func TestSettingsKeysMatchProtocol(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.txt")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := ParseSettings(string(text))
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, bytes.TrimSpace(want)) {
		t.Errorf("got settings\n%s\nwant\n%s", got, want)
	}
}

// The simulator fixes the status codes, so they must not change.
func TestStatusesMatchProtocol(t *testing.T) {
	for code, want := range map[uint16]balancer.Status{
		200: balancer.OK, 500: balancer.EndpointError, 503: balancer.Rejected, 504: balancer.Timeout,
		502: balancer.ConnectFailed, 598: balancer.Reset, 499: balancer.Cancelled, 410: balancer.NotSent,
	} {
		r := recordReader{data: []byte{byte(code >> 8), byte(code)}}
		if got := r.status(); got != want || r.err != nil {
			t.Errorf("status %d: got %v, error %v; want %v and no error", code, got, r.err, want)
		}
	}
}
