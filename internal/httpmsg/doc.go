// Package httpmsg contains the handling of HTTP/1.1 messages that the upstream and the downstream side of the sidecar
// share: limits on message sizes, buffers, the memory budgets, the selection of end-to-end headers, and a
// scanner for the parts of a message head that net/http hides.
//
// The package neither reads from connections nor writes to them. It does not depend on the sidecar's requests, attempts
// or policies.
package httpmsg
