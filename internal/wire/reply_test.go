package wire

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

func TestReplyWritesProtocolExamples(t *testing.T) {
	var r Reply
	r.Reset(1)
	if got := r.Bytes(); !bytes.Equal(got, decodeHex(t, "00000001 0000000c 00000000")) {
		t.Errorf("empty reply: got %x, want batch number 1, size 12 and 0 records", got)
	}
	r.Reset(12)
	r.As(3)
	r.Deliver(0x5bf975d3a91c4, 0x3124a07, 80000)
	r.Arm(500000, 77)
	r.As(5)
	r.Trace("two servers known")
	want := decodeHex(t, "0000000c 00000058 00000005 5c 00000004 00000003",
		"50 00000010 0005bf975d3a91c4 03124a07 00013880 54 00000008 0007a120 0000004d",
		"5c 00000004 00000005 58 00000013 0011 74776f2073657276657273206b6e6f776e")
	if got := r.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}

func TestReplyWritesEachAction(t *testing.T) {
	var r Reply
	r.Reset(9)
	r.Trace("of the batch before")
	r.Reset(0)
	r.Decline(0xbf5a10e6f2b19, 250000)
	r.Fail(0xbf5a10e6f2b19)
	r.Revoke(0x5bf975d3a91c4, 0)
	r.SoundOut(0x2c9011f2)
	r.LetGo(0x2c9011f2)
	r.WritePeer(AllPeers, []byte("hi 7"))
	r.Exception("index out of range")
	r.Track(true)
	r.ListAll()
	want := decodeHex(t, "51 0000000c 000bf5a10e6f2b19 0003d090 52 00000008 000bf5a10e6f2b19",
		"53 0000000a 0005bf975d3a91c4 0000 55 00000004 2c9011f2 56 00000004 2c9011f2",
		"57 0000000a ffffffff 0004 68692037 59 00000014 0012 696e646578206f7574206f662072616e6765",
		"5a 00000001 01 5b 00000000")
	if got := r.Bytes()[replyHeaderSize:]; !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}

func TestReplyClampsDelaysOutOfRange(t *testing.T) {
	var r Reply
	r.Reset(0)
	r.Arm(-5, 1)
	r.Arm(math.MaxInt64, 1)
	records := r.Bytes()[replyHeaderSize:]
	if binary.BigEndian.Uint32(records[5:]) != 0 || binary.BigEndian.Uint32(records[18:]) != math.MaxUint32 {
		t.Errorf("got records %x, want the delays 0 and %d", records, uint32(math.MaxUint32))
	}
}

func TestReplyTruncatesLongTextsAndMessages(t *testing.T) {
	var r Reply
	r.Reset(0)
	r.WritePeer(1, make([]byte, 257))
	if got, want := len(r.Bytes()), replyHeaderSize+recordHeaderSize+6+256; got != want {
		t.Errorf("message of 257 bytes: got a reply of %d bytes, want %d", got, want)
	}
	r.Reset(0)
	r.Trace(strings.Repeat("x", math.MaxUint16+1))
	if got, want := len(r.Bytes()), replyHeaderSize+recordHeaderSize+2+math.MaxUint16; got != want {
		t.Errorf("line of 65536 bytes: got a reply of %d bytes, want %d", got, want)
	}
}
