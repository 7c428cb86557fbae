package sidecarlog

import (
	"context"
	"io"
	"log/slog"
	"testing"
)

// checkBothSources checks events that a hosted sidecar logs, and those that a process writes as lines of text.
func checkBothSources(t *testing.T, log func(*slog.Logger), check func(*Events)) {
	t.Helper()
	simulated := New()
	log(simulated.Logger().With("sidecar", "n0"))
	check(simulated)
	process := New()
	log(slog.New(slog.NewTextHandler(byteWriter{NewWriter(process)}, nil)).With("sidecar", "n0"))
	check(process)
}

// byteWriter writes one byte at a time.
type byteWriter struct{ destination io.Writer }

func (w byteWriter) Write(text []byte) (int, error) {
	for i := range text {
		if _, err := w.destination.Write(text[i : i+1]); err != nil {
			return i, err
		}
	}
	return len(text), nil
}

func TestAppliedAndRejectedConfigurationsAreRecorded(t *testing.T) {
	checkBothSources(t, func(log *slog.Logger) {
		log.Info("configuration in force", "generation", 1, "hash", "0123", "discovery", "127.0.0.1:1")
		log.Info("counts", "hash", "no news")
		log.Error("configuration not reloaded", "error", "a reason", "hash", "0123")
		log.Info("configuration in force", "generation", 2, "hash", "4567")
	}, func(e *Events) {
		if counts := e.Counts(); counts.ConfigsApplied != 2 || counts.ConfigsRejected != 1 {
			t.Errorf("got counts %+v", counts)
		}
		done, cancel := context.WithCancel(t.Context())
		cancel()
		if _, met := e.Await(done, ConfigApplied("0123")); met {
			t.Error("the replaced configuration counts as applied")
		}
		if at, met := e.Await(t.Context(), ConfigApplied("4567")); !met || at.IsZero() {
			t.Error("the second configuration does not count as applied")
		}
	})
}

func TestReceivedListsAreRecorded(t *testing.T) {
	e := New()
	log := e.Logger()
	met := make(chan bool)
	go func() {
		_, received := e.Await(t.Context(), ListReceived(7))
		met <- received
	}()
	log.Debug("endpoint list received", "seq", uint64(5), "whole", true, "hosts", 0)
	done, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ready := e.Await(done, Ready); ready {
		t.Error("ready without endpoints")
	}
	log.Debug("endpoint list received", "seq", uint64(8), "whole", false, "hosts", 3)
	if !<-met {
		t.Error("a newer version of the list does not count as received")
	}
	if _, ready := e.Await(t.Context(), Ready); !ready {
		t.Error("not ready with endpoints")
	}
	if counts := e.Counts(); counts.CompleteLists != 1 || counts.ListChanges != 1 {
		t.Errorf("got counts %+v", counts)
	}
}
