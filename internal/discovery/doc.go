// Package discovery calls the service that lists endpoints and reads its lists.
//
// The protocol page, section Discovery, describes the interface of the service. That page and the wire page are not
// part of this repository. GET /registry/instances returns the complete list. With the query after=VERSION&wait_ms=N,
// it returns the changes since VERSION; if there are none, it waits up to N milliseconds for a change. A watch is a
// sequence of such calls, one after another. A Client makes the calls of a watch and passes each usable list to its
// caller.
//
// These invariants hold:
//
//   - Each call has a timeout. The timeouts satisfy the inequalities in the comments of the constants.
//   - A list that is passed to the caller is not older than the list before it, with one exception: if no list has been
//     received for some time, the package assumes that the service has restarted its version numbers, and accepts an
//     older complete list.
//   - An invalid entry does not make the other entries of a list unusable. Its endpoint is treated as draining.
//
// The package does not store the list, and does not decide when to watch again after a failure; the balancer does.
package discovery
