package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"oakproxy/balancer"
)

// decodeHex returns the bytes that the concatenated parts encode in hexadecimal. Spaces are ignored.
func decodeHex(t testing.TB, parts ...string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(strings.Join(parts, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame returns the frame of a batch that consists of records, with batch number 12 and the current time 0x805c5a.
func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	f := binary.BigEndian.AppendUint32(nil, 12)
	f = binary.BigEndian.AppendUint32(f, uint32(batchHeaderSize+len(body)))
	f = binary.BigEndian.AppendUint64(f, 0x805c5a)
	return append(f, body...)
}

// Examples of records in the protocol's documentation, in hexadecimal.
const (
	exampleInstance     = "1b 00000004 00000003"
	exampleRequest      = "12 00000020 0005bf975d3a91c4 91f03b7c55d20a64 00000000008405da 00002ee0 01 0000 00"
	exampleTimeoutFired = "16 00000004 0000004d"
	exampleCancelled    = "15 00000008 000bf5a10e6f2b19"
	exampleHeaders      = "13 00000012 0005bf975d3a91c4 0000 03124a07 00002422"
	exampleAnswer       = "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 00"
	exampleHealthResult = "17 00000017 2c9011f2 00c8 00000578 03 40e00000430c00003f1eb852"
	exampleWhisper      = "18 00000008 0002 0004 68692037"
	exampleManifest     = "1a 0000002f 00 00000002 03124a07 00 00 0000 00 3f800000 0000000000000000" +
		"2c9011f2 01 00 0000 00 3fc00000 00000000005d1420"
	exampleMembership = "11 00000006 00000029 00 03"
)

// decode returns the events of a frame made by frame. The load reports and endpoint lists of the events are copies.
func decode(t *testing.T, d *Decoder, batch []byte) []Event {
	t.Helper()
	if _, now, err := d.Reset(batch); err != nil || now != 0x805c5a {
		t.Fatalf("Reset: time %d, error %v; want time %d and no error", now, err, 0x805c5a)
	}
	var events []Event
	for {
		var e Event
		err := d.Next(&e)
		if errors.Is(err, io.EOF) {
			return events
		}
		if err != nil {
			t.Fatal(err)
		}
		e.LoadReport = append([]float32(nil), e.LoadReport...)
		e.Endpoints = append([]balancer.Endpoint(nil), e.Endpoints...)
		events = append(events, e)
	}
}

func TestDecoderReadsProtocolExampleBatch(t *testing.T) {
	batch := decodeHex(t, "0000000c 0000005d 0000000000805c5a", exampleInstance, exampleRequest,
		exampleTimeoutFired, "1b 00000004 00000005", exampleCancelled)
	got, err := ReadFrame(bytes.NewReader(batch), nil)
	if err != nil || !bytes.Equal(got, batch) {
		t.Fatalf("ReadFrame: got %x, error %v; want %x", got, err, batch)
	}
	events := decode(t, new(Decoder), batch)
	want := balancer.Request{ID: 0x5bf975d3a91c4, Key: 0x91f03b7c55d20a64, Deadline: 0x8405da,
		WorkHint: 12000, HasWorkHint: true}
	if len(events) != 5 || events[0].Instance != 3 || events[1].Request != want || events[2].TimerToken != 77 ||
		events[3].Instance != 5 || events[4].Outcome.ID != 0xbf5a10e6f2b19 {
		t.Errorf("got events %+v, want instance 3, request %+v, timer 77, instance 5, cancelled request 0xbf5a10e6f2b19",
			events, want)
	}
}

func TestDecoderReadsProtocolExampleRecords(t *testing.T) {
	events := decode(t, new(Decoder), frame(decodeHex(t,
		exampleHeaders, exampleAnswer, exampleHealthResult, exampleWhisper, exampleManifest, exampleMembership)))
	if o := events[0].Outcome; o.ID != 0x5bf975d3a91c4 || o.Endpoint != 0x3124a07 || o.Latency != 0x2422 {
		t.Errorf("headers: got %+v, want ID 0x5bf975d3a91c4, endpoint 0x3124a07, latency 0x2422", o)
	}
	if o := events[1].Outcome; o.Status != balancer.OK || o.Latency != 0x4844 || !o.Answered || len(o.LoadReport) != 0 {
		t.Errorf("answer: got %+v, want status OK, latency 0x4844, a final answer and no load report", o)
	}
	if h := events[2]; h.Endpoint != 0x2c9011f2 || h.Latency != 1400 || len(h.LoadReport) != 3 ||
		h.LoadReport[0] != 7 || h.LoadReport[1] != 140 {
		t.Errorf("health_result: got %+v, want endpoint 0x2c9011f2, latency 1400 and 3 load values that start with 7, 140", h)
	}
	if w := events[3]; w.Peer != 2 || string(w.Message) != "hi 7" {
		t.Errorf("whisper: got %+v, want peer 2 and message \"hi 7\"", w)
	}
	if m := events[5]; m.Update != balancer.ListCached || len(m.Endpoints) != 2 || m.Endpoints[1].Weight != 1.5 ||
		m.Endpoints[1].Zone != 1 || m.Endpoints[1].StartTime != 0x5d1420 {
		t.Errorf("membership: got %+v, want ListCached and 2 endpoints, the second with weight 1.5, zone 1, start 0x5d1420",
			m)
	}
}

func TestRequestOptionsAreSeparateBits(t *testing.T) {
	for options, want := range map[byte]balancer.Request{
		0: {}, 1: {HasWorkHint: true}, 2: {ClientRetry: true}, 4: {IsWrite: true},
		7: {HasWorkHint: true, ClientRetry: true, IsWrite: true}, 0xf8: {},
	} {
		record := append([]byte{18, 0, 0, 0, 32}, make([]byte, 32)...)
		record[33] = options
		if got := decode(t, new(Decoder), frame(record))[0].Request; got != want {
			t.Errorf("options %#x: got %+v, want %+v", options, got, want)
		}
	}
}

// The list number in a membership record refers to the last preceding manifest record that has the same list number, in
// the same batch or in an earlier one.
func TestListNumberRefersToLatestManifest(t *testing.T) {
	first := "1a 0000001a 00 00000001 00000001 00 00 0000 00 3f800000 0000000000000000"
	second := "1a 0000001a 00 00000001 00000002 00 00 0000 01 3f800000 0000000000000000"
	d := new(Decoder)
	events := decode(t, d, frame(decodeHex(t, first, exampleMembership, second, exampleMembership)))
	if events[1].Endpoints[0].ID != 1 || events[3].Endpoints[0].ID != 2 ||
		events[3].Endpoints[0].State != balancer.Draining {
		t.Errorf("got events %+v, want a list with endpoint 1, then a list with endpoint 2 in state Draining", events)
	}
	events = decode(t, d, frame(decodeHex(t, "11 00000006 00000029 00 04", "11 00000006 00000029 09 02")))
	if events[0].Update != balancer.ListFull || events[0].Endpoints[0].ID != 2 {
		t.Errorf("list in the next batch: got %+v, want a full list with endpoint 2", events[0])
	}
	if events[1].Update != balancer.ListFailed || events[1].Endpoints != nil {
		t.Errorf("failed discovery call: got %+v, want ListFailed without endpoints", events[1])
	}
}

func TestDecoderReportsMalformedRecords(t *testing.T) {
	for _, test := range []struct{ name, records, record, reason string }{
		{"header cut", "12 0000", "record", "needs 5 bytes"},
		{"fields overrun", "12 00000021 00", "request", "overrun"},
		{"fields short", "15 00000004 00000000", "cancelled_by_client", "needs 8"},
		{"fields long", "16 00000005 0000004d 00", "timeout_fired", "too many"},
		{"load count overruns", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 02", "answer", "needs 8"},
		{"config overruns", "10 0000000c 0000000000000000 00000009", "begin", "needs 9"},
		{"entries overrun", "1a 00000005 00 00000002", "manifest", "2 entries"},
		{"bad list number", "1a 00000005 10 00000000", "manifest", "list number 16"},
		{"list not conveyed", "11 00000006 00000029 04 03", "membership", "has not been received"},
		{"bad list kind", "11 00000006 00000029 00 07", "membership", "unknown kind 7"},
		{"bad status", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c9 00004844 01 00", "answer", "status 201"},
		{"bad state", "1a 0000001a 00 00000001 00000001 00 00 0000 02 3f800000 0000000000000000", "manifest", "status 2"},
		{"whisper overruns", "18 00000008 0002 0005 68692037", "whisper", "needs 5"},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := new(Decoder)
			if _, _, err := d.Reset(frame(decodeHex(t, test.records))); err != nil {
				t.Fatal(err)
			}
			var e Event
			err := d.Next(&e)
			var malformed *FrameError
			if !errors.As(err, &malformed) || malformed.Record != test.record ||
				!strings.Contains(malformed.Reason, test.reason) || malformed.Offset < batchHeaderSize {
				t.Errorf("got error %v, want a *FrameError in record %q with %q, at byte %d or later",
					err, test.record, test.reason, batchHeaderSize)
			}
		})
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	batch := frame(decodeHex(t, exampleInstance, exampleManifest, exampleMembership, exampleRequest, exampleHeaders,
		exampleAnswer, exampleHealthResult, exampleWhisper,
		exampleTimeoutFired, exampleCancelled))
	var d Decoder
	var r Reply
	allocations := testing.AllocsPerRun(100, func() {
		if _, _, err := d.Reset(batch); err != nil {
			t.Fatal(err)
		}
		r.Reset(1)
		var e Event
		for {
			err := d.Next(&e)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			r.As(1)
			r.Deliver(1, 2, 3)
			r.Arm(4, 5)
			r.Trace("line")
		}
		r.Bytes()
	})
	if allocations != 0 {
		t.Errorf("got %v allocations per batch, want 0", allocations)
	}
}

func FuzzDecoder(f *testing.F) {
	for _, records := range []string{
		exampleInstance, exampleRequest, exampleTimeoutFired, exampleCancelled, exampleHeaders, exampleAnswer,
		exampleHealthResult, exampleWhisper, exampleManifest + exampleMembership, "ff 00000002 0102",
		"1a 00000005 00 ffffffff",
	} {
		f.Add(decodeHex(f, records))
	}
	f.Fuzz(func(t *testing.T, records []byte) {
		d := new(Decoder)
		if _, _, err := d.Reset(frame(records)); err != nil {
			t.Fatal(err)
		}
		for n := 0; ; n++ {
			var e Event
			err := d.Next(&e)
			if err != nil {
				var malformed *FrameError
				if !errors.Is(err, io.EOF) && !errors.As(err, &malformed) {
					t.Fatalf("got error %v of type %T, want a *FrameError or io.EOF", err, err)
				}
				return
			}
			if n > len(records) {
				t.Fatalf("decoded more records than there are bytes, %d", len(records))
			}
		}
	})
}
