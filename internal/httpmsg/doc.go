// Package httpmsg holds what both sides of the sidecar need of HTTP/1.1 messages: limits on their size, buffers, the
// memory budget of bodies, end-to-end headers, and a scanner for what net/http hides of a head.
package httpmsg
