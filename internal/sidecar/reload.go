package sidecar

import (
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/upstream"
)

// activate puts a configuration in force.
func (l *loop) activate(s *config.Snapshot) {
	l.cfg = s.Config
	l.current.Store(s)
}

// reload takes up a new configuration in one step, or refuses it and changes nothing. Requests in hand, the list of
// endpoints and what is known of them stay.
func (l *loop) reload(next *config.Config) {
	if next.Err != nil {
		l.rejectReload(next.Err)
		return
	}
	old, merged := l.cfg, l.cfg.Merge(next)
	restart := old.RestartKeys(next)
	if old.Equal(merged) {
		if len(restart) > 0 {
			l.log.Warn("configuration needs a restart", "needs_restart", restart)
		}
		return
	}
	withdrawn, err := l.balancer.Reconfigure(merged.Settings)
	if err != nil {
		l.rejectReload(err)
		return
	}
	l.activate(l.current.Load().ReplacedBy(merged, next.Hash()))
	l.cancelUnsent(withdrawn)
	l.upstream.Configure(merged)
	if old.Limits != merged.Limits && l.limitsChanged != nil {
		l.limitsChanged()
	}
	if old.ChangesDiscovery(merged) {
		l.restartWatch()
	}
	l.logConfiguration(old.ChangedParts(merged), restart)
}

// rejectReload records that a configuration can't be taken.
func (l *loop) rejectReload(err error) {
	l.rejectedReloads++
	inForce := l.current.Load()
	l.log.Error("configuration not reloaded", "error", err, "reloads_rejected", l.rejectedReloads,
		"generation", inForce.Generation, "hash", inForce.FileHash)
}

// logConfiguration records what is in force from now on, what has changed with it, and what has not.
func (l *loop) logConfiguration(changed, restart []string) {
	inForce := l.current.Load()
	attributes := []any{"generation", inForce.Generation, "hash", inForce.FileHash, "discovery", inForce.Discovery}
	if len(changed) > 0 {
		attributes = append(attributes, "changed", changed)
	}
	if len(restart) > 0 {
		attributes = append(attributes, "needs_restart", restart)
	}
	l.log.Info("configuration in force", attributes...)
}

// cancelUnsent keeps attempts from beginning. Those that have begun go on.
func (l *loop) cancelUnsent(attempts []balancer.AttemptID) {
	for _, a := range attempts {
		if started := l.requests[a.Request].attempts[a.Attempt]; started.gate.Close() {
			started.cancel()
		}
	}
}

// restartWatch has discovery asked for its whole list by the configuration in force: versions may be another
// service's.
func (l *loop) restartWatch() {
	old := l.discovery
	l.discovery = newDiscoveryClient(l.cfg)
	l.position.After, l.position.VersionResetAt = nil, time.Now().Add(discovery.MovedVersionGrace)
	l.Watch(true)
	old.HTTP.CloseIdleConnections()
}

// currentLoadReport returns a result's load report, unless reports have come to name other figures since it was read.
func (l *loop) currentLoadReport(res upstream.Result) []float32 {
	if res.Report != l.upstream.Report.Load() {
		return nil
	}
	return res.Load
}

// slowStartDuration is how long an endpoint takes to be warm.
func (l *loop) slowStartDuration() time.Duration {
	return time.Duration(l.current.Load().Settings.Contract.SlowStartDuration) * time.Microsecond
}
