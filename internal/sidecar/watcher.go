package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/system"
)

// failureLogInterval is the least time between two log lines on failures of discovery that follow each other.
const failureLogInterval = time.Second

// discoveryWatcher watches the endpoint list and counts the calls of discovery. The loop's goroutine owns it; the
// goroutine of a watch that was started works on copies and reports back through the event queue.
type discoveryWatcher struct {
	log      *slog.Logger
	client   *discovery.Client
	position discovery.Position // to watch from
	stop     context.CancelFunc // ends the watch that was started last

	lastListAt    balancer.Micros // when discovery answered last, or the start of the loop
	failing       bool            // the last call failed
	lastWarningAt balancer.Micros // when a failure was logged last
	callCounts    discoveryCallCounts
}

func newDiscoveryWatcher(cfg *config.Config, log *slog.Logger) discoveryWatcher {
	return discoveryWatcher{log: log, client: newDiscoveryClient(cfg), stop: func() {}}
}

// watchHandler takes what a watch reports, in the loop's goroutine.
type watchHandler interface {
	handleList(now balancer.Micros, list discovery.List)
	handleMalformedList(now balancer.Micros, err error)
	handleWatchEnded(now balancer.Micros, err error)
}

// start ends the watch there is and begins one from the last version on, until ctx ends. If it fails with retry set,
// it is begun again after a delay; else the handler decides when.
func (w *discoveryWatcher) start(ctx context.Context, events *eventQueue, h watchHandler, retry bool) {
	w.stop()
	ctx, w.stop = context.WithCancel(ctx)
	position, client := w.position, w.client
	post := func(e event) {
		events.post(func(now balancer.Micros) {
			if ctx.Err() == nil { // else the watch was ended meanwhile
				e(now)
			}
		})
	}
	onList := func(list discovery.List) {
		post(func(now balancer.Micros) { h.handleList(now, list) })
	}
	onMalformed := func(err error) {
		post(func(now balancer.Micros) { h.handleMalformedList(now, err) })
	}
	go func() {
		for ctx.Err() == nil {
			err := client.Watch(ctx, position, onList, onMalformed)
			nextPosition := make(chan discovery.Position, 1)
			post(func(now balancer.Micros) {
				h.handleWatchEnded(now, err)
				nextPosition <- w.position
			})
			if !retry {
				return
			}
			system.Sleep(ctx, discovery.Jitter(client.RetryDelay))
			select {
			case position = <-nextPosition:
			case <-ctx.Done():
			}
		}
	}()
}

// replaceClient has the next watch call the discovery of cfg for its complete list: versions may be those of another
// service. It returns the client that was used so far.
func (w *discoveryWatcher) replaceClient(cfg *config.Config) (old *discovery.Client) {
	old = w.client
	w.client = newDiscoveryClient(cfg)
	w.position.After, w.position.VersionResetAt = nil, time.Now().Add(discovery.VersionResetTimeoutAfterReload)
	return old
}

// recordList counts a list that discovery answered with.
func (w *discoveryWatcher) recordList(now balancer.Micros, list *discovery.List) {
	if w.failing {
		w.log.Info("discovery recovered", "list_age_ms", w.listAgeMS(now), "seq", list.Version)
	}
	w.failing, w.lastListAt = false, now
	w.callCounts.answered++
	w.log.Debug("endpoint list received", "seq", list.Version, "whole", list.Complete, "hosts", len(list.Entries))
	w.callCounts.unusableEntries += uint64(list.Unusable)
}

// recordFailure counts a call of discovery that failed.
func (w *discoveryWatcher) recordFailure(now balancer.Micros, err error) {
	var malformed *discovery.MalformedError
	switch {
	case errors.As(err, &malformed):
		w.callCounts.malformed++
	case errors.Is(err, context.DeadlineExceeded):
		w.callCounts.timedOut++
	default:
		w.callCounts.failed++
	}
	if errors.Is(err, discovery.ErrOutdated) {
		w.position.After = nil // versions were numbered anew: changes since the old one mean nothing
	}
	if !w.failing || now-w.lastWarningAt >= failureLogInterval.Microseconds() {
		w.lastWarningAt = now
		w.log.Warn("discovery call failed", "error", err, "list_age_ms", w.listAgeMS(now))
	}
	w.failing = true
}

// advancePosition moves the position past a list, and reports whether the list may be older than one that came before.
func (w *discoveryWatcher) advancePosition(at time.Time, list *discovery.List) (mayBeOlder bool) {
	mayBeOlder = list.Version < w.position.CurrentVersion
	version := list.Version
	w.position = discovery.Position{After: &version, CurrentVersion: version,
		VersionResetAt: at.Add(w.client.VersionResetTimeout)}
	if list.Unusable > 0 {
		w.log.Warn("unusable entries in the endpoint list",
			"unusable", list.Unusable, "total", len(list.Entries), "first_error", list.FirstError)
	}
	return mayBeOlder
}

// listAgeMS returns the milliseconds since discovery answered last.
func (w *discoveryWatcher) listAgeMS(now balancer.Micros) balancer.Micros {
	return (now - w.lastListAt) / 1000
}

// discoveryCallCounts counts calls of discovery by how they ended, and entries of lists that could not be used.
type discoveryCallCounts struct{ answered, timedOut, failed, malformed, unusableEntries uint64 }

// since describes what was counted since an earlier state.
func (c discoveryCallCounts) since(old discoveryCallCounts) string {
	return fmt.Sprintf("[answered:%d timeout:%d failed:%d malformed:%d unusable_entries:%d]",
		c.answered-old.answered, c.timedOut-old.timedOut, c.failed-old.failed, c.malformed-old.malformed,
		c.unusableEntries-old.unusableEntries)
}

// newDiscoveryClient returns the client of the discovery that a configuration names.
func newDiscoveryClient(cfg *config.Config) *discovery.Client {
	c := &cfg.Settings.Contract
	return discovery.NewClient(discovery.Options{Address: cfg.DiscoveryAddress, Wait: cfg.DiscoveryWait, Dial: cfg.DiscoveryDial,
		Subscribe:    cfg.Settings.SubscribeToDiscovery,
		PollInterval: time.Duration(c.PollInterval) * time.Microsecond,
		DrainGrace:   time.Duration(c.DrainGrace) * time.Microsecond})
}
