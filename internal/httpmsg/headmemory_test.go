package httpmsg

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"testing"
)

// Guards against a budget for heads that does not limit their memory: the estimate must be an upper bound of what
// net/http keeps for a head, whatever the head consists of.
func TestEstimateCoversWhatNetHTTPKeeps(t *testing.T) {
	const headBytes, heads = 30 << 10, 50
	lines := func(format string) string {
		var b strings.Builder
		for i := 36 * 36; b.Len() < headBytes; i++ {
			fmt.Fprintf(&b, format, strconv.FormatInt(int64(i), 36))
		}
		return b.String()
	}
	for name, text := range map[string]string{
		"short lines":       lines("%s:\n"),
		"lines with values": lines("%s:12345678\r\n"),
		"one name":          lines("a:%s\r\n"),
		"one line":          "A:" + strings.Repeat("x", headBytes) + "\r\n",
		"folded lines":      "A:" + strings.Repeat("x\r\n ", headBytes/4) + "\r\n",
		"trailer names":     "Transfer-Encoding: chunked\r\nTrailer: " + lines("%s,") + "end\r\n",
		"folded names":      "Transfer-Encoding: chunked\r\nTrailer: a" + lines(",\r\n %s") + "\r\n",
		"escaped path":      "",
	} {
		target := "/"
		if name == "escaped path" {
			target = strings.Repeat("/%20", headBytes/4)
		}
		text = "GET " + target + " HTTP/1.1\r\nHost: api\r\n" + text + "\r\n"
		var head HeadScanner
		head.Scan([]byte(text))
		if head.HeadSize != int64(len(text)) {
			t.Fatalf("%s: the head has %d bytes, want %d", name, head.HeadSize, len(text))
		}
		kept := make([]*http.Request, heads)
		before := liveHeapBytes()
		for i := range kept {
			var err error
			if kept[i], err = http.ReadRequest(bufio.NewReader(strings.NewReader(text))); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		used := (liveHeapBytes() - before) / heads
		runtime.KeepAlive(kept)
		if limit := head.Memory() + HeadAllowance; used > limit {
			t.Errorf("%s: net/http keeps %d bytes for a head, want at most the estimate and the allowance, %d", name, used, limit)
		}
	}
}

// liveHeapBytes returns the bytes of heap objects that a garbage collection has found to be in use.
func liveHeapBytes() int64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
