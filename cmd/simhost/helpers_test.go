package main

import (
	"bytes"
	"encoding/binary"
	"testing"
)

// Codes of events and actions in the protocol.
const (
	codeBegin        = 16
	codeMembership   = 17
	codeRequest      = 18
	codeAnswer       = 20
	codeTimeoutFired = 22
	codeStop         = 25
	codeManifest     = 26
	codeInstance     = 27

	codeDeliver   = 80
	codeDecline   = 81
	codeFail      = 82
	codeException = 89
	codeAs        = 92
)

// Values of record fields.
const (
	listCached          = 3   // kind of a membership record
	statusEndpointError = 500 // status in an answer record
	noFinalAnswer       = 0   // in an answer record: the request has no final answer yet
)

// Sizes of headers in bytes.
const (
	batchHeaderSize  = 16
	replyHeaderSize  = 12
	recordHeaderSize = 5
)

const validSettings = `classes.count=1
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
contract.cold-from=0.2
contract.ramp-time=1000000
limits.most-tries=3
limits.probes=true
limits.cancel=true
reporting.fields=busy_reqs
reporting.how=probe
`

// record returns a record with the given code and fields, which are fixed-size values and strings.
func record(code byte, fields ...any) []byte {
	var body bytes.Buffer
	for _, field := range fields {
		if text, ok := field.(string); ok {
			field = []byte(text)
		}
		if err := binary.Write(&body, binary.BigEndian, field); err != nil {
			panic(err)
		}
	}
	header := binary.BigEndian.AppendUint32([]byte{code}, uint32(body.Len()))
	return append(header, body.Bytes()...)
}

func batch(number uint32, now uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, number)
	b = binary.BigEndian.AppendUint32(b, uint32(batchHeaderSize+len(body)))
	b = binary.BigEndian.AppendUint64(b, now)
	return append(b, body...)
}

func instanceRecord(number uint32) []byte { return record(codeInstance, number) }

func begin(settings string) []byte {
	return record(codeBegin, uint64(5), uint32(len(settings)), settings)
}

func manifest(list uint8, ids ...uint32) []byte {
	fields := []any{list, uint32(len(ids))}
	for _, id := range ids {
		fields = append(fields, id, uint8(0), uint8(0), uint16(0), uint8(0), float32(1), uint64(0))
	}
	return record(codeManifest, fields...)
}

func membership(list, kind uint8) []byte { return record(codeMembership, uint32(1), list, kind) }

func request(id uint64, deadline uint64) []byte {
	return record(codeRequest, id, uint64(0), deadline, uint32(0), uint8(0), uint16(0), uint8(0))
}

func answer(id uint64, endpoint uint32, status uint16, answered uint8) []byte {
	return record(codeAnswer, id, uint16(0), endpoint, status, uint32(3000), answered, uint8(0))
}

func timeoutFired(token uint32) []byte { return record(codeTimeoutFired, token) }

// runBatches runs the command with batches as its input and returns its output and error.
func runBatches(batches ...[]byte) (replies, stderr string, err error) {
	var out, log bytes.Buffer
	err = run(bytes.NewReader(bytes.Join(batches, nil)), &out, &log)
	return out.String(), log.String(), err
}

// readReply checks the frame size and the number of records in a reply, and returns its batch number and the codes of
// its records.
func readReply(t *testing.T, reply []byte) (number uint32, codes []byte) {
	t.Helper()
	if int(binary.BigEndian.Uint32(reply[4:])) != len(reply) {
		t.Fatalf("got a reply of %d bytes, want %d as in its header", len(reply), binary.BigEndian.Uint32(reply[4:]))
	}
	for offset := replyHeaderSize; offset < len(reply); {
		codes = append(codes, reply[offset])
		offset += recordHeaderSize + int(binary.BigEndian.Uint32(reply[offset+1:]))
	}
	if int(binary.BigEndian.Uint32(reply[8:])) != len(codes) {
		t.Fatalf("got a reply of %d records, want %d as in its header", len(codes), binary.BigEndian.Uint32(reply[8:]))
	}
	return binary.BigEndian.Uint32(reply), codes
}

// countRecords returns the number of occurrences of each record in a sequence of replies. The keys are the bytes of the
// records.
func countRecords(replies string) map[string]int {
	counts := map[string]int{}
	for remaining := []byte(replies); len(remaining) > 0; {
		size := int(binary.BigEndian.Uint32(remaining[4:]))
		for offset := replyHeaderSize; offset < size; {
			recordSize := recordHeaderSize + int(binary.BigEndian.Uint32(remaining[offset+1:]))
			counts[string(remaining[offset:offset+recordSize])]++
			offset += recordSize
		}
		remaining = remaining[size:]
	}
	return counts
}
