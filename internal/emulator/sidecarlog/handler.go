package sidecarlog

import (
	"context"
	"log/slog"
)

// Messages of the sidecar that are events here, and their attributes.
const (
	listHeard   = "endpoint list received"
	inForce     = "configuration in force"
	notReloaded = "configuration not reloaded"

	seqKey   = "seq"
	wholeKey = "whole"
	hostsKey = "hosts"
	hashKey  = "hash"
)

// Logger returns a logger whose records are events.
func (e *Events) Logger() *slog.Logger { return slog.New(&handler{events: e}) }

// handler makes events of log records.
type handler struct{ events *Events }

// Enabled says yes to all: lists are logged at debug level.
func (h *handler) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs returns the same handler: no event depends on a logger's own attributes.
func (h *handler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup returns the same handler.
func (h *handler) WithGroup(string) slog.Handler { return h }

// Handle makes an event of a record that is one.
func (h *handler) Handle(_ context.Context, record slog.Record) error {
	switch record.Message {
	case listHeard:
		h.events.hear(listOf(record))
	case inForce:
		h.events.hold(configurationOf(record))
	case notReloaded:
		h.events.refuse()
	}
	return nil
}

func listOf(record slog.Record) list {
	heard := list{at: record.Time}
	record.Attrs(func(attribute slog.Attr) bool {
		switch attribute.Key {
		case seqKey:
			heard.seq = attribute.Value.Uint64()
		case wholeKey:
			heard.whole = attribute.Value.Bool()
		case hostsKey:
			heard.hosts = attribute.Value.Int64()
		}
		return true
	})
	return heard
}

func configurationOf(record slog.Record) configuration {
	held := configuration{at: record.Time}
	record.Attrs(func(attribute slog.Attr) bool {
		if attribute.Key == hashKey {
			held.hash = attribute.Value.String()
		}
		return true
	})
	return held
}
