package httpmsg

import (
	"net/http"
	"slices"
)

// hopByHop are the headers that concern one connection only, and those that are written anew for each message.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// CopyEndToEnd copies the end-to-end headers, which are forwarded. The copy shares the values.
func CopyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}
