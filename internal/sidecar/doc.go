// Package sidecar runs a balancer.Balancer on real sockets: it serves the application's HTTP requests, connects to
// endpoints and watches the endpoint list.
//
// The balancer decides where, when and how often to send each request. This package carries out these decisions and
// reports their outcomes to the balancer. Package upstream interprets responses and load reports, and package config
// reads configuration files.
//
// Operators can drain the sidecar, so that its clients move to other sidecars, and cordon an endpoint, so that no new
// attempt is sent to it. An operator's decision to cordon or uncordon an endpoint is an override. Several processes of
// one sidecar may run at a time, because a new process runs beside the old one until it takes over. They share the
// limits of the sidecar. Each process registers itself in a slot, by which the others notice it.
//
// Invariants:
//   - The goroutine that runs loop.run owns the balancer and the tables of requests and endpoints. Other goroutines
//     access them only through the event queue.
//   - Each admitted request either gets exactly one final response, the one that the loop chooses, or its client's
//     connection is closed.
//   - Each started attempt has exactly one outcome. It is reported to the balancer even if the request has ended.
//   - No request is admitted after shutdown has closed admission. No request in flight is cut off before its deadline
//     and, if its response has begun, before SIGKILL is due.
package sidecar
