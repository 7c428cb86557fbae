// Package wire reads and writes the simulator's binary protocol and its settings text.
//
// A frame carries one batch of events from the simulator, or the reply to one batch. All numbers are big-endian,
// floating-point numbers are IEEE 754 single precision, and times and durations are in microseconds. The layouts of
// frames and records below list each field as its offset in bytes, its name and, in parentheses, its size in bytes:
//
//	batch:   0 batch number (4), 4 size of the frame in bytes (4), 8 current time (8), 16 event records
//	reply:   0 batch number (4), 4 size of the frame in bytes (4), 8 number of records (4), 12 action records
//	record:  0 code (1), 1 size of the fields in bytes (4), 5 fields
//
// The protocol defines the names of records and of settings keys. The constants of type EventCode and ActionCode and
// the methods of Reply are named after the records. For example, a deliver record starts an attempt, a decline record
// rejects a request, and a sound_out record probes an endpoint.
//
// A Decoder and a Reply reuse their buffers: once the buffers have grown, neither reading nor writing a record
// allocates memory. Malformed input results in a *FrameError, and malformed settings in a *balancer.SettingError. The
// package makes no balancing decisions, keeps no state about requests, and does not check the order of records.
package wire
