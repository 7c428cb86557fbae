// Package requestids remembers the ids of requests that may have been executed, so that a request that arrives again is
// not executed again, whether its client has disconnected, has its response, or reaches another process of the sidecar.
//
// The memory is fixed. The processes of a sidecar that replace each other share it as a mapped file.
package requestids
