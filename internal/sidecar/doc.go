// Package sidecar runs a balancer.Balancer on real sockets: an HTTP server for the application's requests,
// connections to endpoints, and a watch of the endpoint list.
//
// Every decision on where, when and how often to send is the balancer's. This package carries the decisions out and
// reports what came of them. It does not interpret responses or load reports: upstream does; and it reads no
// configuration files: config does.
//
// Invariants:
//   - One goroutine, that of loop.run, owns the balancer and the tables of requests and endpoints. Others reach them
//     through the event queue only.
//   - Each admitted request gets exactly one final response, or its connection ends: the one that the loop gives.
//   - Each attempt that was started has exactly one outcome, which the balancer is given also after the request's end.
//   - No request is admitted once shutdown has closed admission, and none that is in flight is cut off before its
//     deadline.
package sidecar
