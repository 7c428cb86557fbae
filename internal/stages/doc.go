// Package stages measures how long requests spend in each stage of their way through the sidecar.
//
// The stages of a request follow one another without a gap, so their times add up to the time from its head to its
// response. Only stageEndpoint is the endpoint's; the others are latency that the sidecar adds.
//
// A Recorder keeps sums, for means over an interval, and histograms since the start, for quantiles. The package does
// not take the times: those who handle a request set its RequestTimes. It writes no logs.
package stages
