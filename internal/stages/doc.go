// Package stages measures how long requests spend in each stage of their way through the sidecar.
//
// The stages of a request follow one another without a gap, so their durations add up to the time from the request's
// head to its response. Only stageEndpoint is time that the endpoint takes; the other stages are latency that the
// sidecar adds.
//
// A [Recorder] keeps sums, for means over an interval, and histograms since the start of the process, for quantiles.
// The package does not read the clock: the code that handles a request sets its [RequestTimes]. The package writes no
// logs.
package stages
