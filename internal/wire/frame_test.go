package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func TestReadFrameReportsMalformedFrames(t *testing.T) {
	for name, text := range map[string]string{
		"header cut":            "0000000c 000000",
		"size under the header": "0000000c 0000000f 0000000000805c5a",
		"frame cut":             "0000000c 00000020 0000000000805c5a 00",
		"size of gigabytes":     "0000000c ffffffff 0000000000805c5a 00",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadFrame(bytes.NewReader(decodeHex(t, text)), nil)
			var malformed *FrameError
			if !errors.As(err, &malformed) {
				t.Errorf("got error %v, want a *FrameError", err)
			}
		})
	}
}

func TestReadFrameReturnsEOFAtCleanEnd(t *testing.T) {
	if _, err := ReadFrame(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: got error %v, want io.EOF", err)
	}
}

// A frame that is larger than the buffer and than readChunkSize is read completely. The next frame is read into the
// same buffer.
func TestReadFrameGrowsItsBuffer(t *testing.T) {
	large := frame(bytes.Repeat([]byte{7}, 2*readChunkSize+5))
	buffer, err := ReadFrame(bytes.NewReader(large), nil)
	if err != nil || !bytes.Equal(buffer, large) {
		t.Fatalf("large frame: got %d bytes, error %v; want the %d bytes of the input", len(buffer), err, len(large))
	}
	small := frame([]byte{25, 0, 0, 0, 0})
	next, err := ReadFrame(bytes.NewReader(small), buffer)
	if err != nil || !bytes.Equal(next, small) || &next[0] != &buffer[0] {
		t.Errorf("small frame: got %x, error %v; want %x in the buffer of the large frame", next, err, small)
	}
}
