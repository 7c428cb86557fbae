package sidecar

import (
	"time"

	"oakproxy/balancer"
)

// activate puts a configuration in force.
func (l *loop) activate(s *snapshot) {
	l.cfg = s.Config
	l.current.Store(s)
}

// reload takes up a new configuration in one step, or refuses it and changes nothing. Requests in hand, the list of
// endpoints and what is known of them stay.
func (l *loop) reload(next *Config) {
	if next.fault != nil {
		l.refuse(next.fault)
		return
	}
	old, merged := l.cfg, l.cfg.succeededBy(next)
	restart := old.needRestart(next)
	if old.equal(merged) {
		if len(restart) > 0 {
			l.log.Warn("configuration needs a restart", "needs_restart", restart)
		}
		return
	}
	withdrawn, err := l.balancer.Reconfigure(merged.Settings)
	if err != nil {
		l.refuse(err)
		return
	}
	l.activate(l.current.Load().replacedBy(merged, next.Hash()))
	l.withdraw(withdrawn)
	l.up.configure(merged)
	if old.Limits != merged.Limits && l.relimit != nil {
		l.relimit()
	}
	if old.restartsWatch(merged) {
		l.restartWatch()
	}
	l.logConfiguration(old.changed(merged), restart)
}

// refuse records that a configuration can't be taken.
func (l *loop) refuse(err error) {
	l.refused++
	inForce := l.current.Load()
	l.log.Error("configuration not reloaded", "error", err, "reloads_rejected", l.refused,
		"generation", inForce.generation, "hash", inForce.hash)
}

// logConfiguration records what is in force from now on, what has changed with it, and what has not.
func (l *loop) logConfiguration(changed, restart []string) {
	inForce := l.current.Load()
	attributes := []any{"generation", inForce.generation, "hash", inForce.hash, "discovery", inForce.Discovery}
	if len(changed) > 0 {
		attributes = append(attributes, "changed", changed)
	}
	if len(restart) > 0 {
		attributes = append(attributes, "needs_restart", restart)
	}
	l.log.Info("configuration in force", attributes...)
}

// withdraw keeps attempts from beginning. Those that have begun go on.
func (l *loop) withdraw(attempts []balancer.AttemptID) {
	for _, a := range attempts {
		if started := l.requests[a.Request].attempts[a.Attempt]; started.gate.close() {
			started.cancel()
		}
	}
}

// restartWatch has discovery asked for its whole list by the configuration in force: versions may be another
// service's.
func (l *loop) restartWatch() {
	old := l.disc
	l.disc = newDiscoveryFor(l.cfg)
	l.from.after, l.from.settle = nil, time.Now().Add(olderMoved)
	l.Watch(true)
	old.client.CloseIdleConnections()
}

// loadOf returns a result's load report, unless reports have come to name other figures since it was read.
func (l *loop) loadOf(res result) []float32 {
	if res.report != l.up.report.Load() {
		return nil
	}
	return res.load
}

// rampTime is how long an endpoint takes to be warm.
func (l *loop) rampTime() time.Duration {
	return time.Duration(l.current.Load().Settings.Contract.SlowStartDuration) * time.Microsecond
}
