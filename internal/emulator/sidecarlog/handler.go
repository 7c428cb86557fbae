package sidecarlog

import (
	"context"
	"log/slog"
)

// Messages and attribute keys of the sidecar's log records that become events.
const (
	listReceivedMessage  = "endpoint list received"
	configAppliedMessage = "configuration in force"
	reloadFailedMessage  = "configuration not reloaded"

	versionKey   = "seq"
	completeKey  = "whole"
	endpointsKey = "hosts"
	hashKey      = "hash"
)

// Logger returns a logger whose records become events.
func (e *Events) Logger() *slog.Logger { return slog.New(&handler{events: e}) }

// handler is a slog.Handler that turns log records into events.
type handler struct{ events *Events }

// Enabled accepts every level: endpoint lists are logged at debug level.
func (h *handler) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs returns the same handler: no event depends on the attributes of a logger.
func (h *handler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup returns the same handler: no event depends on the groups of a logger.
func (h *handler) WithGroup(string) slog.Handler { return h }

// Handle records the event of a log record. It ignores records with other messages.
func (h *handler) Handle(_ context.Context, record slog.Record) error {
	switch record.Message {
	case listReceivedMessage:
		h.events.recordList(parseList(record))
	case configAppliedMessage:
		h.events.recordApplied(parseConfig(record))
	case reloadFailedMessage:
		h.events.recordRejected()
	}
	return nil
}

func parseList(record slog.Record) endpointList {
	received := endpointList{receivedAt: record.Time}
	record.Attrs(func(attribute slog.Attr) bool {
		switch attribute.Key {
		case versionKey:
			received.version = attribute.Value.Uint64()
		case completeKey:
			received.complete = attribute.Value.Bool()
		case endpointsKey:
			received.endpoints = attribute.Value.Int64()
		}
		return true
	})
	return received
}

func parseConfig(record slog.Record) appliedConfig {
	applied := appliedConfig{appliedAt: record.Time}
	record.Attrs(func(attribute slog.Attr) bool {
		if attribute.Key == hashKey {
			applied.hash = attribute.Value.String()
		}
		return true
	})
	return applied
}
