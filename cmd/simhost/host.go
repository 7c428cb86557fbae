package main

import (
	"errors"
	"fmt"
	"io"

	"oakproxy/balancer"
	"oakproxy/internal/wire"
)

// host runs the instances of one process.
type host struct {
	decoder         wire.Decoder
	reply           wire.Reply
	instances       map[uint32]*instance
	unknownReported [256]bool // by event code: reported once each
	stderr          io.Writer
}

func newHost(stderr io.Writer) *host {
	return &host{instances: map[uint32]*instance{}, stderr: stderr}
}

// target is the instance that the events of a batch are for; none until an instance record names one.
type target struct {
	number uint32
	named  bool
}

// handleBatch passes the events of a batch to their instances, and returns the reply. It is valid until the next call.
func (h *host) handleBatch(frame []byte) (reply []byte, err error) {
	batch, now, err := h.decoder.Reset(frame)
	if err != nil {
		return nil, err
	}
	h.reply.Reset(batch)
	var event wire.Event
	var to target
	for {
		err := h.decoder.Next(&event)
		if errors.Is(err, io.EOF) {
			return h.reply.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if err := h.handleEvent(now, &event, &to); err != nil {
			return nil, err
		}
	}
}

func (h *host) handleEvent(now balancer.Micros, event *wire.Event, to *target) error {
	switch {
	case event.Code == wire.Manifest: // the decoder has cached the list
		return nil
	case event.Code == wire.Instance:
		*to = target{number: event.Instance, named: true}
		h.reply.As(event.Instance)
		return nil
	case !event.Code.Known():
		h.reportUnknown(event)
		return nil
	}
	i, err := h.instanceFor(event, *to)
	if err != nil {
		return err
	}
	i.handle(now, event)
	return nil
}

// instanceFor returns the instance that an event is for. A begin event creates it at its first start.
func (h *host) instanceFor(event *wire.Event, to target) (*instance, error) {
	if !to.named {
		return nil, eventError(event, "comes before any instance")
	}
	i := h.instances[to.number]
	if i == nil {
		if event.Code != wire.Begin {
			return nil, eventError(event, fmt.Sprintf("instance %d has not begun", to.number))
		}
		i = &instance{reply: &h.reply}
		h.instances[to.number] = i
	}
	return i, nil
}

// reportUnknown reports an event that this version does not know, once per code.
func (h *host) reportUnknown(event *wire.Event) {
	if h.unknownReported[event.Code] {
		return
	}
	h.unknownReported[event.Code] = true
	fmt.Fprintf(h.stderr, "simhost: %v at byte %d: unknown code, skipped\n", event.Code, event.Offset)
}

func eventError(event *wire.Event, reason string) error {
	return &wire.FrameError{Record: event.Code.String(), Offset: event.Offset, Reason: reason}
}
