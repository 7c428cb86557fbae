package main

import (
	"errors"
	"fmt"
	"io"

	"oakproxy/balancer"
	"oakproxy/internal/wire"
)

// host runs the balancer instances of one process.
type host struct {
	decoder         wire.Decoder
	reply           wire.Reply
	instances       map[uint32]*instance // instances by instance number
	reportedUnknown [256]bool            // whether an unknown event was reported, by event code
	stderr          io.Writer
}

func newHost(stderr io.Writer) *host {
	return &host{instances: map[uint32]*instance{}, stderr: stderr}
}

// instanceTarget identifies the instance that receives the events of a batch. No instance is selected at the start of a
// batch; each instance record selects one for the events that follow the record.
type instanceTarget struct {
	number   uint32 // number of the instance; valid if selected is true
	selected bool   // whether the batch has had an instance record
}

// handleBatch passes the events of a batch to their instances, and returns the reply. The reply is valid until the next
// call of handleBatch.
func (h *host) handleBatch(frame []byte) (reply []byte, err error) {
	batch, now, err := h.decoder.Reset(frame)
	if err != nil {
		return nil, err
	}
	h.reply.Reset(batch)
	var event wire.Event
	var target instanceTarget
	for {
		err := h.decoder.Next(&event)
		if errors.Is(err, io.EOF) {
			return h.reply.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if err := h.handleEvent(now, &event, &target); err != nil {
			return nil, err
		}
	}
}

func (h *host) handleEvent(now balancer.Micros, event *wire.Event, target *instanceTarget) error {
	switch {
	case event.Code == wire.Manifest: // nothing to do: the decoder caches the list
		return nil
	case event.Code == wire.Instance:
		*target = instanceTarget{number: event.Instance, selected: true}
		h.reply.As(event.Instance)
		return nil
	case !event.Code.Known():
		h.reportUnknown(event)
		return nil
	}
	inst, err := h.instanceFor(event, *target)
	if err != nil {
		return err
	}
	inst.handle(now, event)
	return nil
}

// instanceFor returns the instance that receives an event. It creates the instance if the event is the first begin
// event for its number.
func (h *host) instanceFor(event *wire.Event, target instanceTarget) (*instance, error) {
	if !target.selected {
		return nil, eventError(event, "comes before the first instance record of the batch")
	}
	inst := h.instances[target.number]
	if inst == nil {
		if event.Code != wire.Begin {
			return nil, eventError(event, fmt.Sprintf("instance %d has not begun", target.number))
		}
		inst = &instance{reply: &h.reply}
		h.instances[target.number] = inst
	}
	return inst, nil
}

// reportUnknown writes a message about an event with an unknown code to standard error, once for each code.
func (h *host) reportUnknown(event *wire.Event) {
	if h.reportedUnknown[event.Code] {
		return
	}
	h.reportedUnknown[event.Code] = true
	fmt.Fprintf(h.stderr, "simhost: %v at byte %d: unknown event code, skipped\n", event.Code, event.Offset)
}

func eventError(event *wire.Event, reason string) error {
	return &wire.FrameError{Record: event.Code.String(), Offset: event.Offset, Reason: reason}
}
