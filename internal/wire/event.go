package wire

import "oakproxy/balancer"

// Event is one decoded event record. Decoder.Next sets only the fields that belong to the record's code; the other
// fields keep the values that earlier records set. Slices are valid until the next call of Decoder.Next. The comment of
// each field names the events that set it.
type Event struct {
	Code   EventCode // all events: code of the record
	Offset int       // all events: offset of the record in bytes from the start of its frame

	Instance uint32 // Instance: number of the instance that receives the following events

	Seed         uint64 // Begin: seed of the instance's random number generator
	SettingsText string // Begin: argument for ParseSettings

	Update    balancer.ListUpdate // Membership: kind of the notification
	Endpoints []balancer.Endpoint // Membership: the endpoint list; nil if the discovery call failed

	Request balancer.Request // Request: the request that the client sent

	// Outcome is set by Answer (all fields except BodyConsumed), Headers (ID, Attempt, Endpoint and Latency) and
	// CancelledByClient (ID).
	Outcome balancer.Outcome

	TimerToken uint32 // TimeoutFired: token of the timer, as passed to Reply.Arm

	Endpoint   uint32          // HealthResult: ID of the probed endpoint
	Status     balancer.Status // HealthResult: result of the probe
	Latency    balancer.Micros // HealthResult: duration of the probe
	LoadReport []float32       // HealthResult: load report in the response

	Peer    uint16 // Whisper: number of the sender
	Message []byte // Whisper: content of the message
}

// Bits in the options byte of a request record.
const (
	optionWorkHint    = 1 << 0 // the work hint field is valid
	optionClientRetry = 1 << 1 // the client marked the request as a retry
	optionWrite       = 1 << 2 // the request is a write
)

// The methods below decode the fields of event records. Their comments list each field as its offset in bytes from the
// start of the record, its name and, in parentheses, its size in bytes.

// begin reads a begin record: 5 seed (8), 13 size of the settings text (4), 17 settings text.
func (r *recordReader) begin(e *Event) {
	e.Seed = r.u64()
	e.SettingsText = string(r.bytes(int(r.u32())))
}

// request reads a request record: 5 ID (8), 13 key (8), 21 deadline (8), 29 work hint (4), 33 options (1), 34 tenant
// (2), 36 class (1).
func (r *recordReader) request(q *balancer.Request) {
	q.ID = r.u64()
	q.Key = r.u64()
	q.Deadline = balancer.Micros(r.u64())
	q.WorkHint = r.micros()
	options := r.u8()
	q.HasWorkHint = options&optionWorkHint != 0
	q.ClientRetry = options&optionClientRetry != 0
	q.IsWrite = options&optionWrite != 0
	q.Tenant = r.u16()
	q.Class = r.u8()
}

// attempt reads the fields that headers and answer records start with: 5 request ID (8), 13 attempt (2), 15 endpoint
// (4).
func (r *recordReader) attempt(o *balancer.Outcome) {
	o.ID = r.u64()
	o.Attempt = int(r.u16())
	o.Endpoint = r.u32()
}

// headers reads a headers record: the fields that attempt reads, then 19 latency (4).
func (r *recordReader) headers(o *balancer.Outcome) {
	r.attempt(o)
	o.Latency = r.micros()
}

// answer reads an answer record: the fields that attempt reads, then 19 status (2), 21 latency (4), 25 whether the
// request has its final answer (1), 26 load report. The values of the load report are stored in reportBuffer, or in a
// larger buffer if reportBuffer is too small.
func (r *recordReader) answer(o *balancer.Outcome, reportBuffer []float32) {
	r.attempt(o)
	o.Status = r.status()
	o.Latency = r.micros()
	o.Answered = r.u8() != 0
	o.LoadReport = r.loadReport(reportBuffer)
}

// healthResult reads a health_result record: 5 endpoint (4), 9 status (2), 11 latency (4), 15 load report. The values
// of the load report are stored in reportBuffer, or in a larger buffer if reportBuffer is too small.
func (r *recordReader) healthResult(e *Event, reportBuffer []float32) {
	e.Endpoint = r.u32()
	e.Status = r.status()
	e.Latency = r.micros()
	e.LoadReport = r.loadReport(reportBuffer)
}

// whisper reads a whisper record: 5 sender (2), 7 size of the message (2), 9 message.
func (r *recordReader) whisper(e *Event) {
	e.Peer = r.u16()
	e.Message = r.bytes(int(r.u16()))
}
