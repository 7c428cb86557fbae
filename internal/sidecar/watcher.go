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

// failureLogInterval is the minimum time between log lines about consecutive failures of discovery calls.
const failureLogInterval = time.Second

// discoveryWatcher watches the endpoint list and counts the calls to discovery. The loop's goroutine owns it. Each
// watch runs in a goroutine of its own, which works on copies of the fields and reports back through the event queue.
type discoveryWatcher struct {
	log      *slog.Logger
	client   *discovery.Client
	position discovery.Position // position at which the next watch starts
	stop     context.CancelFunc // function that ends the latest watch

	lastListAt    balancer.Micros // time of discovery's latest valid answer, at first the start of the loop
	failing       bool            // whether the latest call failed
	lastWarningAt balancer.Micros // time of the latest log line about a failure
	callCounts    discoveryCallCounts
}

func newDiscoveryWatcher(cfg *config.Config, log *slog.Logger) discoveryWatcher {
	return discoveryWatcher{log: log, client: newDiscoveryClient(cfg), stop: func() {}}
}

// watchHandler handles the results of a watch. Its methods are called in the loop's goroutine.
type watchHandler interface {
	handleList(now balancer.Micros, list discovery.List)
	handleMalformedList(now balancer.Micros, err error)
	handleWatchEnded(now balancer.Micros, err error)
}

// start ends the current watch and starts a new one at the current position. The new watch runs until ctx ends. If it
// fails and retry is true, it is restarted after a delay. If retry is false, the handler decides when to restart it.
func (w *discoveryWatcher) start(ctx context.Context, events *eventQueue, h watchHandler, retry bool) {
	w.stop()
	ctx, w.stop = context.WithCancel(ctx)
	position, client := w.position, w.client
	post := func(e event) {
		events.post(func(now balancer.Micros) {
			if ctx.Err() == nil { // otherwise the watch has been ended in the meantime
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

// replaceClient makes the next watch request the complete list from the discovery service that cfg names, because the
// known version may be that of another service. It returns the previous client.
func (w *discoveryWatcher) replaceClient(cfg *config.Config) (old *discovery.Client) {
	old = w.client
	w.client = newDiscoveryClient(cfg)
	w.position.After, w.position.VersionResetAt = nil, time.Now().Add(discovery.VersionResetTimeoutAfterReload)
	return old
}

// recordList counts a list that discovery has sent, and logs the end of an outage.
func (w *discoveryWatcher) recordList(now balancer.Micros, list *discovery.List) {
	if w.failing {
		w.log.Info("discovery recovered", "list_age_ms", w.listAgeMS(now), "seq", list.Version)
	}
	w.failing, w.lastListAt = false, now
	w.callCounts.answered++
	w.log.Debug("endpoint list received", "seq", list.Version, "whole", list.Complete, "hosts", len(list.Entries))
	w.callCounts.unusableEntries += uint64(list.Unusable)
}

// recordFailure counts a failed call to discovery and logs it, at most once in each failureLogInterval of an outage.
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
		w.position.After = nil // discovery restarted its version numbers, so changes since the old version mean nothing
	}
	if !w.failing || now-w.lastWarningAt >= failureLogInterval.Microseconds() {
		w.lastWarningAt = now
		w.log.Warn("discovery call failed", "error", err, "list_age_ms", w.listAgeMS(now))
	}
	w.failing = true
}

// advancePosition sets the position to the version of a list, and reports whether the list may be older than an earlier
// one. It logs entries of the list that cannot be used.
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

// listAgeMS returns the milliseconds since lastListAt.
func (w *discoveryWatcher) listAgeMS(now balancer.Micros) balancer.Micros {
	return (now - w.lastListAt) / 1000
}

// discoveryCallCounts counts the calls to discovery by result, and the entries of lists that could not be used.
type discoveryCallCounts struct{ answered, timedOut, failed, malformed, unusableEntries uint64 }

// since formats the difference between c and old, an earlier state of the same counters.
func (c discoveryCallCounts) since(old discoveryCallCounts) string {
	return fmt.Sprintf("[answered:%d timeout:%d failed:%d malformed:%d unusable_entries:%d]",
		c.answered-old.answered, c.timedOut-old.timedOut, c.failed-old.failed, c.malformed-old.malformed,
		c.unusableEntries-old.unusableEntries)
}

// newDiscoveryClient returns a client of the discovery service that a configuration names.
func newDiscoveryClient(cfg *config.Config) *discovery.Client {
	c := &cfg.Settings.Contract
	return discovery.NewClient(discovery.Options{
		Address: cfg.DiscoveryAddress, Wait: cfg.DiscoveryWait, Dial: cfg.DiscoveryDial,
		Subscribe:    cfg.Settings.SubscribeToDiscovery,
		PollInterval: time.Duration(c.PollInterval) * time.Microsecond,
		DrainGrace:   time.Duration(c.DrainGrace) * time.Microsecond})
}
