// Package discovery calls the service that lists endpoints and reads its lists.
//
// The service's form is in the protocol page, section Discovery: GET /registry/instances returns the complete list, and
// with ?after=VERSION&wait_ms=N it returns what is newer than VERSION, or waits up to N milliseconds for it. A Client
// makes such calls one after another, which is a watch, and passes each usable answer on.
//
// These invariants hold:
//
//   - Each call has a timeout, and the timeouts keep the inequalities stated at the constants.
//   - A list that is passed on is not older than the one before it, unless none was received for the time after which
//     an older one is taken for a service that has restarted its version numbers.
//   - An entry that cannot be used does not make the others unusable, and its endpoint is treated as draining.
//
// The package does not keep the list, and does not decide when to watch again after a failure: the balancer does that.
package discovery
