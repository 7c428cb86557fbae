package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"testing"
	"testing/iotest"
)

// step is what one read of a steppedReader returns.
type step struct {
	data string
	err  error
}

// steppedReader returns one step for each read, and io.EOF after the last one.
type steppedReader struct{ steps []step }

func (r *steppedReader) Read(p []byte) (int, error) {
	if len(r.steps) == 0 {
		return 0, io.EOF
	}
	s := r.steps[0]
	r.steps = r.steps[1:]
	return copy(p, s.data), s.err
}

// newTestBody returns the reader of a body with a framing: length, chunks or close.
func newTestBody(framing string, length int64, from io.Reader) io.Reader {
	response := &http.Response{ContentLength: -1}
	switch framing {
	case "length":
		response.ContentLength = length
	case "chunks":
		response.TransferEncoding = []string{"chunked"}
	}
	return newBodyReader(response, bufio.NewReaderSize(from, readBufferBytes))
}

// Guards against bytes of an endpoint that are held back until more arrive, and against a response that is cut off because
// a read has reached its deadline: wherever the pieces begin, each read returns what has arrived, and a read after a
// deadline goes on.
func TestBodyReaderReturnsWhatHasArrived(t *testing.T) {
	const body = "0123456789abcdef"
	for framing, text := range map[string]string{
		"length": body,
		"chunks": "8;x=1\r\n01234567\r\n8\r\n89abcdef\r\n0\r\nX-Sum: 1\r\n\r\n",
		"close":  body,
	} {
		for split := 1; split < len(text); split++ {
			deadline := step{err: os.ErrDeadlineExceeded}
			from := &steppedReader{[]step{deadline, {data: text[:split]}, deadline, {data: text[split:]}, deadline}}
			reader := newTestBody(framing, int64(len(body)), from)
			want := split
			if framing == "chunks" {
				want = decodedLength(text[:split])
			}
			got, p := "", make([]byte, 100)
			for deadlines := 0; deadlines < 2; {
				n, err := reader.Read(p)
				got += string(p[:n])
				if errors.Is(err, os.ErrDeadlineExceeded) {
					deadlines++
				} else if err != nil {
					t.Fatalf("%s, split at %d: got %v after %q", framing, split, err, got)
				}
			}
			if got != body[:want] {
				t.Errorf("%s, split at %d: got %q before the pause, want %q", framing, split, got, body[:want])
			}
			rest, err := io.ReadAll(&retryingReader{reader})
			if err != nil || got+string(rest) != body {
				t.Errorf("%s, split at %d: got %q and then %q, error %v, want %q", framing, split, got, rest, err, body)
			}
		}
	}
}

// decodedLength returns how many bytes of data the beginning of a chunked body contains.
func decodedLength(text string) int {
	data, _ := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
	return len(data)
}

// retryingReader repeats each read that has reached its deadline.
type retryingReader struct{ io.Reader }

func (r *retryingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = r.Reader.Read(p)
	}
	return n, err
}

// The end of the connection ends only a body that has neither a length nor chunks.
func TestTruncatedBodyIsAnError(t *testing.T) {
	for framing, text := range map[string]string{"length": "0123", "chunks": "8\r\n0123", "close": "0123"} {
		data, err := io.ReadAll(newTestBody(framing, 8, strings.NewReader(text)))
		if string(data) != "0123" || (framing == "close") != (err == nil) {
			t.Errorf("%s: got %q, error %v", framing, data, err)
		}
	}
}

// The decoder of chunks must accept no body that net/http rejects, and must read the same data from all others.
func FuzzChunkedBody(f *testing.F) {
	for _, text := range []string{
		"4\r\ndone\r\n0\r\n\r\n", "4;a=b\r\ndone\r\n0\r\nX-Sum: 1\r\n\r\n", "4\ndone\n0\n\n", "zz\r\n", "+4\r\ndone\r\n0\r\n\r\n",
		"4 \r\ndone\r\n0\r\n\r\n", "\r\n", "4\r\ndone0\r\n\r\n", "00000000000000000004\r\ndone\r\n0\r\n\r\n", "4\r\nd\r\ne\r\n0\r\n\r\n",
		"_4\r\ndone\r\n0\r\n\r\n", "0x4\r\ndone\r\n0\r\n\r\n", "4\r\ndone\r\n0\r\n", strings.Repeat("1\r\nx\r\n", 100) + "0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+string(text))), nil)
		if err != nil {
			t.Fatal(err)
		}
		want, wantErr := io.ReadAll(response.Body)
		for name, from := range map[string]io.Reader{
			"at once": bytes.NewReader(text), "byte by byte": iotest.OneByteReader(bytes.NewReader(text)),
		} {
			got, err := io.ReadAll(newTestBody("chunks", 0, from))
			if err == nil && (wantErr != nil || !bytes.Equal(got, want)) {
				t.Errorf("%s: got %q without an error, net/http %q, %v", name, got, want, wantErr)
			}
			if err != nil && wantErr == nil && len(response.Trailer) == 0 && !bytes.Contains(text, []byte("\n\n")) &&
				!hasUnusualLine(text) {
				t.Errorf("%s: got error %v, net/http accepts %q", name, err, want)
			}
		}
	})
}

// hasUnusualLine reports whether a body has a line that does not end with CRLF, which the sidecar accepts nowhere and
// net/http accepts among the trailers, or very long lines.
func hasUnusualLine(text []byte) bool {
	for line := range bytes.Lines(text) {
		if !bytes.HasSuffix(line, []byte("\r\n")) || bytes.Count(line, []byte("\r")) > 1 || len(line) > 1000 {
			return true
		}
	}
	return false
}
