package main

import (
	"fmt"

	"oakproxy/balancer"
	"oakproxy/internal/wire"
)

// instance runs one balancer. It implements balancer.Actions by writing records to the host's reply. An instance that
// has stopped or failed ignores all events except a begin event, which starts it again.
type instance struct {
	reply    *wire.Reply        // the host's reply to the current batch
	balancer *balancer.Balancer // nil after the instance has stopped or failed
}

var _ balancer.Actions = (*instance)(nil)

// handle passes an event to the balancer. If the balancer panics, handle writes an exception record and drops the
// balancer: the instance has then failed.
func (i *instance) handle(now balancer.Micros, event *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			i.balancer = nil
			i.reply.Exception(fmt.Sprintf("panic in %v: %v", event.Code, p))
		}
	}()
	switch {
	case event.Code == wire.Begin:
		i.begin(now, event)
	case event.Code == wire.Stop:
		i.balancer = nil
	case i.balancer != nil:
		i.dispatch(now, event)
	}
}

// begin starts a new balancer, which replaces the previous one. If the settings are invalid, begin writes an exception
// record.
func (i *instance) begin(now balancer.Micros, event *wire.Event) {
	i.balancer = nil
	settings, err := wire.ParseSettings(event.SettingsText)
	if err == nil {
		i.balancer, err = balancer.New(settings, event.Seed, i)
	}
	if err != nil {
		i.reply.Exception(err.Error())
		return
	}
	i.balancer.Start(now)
}

// dispatch calls the balancer's method for an event. The balancer has no method for whisper events, which are messages
// of peers, so dispatch ignores them.
func (i *instance) dispatch(now balancer.Micros, event *wire.Event) {
	switch event.Code {
	case wire.Membership:
		i.balancer.HandleEndpoints(now, event.Update, event.Endpoints)
	case wire.Request:
		i.balancer.HandleRequest(now, event.Request)
	case wire.Headers:
		i.balancer.HandleHeaders(now, event.Outcome.ID, event.Outcome.Attempt, event.Outcome.Latency)
	case wire.Answer:
		i.balancer.HandleOutcome(now, event.Outcome)
	case wire.CancelledByClient:
		i.balancer.HandleClientGone(now, event.Outcome.ID)
	case wire.TimeoutFired:
		i.balancer.HandleTimer(now, event.TimerToken)
	case wire.HealthResult:
		i.balancer.HandleProbe(now, event.Endpoint, event.Status, event.Latency, event.LoadReport)
	}
}

// Send writes a deliver record. In the simulator, an attempt starts at the time of the record without waiting for a
// connection. Send therefore ignores its last parameter, which limits that wait. The attempt may take until the
// client's deadline.
func (i *instance) Send(id uint64, endpoint uint32, _ balancer.Micros) {
	i.reply.Deliver(id, endpoint, 0)
}

// Reject writes a decline record.
func (i *instance) Reject(id uint64, retryAfter balancer.Micros) { i.reply.Decline(id, retryAfter) }

// Fail writes a fail record.
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// Cancel writes a revoke record.
func (i *instance) Cancel(id uint64, attempt int) { i.reply.Revoke(id, attempt) }

// StartTimer writes an arm record.
func (i *instance) StartTimer(delay balancer.Micros, token uint32) { i.reply.Arm(delay, token) }

// Probe writes a sound_out record.
func (i *instance) Probe(endpoint uint32) { i.reply.SoundOut(endpoint) }

// Watch writes a track record.
func (i *instance) Watch(on bool) { i.reply.Track(on) }

// Log writes a trace record.
func (i *instance) Log(line string) { i.reply.Trace(line) }
