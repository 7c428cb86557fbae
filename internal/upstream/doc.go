// Package upstream sends attempts and probes to endpoints over connections that it pools. It never retries by itself:
// each attempt is a decision of the balancer.
package upstream
