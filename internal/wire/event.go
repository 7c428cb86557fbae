package wire

import "oakproxy/balancer"

// Event is one decoded record. Only the fields of its code are set; the others keep what an earlier record set. Slices
// are valid until the next call of Decoder.Next.
type Event struct {
	Code   EventCode
	Offset int // of the record in its frame, in bytes

	Instance uint32 // Instance: the number of the one that the following events are for

	Seed   uint64 // Begin: of the instance's random numbers
	Config string // Begin: the settings text, for ParseSettings

	Update    balancer.ListUpdate // Membership
	Endpoints []balancer.Endpoint // Membership; nil if discovery failed

	Request balancer.Request // Request
	Outcome balancer.Outcome // Answer; Headers and CancelledByClient set parts of it

	TimerToken uint32 // TimeoutFired

	Endpoint   uint32          // HealthResult
	Status     balancer.Status // HealthResult
	Latency    balancer.Micros // HealthResult
	LoadReport []float32       // HealthResult

	Peer    uint16 // Whisper: the sender
	Message []byte // Whisper
}

// Bits of the options byte of a request record.
const (
	optionWorkHint    = 1 << 0 // the work hint is valid
	optionClientRetry = 1 << 1 // the client marked the request as a retry
	optionWrite       = 1 << 2
)

// The offsets below are in bytes from the start of the record; sizes are in parentheses.

// begin reads 5 seed (8), 13 size of the settings text (4), 17 settings text.
func (r *recordReader) begin(e *Event) {
	e.Seed = r.u64()
	e.Config = string(r.bytes(int(r.u32())))
}

// request reads 5 ID (8), 13 key (8), 21 deadline (8), 29 work hint (4), 33 options (1), 34 tenant (2), 36 class (1).
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

// attempt reads the fields with which records about an attempt start: 5 request ID (8), 13 attempt (2),
// 15 endpoint (4).
func (r *recordReader) attempt(o *balancer.Outcome) {
	o.ID = r.u64()
	o.Attempt = int(r.u16())
	o.Endpoint = r.u32()
}

// headers reads an attempt and 19 latency (4).
func (r *recordReader) headers(o *balancer.Outcome) {
	r.attempt(o)
	o.Latency = r.micros()
}

// answer reads an attempt, 19 status (2), 21 latency (4), 25 whether the request has its final answer (1), and
// 26 a load report. The report is written to reportBuffer.
func (r *recordReader) answer(o *balancer.Outcome, reportBuffer []float32) {
	r.attempt(o)
	o.Status = r.status()
	o.Latency = r.micros()
	o.Answered = r.u8() != 0
	o.LoadReport = r.loadReport(reportBuffer)
}

// healthResult reads 5 endpoint (4), 9 status (2), 11 latency (4), and 15 a load report. The report is written to
// reportBuffer.
func (r *recordReader) healthResult(e *Event, reportBuffer []float32) {
	e.Endpoint = r.u32()
	e.Status = r.status()
	e.Latency = r.micros()
	e.LoadReport = r.loadReport(reportBuffer)
}

// whisper reads 5 sender (2), 7 size of the message (2), 9 message.
func (r *recordReader) whisper(e *Event) {
	e.Peer = r.u16()
	e.Message = r.bytes(int(r.u16()))
}
