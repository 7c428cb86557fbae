package sidecarlog

import (
	"context"
	"io"
	"log/slog"
	"testing"
)

// checkBothSources checks the events from both kinds of log: the records of a simulated sidecar, and the text lines
// of a sidecar process.
func checkBothSources(t *testing.T, log func(*slog.Logger), check func(*Events)) {
	t.Helper()
	simulated := New()
	log(simulated.Logger().With("sidecar", "n0"))
	check(simulated)
	process := New()
	log(slog.New(slog.NewTextHandler(byteWriter{NewWriter(process)}, nil)).With("sidecar", "n0"))
	check(process)
}

// byteWriter writes to destination one byte at a time.
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
			t.Errorf("got counts %+v, want 2 configurations applied and 1 rejected", counts)
		}
		done, cancel := context.WithCancel(t.Context())
		cancel()
		if _, met := e.Await(done, ConfigApplied("0123")); met {
			t.Error("ConfigApplied with the hash of the replaced configuration: got met, want not met")
		}
		if at, met := e.Await(t.Context(), ConfigApplied("4567")); !met || at.IsZero() {
			t.Errorf("ConfigApplied with the hash of the second configuration: got met %v since %v, want met with a time",
				met, at)
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
		t.Error("Ready after a list without endpoints: got met, want not met")
	}
	log.Debug("endpoint list received", "seq", uint64(8), "whole", false, "hosts", 3)
	if !<-met {
		t.Error("ListReceived(7) after a list of version 8: got not met, want met")
	}
	if _, ready := e.Await(t.Context(), Ready); !ready {
		t.Error("Ready after a list with endpoints: got not met, want met")
	}
	if counts := e.Counts(); counts.CompleteLists != 1 || counts.ListChanges != 1 {
		t.Errorf("got counts %+v, want 1 complete list and 1 list of changes", counts)
	}
}
