package httpmsg

import (
	"net/http"
	"slices"
)

// hopByHop are the headers that are not forwarded: those that apply to one connection only, and those that are written
// anew for each message.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// CopyEndToEnd copies the end-to-end headers, which are those to forward, from one header to another. Both then share
// the slices of values.
func CopyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}
