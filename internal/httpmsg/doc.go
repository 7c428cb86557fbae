// Package httpmsg holds what both sides of the sidecar, upstream and downstream, share of HTTP/1.1 messages: limits on
// their size, buffers, the memory budget for bodies, the selection of end-to-end headers, and a scanner for what
// net/http hides of a message head.
//
// It neither reads from nor writes to connections, and it knows nothing of requests, attempts or policies.
package httpmsg
