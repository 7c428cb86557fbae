// Package wire reads and writes the simulator's binary protocol and its settings text.
//
// A frame carries one batch of events from the simulator, or the reply to one batch. Frames and records are laid out as
// follows; all numbers are big-endian, floating-point numbers are IEEE 754 single precision, and instants and durations
// are in microseconds.
//
//	batch:   0 batch number (4), 4 size of the frame in bytes (4), 8 clock (8), 16 event records
//	reply:   0 batch number (4), 4 size of the frame in bytes (4), 8 number of records (4), 12 action records
//	record:  0 code (1), 1 size of the fields in bytes (4), 5 fields
//
// The names of records and settings keys are those of the protocol, and the Go names of codes and of the methods of
// Reply follow them: a deliver record starts an attempt, decline rejects a request, sound_out probes an endpoint.
//
// A Decoder and a Reply reuse their buffers: in the steady state, neither reading nor writing a record allocates.
// Malformed input yields a *FrameError, malformed settings a *balancer.SettingError. The package makes no balancing
// decision, keeps no state of requests, and does not check that records come in an order that makes sense.
package wire
