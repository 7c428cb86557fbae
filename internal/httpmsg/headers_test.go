package httpmsg

import (
	"net/http"
	"reflect"
	"testing"
)

// Hop-by-hop headers are not copied. All other headers are copied with all their values.
func TestCopyEndToEndOmitsHopByHopHeaders(t *testing.T) {
	from := http.Header{"X-A": {"1", "2"}, "Content-Type": {"text/plain"}}
	want := from.Clone()
	for _, name := range hopByHop {
		from[name] = []string{"x"}
	}
	got := http.Header{}
	if CopyEndToEnd(got, from); !reflect.DeepEqual(got, want) {
		t.Errorf("copied %v, want %v", got, want)
	}
}
