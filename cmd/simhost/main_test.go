package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"oakproxy/balancer"
	"oakproxy/internal/wire"
)

func TestEmptyBatchHasAnEmptyReply(t *testing.T) {
	out, _, err := runBatches(batch(1, 100))
	if err != nil || out != "\x00\x00\x00\x01\x00\x00\x00\x0c\x00\x00\x00\x00" {
		t.Errorf("got reply %x, error %v; want batch number 1, size 12, no records and no error", out, err)
	}
}

func TestRequestIsForwarded(t *testing.T) {
	out, stderr, err := runBatches(batch(7, 1000, instanceRecord(3), begin(validSettings),
		manifest(0, 11, 12), membership(0, listCached), request(5, 500_000)))
	if err != nil || stderr != "" {
		t.Fatalf("got standard error %q, error %v; want neither", stderr, err)
	}
	number, codes := readReply(t, []byte(out))
	if number != 7 || codes[0] != codeAs || bytes.Count(codes, []byte{codeDeliver}) != 1 {
		t.Errorf("got batch %d, action codes %v; want batch 7, first code %d and one code %d",
			number, codes, codeAs, codeDeliver)
	}
}

func TestRestartWithinABatchDropsOpenRequests(t *testing.T) {
	out, _, err := runBatches(
		batch(1, 1000, instanceRecord(3), begin(validSettings),
			manifest(0, 11), membership(0, listCached), request(5, 500_000)),
		batch(2, 2000, instanceRecord(3), record(codeStop), begin(validSettings),
			manifest(0, 12), membership(0, listCached),
			answer(5, 11, statusEndpointError, noFinalAnswer), request(6, 500_000)))
	if err != nil {
		t.Fatal(err)
	}
	firstReplySize := int(binary.BigEndian.Uint32([]byte(out)[4:]))
	_, codes := readReply(t, []byte(out)[firstReplySize:])
	if bytes.Count(codes, []byte{codeDeliver}) != 1 || bytes.IndexByte(codes, codeDecline) >= 0 ||
		bytes.IndexByte(codes, codeFail) >= 0 {
		t.Errorf("got action codes %v, want one deliver (%d) and no decline or fail: requests from before are dropped",
			codes, codeDeliver)
	}
}

func TestDecisionsDoNotDependOnOtherInstances(t *testing.T) {
	makeBatches := func(instances ...uint32) [][]byte {
		var batches [][]byte
		var records [][]byte
		records = append(records, manifest(0, 11, 12, 13))
		for _, i := range instances {
			records = append(records, instanceRecord(i), begin(validSettings), membership(0, listCached))
		}
		batches = append(batches, batch(1, 1000, records...))
		for n := range uint64(30) {
			records = nil
			for _, i := range instances {
				records = append(records, instanceRecord(i), request(100*uint64(i)+n, 1000*n+500_000))
			}
			batches = append(batches, batch(uint32(n+2), 1000*n+2000, records...))
		}
		return batches
	}
	together, _, _ := runBatches(makeBatches(1, 2)...)
	again, _, _ := runBatches(makeBatches(1, 2)...)
	if together != again {
		t.Fatal("got different replies in two runs with the same input, want the same replies")
	}
	alone := ""
	for _, i := range []uint32{1, 2} {
		out, _, _ := runBatches(makeBatches(i)...)
		alone += out
	}
	togetherCounts, aloneCounts := countRecords(together), countRecords(alone)
	if len(togetherCounts) != len(aloneCounts) {
		t.Fatalf("got %d different records from both instances in one process, want %d as from two processes",
			len(togetherCounts), len(aloneCounts))
	}
	for record, count := range togetherCounts {
		if aloneCounts[record] != count {
			t.Errorf("record %x: got it %d times in one process, want %d as in two processes",
				record, count, aloneCounts[record])
		}
	}
}

func TestMalformedInputEndsTheRun(t *testing.T) {
	valid := batch(1, 1000, instanceRecord(3), begin(validSettings))
	for _, test := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"event before instance", batch(2, 1000, timeoutFired(1)), "timeout_fired at byte 16"},
		{"event before begin", batch(2, 1000, instanceRecord(4), timeoutFired(1)), "instance 4 has not begun"},
		{"truncated", batch(2, 1000, instanceRecord(3))[:20], "batch at byte 20"},
		{"overrun", batch(2, 1000, []byte{codeRequest, 0, 0, 1, 0}), "request at byte 17"},
	} {
		t.Run(test.name, func(t *testing.T) {
			out, _, err := runBatches(valid, test.input)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, test.want)
			}
			if number, _ := readReply(t, []byte(out)); number != 1 {
				t.Errorf("got a reply to batch %d, want only that to batch 1", number)
			}
		})
	}
}

func TestUnknownEventIsReportedOnce(t *testing.T) {
	_, stderr, err := runBatches(batch(1, 1000,
		record(99, uint32(1)), record(99), instanceRecord(3), begin(validSettings)))
	if err != nil || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "event 99") {
		t.Errorf("got standard error %q, error %v; want one line about event 99 and no error", stderr, err)
	}
}

func TestInvalidSettingsAreReportedAsException(t *testing.T) {
	for _, text := range []string{
		strings.Replace(validSettings, "repeat=pure", "repeat=never", 1),
		strings.Replace(validSettings, "target=250000", "target=-1", 1),
	} {
		out, _, err := runBatches(batch(1, 1000, instanceRecord(3), begin(text)))
		if err != nil {
			t.Fatal(err)
		}
		if _, codes := readReply(t, []byte(out)); codes[len(codes)-1] != codeException {
			t.Errorf("got action codes %v, want %d last", codes, codeException)
		}
	}
}

func TestPanicIsReportedAsExceptionAndEndsInstance(t *testing.T) {
	var reply wire.Reply
	reply.Reset(1)
	i := &instance{reply: &reply, balancer: new(balancer.Balancer)} // panics on events, because it has no settings
	i.handle(1000, &wire.Event{Code: wire.Request})
	i.handle(1000, &wire.Event{Code: wire.Request})
	if _, codes := readReply(t, reply.Bytes()); !bytes.Equal(codes, []byte{codeException}) || i.balancer != nil {
		t.Errorf("got action codes %v, balancer %p; want one exception (%d) and no balancer",
			codes, i.balancer, codeException)
	}
}
