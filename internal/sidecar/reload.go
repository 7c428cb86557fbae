package sidecar

import (
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/upstream"
)

// activate puts a configuration in force.
func (l *loop) activate(snapshot *config.Snapshot) {
	l.cfg = snapshot.Config
	l.current.Store(snapshot)
}

// reload puts a new configuration in force as a whole, or rejects it and changes nothing. Requests in flight, the
// endpoint table and the balancer's knowledge of endpoints are kept.
func (l *loop) reload(newCfg *config.Config) {
	if newCfg.Err != nil {
		l.rejectReload(newCfg.Err)
		return
	}
	old, merged := l.cfg, l.cfg.Merge(newCfg)
	restartKeys := old.RestartKeys(newCfg)
	if old.Equal(merged) {
		if len(restartKeys) > 0 {
			l.log.Warn("configuration needs a restart", "needs_restart", restartKeys)
		}
		return
	}
	withdrawn, err := l.balancer.Reconfigure(merged.Settings)
	if err != nil {
		l.rejectReload(err)
		return
	}
	l.activate(l.current.Load().Next(merged, newCfg.Hash()))
	l.cancelUnsent(withdrawn)
	l.upstream.Configure(merged)
	if old.Limits != merged.Limits && l.clientSide != nil {
		l.clientSide.reapplyLimits()
	}
	if old.ChangesDiscovery(merged) {
		l.restartWatch()
	}
	l.logConfiguration(old.ChangedParts(merged), restartKeys)
}

// rejectReload counts and logs a configuration that cannot be put in force.
func (l *loop) rejectReload(err error) {
	l.rejectedReloads++
	inForce := l.current.Load()
	l.log.Error("configuration not reloaded", "error", err, "reloads_rejected", l.rejectedReloads,
		"generation", inForce.Generation, "hash", inForce.FileHash)
}

// logConfiguration logs the configuration now in force, the parts that have changed and the keys that need a restart.
func (l *loop) logConfiguration(changedParts, restartKeys []string) {
	inForce := l.current.Load()
	attributes := []any{"generation", inForce.Generation, "hash", inForce.FileHash, "discovery", inForce.DiscoveryAddress}
	if len(changedParts) > 0 {
		attributes = append(attributes, "changed", changedParts)
	}
	if len(restartKeys) > 0 {
		attributes = append(attributes, "needs_restart", restartKeys)
	}
	l.log.Info("configuration in force", attributes...)
}

// cancelUnsent cancels attempts that the new configuration does not allow, unless they have already been sent.
func (l *loop) cancelUnsent(attempts []balancer.AttemptID) {
	for _, a := range attempts {
		l.requests.byID[a.Request].attempts[a.Attempt].cancelUnsent()
	}
}

// restartWatch restarts the watch with the discovery service of the configuration in force. The first call requests the
// complete list.
func (l *loop) restartWatch() {
	old := l.watcher.replaceClient(l.cfg)
	l.Watch(true)
	old.HTTP.CloseIdleConnections()
}

// currentLoadReport returns the load report of a result. It returns nil if the report was parsed according to an
// earlier configuration.
func (l *loop) currentLoadReport(result upstream.Result) []float32 {
	if result.ReportFormat != l.upstream.CurrentFormat.Load() {
		return nil
	}
	return result.Load
}

// slowStartDuration returns how long an endpoint takes to warm up.
func (l *loop) slowStartDuration() time.Duration {
	return time.Duration(l.current.Load().Settings.Contract.SlowStartDuration) * time.Microsecond
}
