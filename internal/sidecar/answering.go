package sidecar

import (
	"log/slog"
	"time"
)

// answeringPhase is the phase of shutdown in which the requests in flight get their responses. It ends by itself when
// nothing is in flight.
//
// SIGKILL may end the phase at any time from killAt on. A response that is still being relayed then ends with a reset
// of its connection: see downstream.Relay. The process itself never ends in the middle of a response: SIGKILL may be late,
// and the limits on the silence of endpoints and clients end each relay.
type answeringPhase struct {
	server            *server
	admissionClosedAt time.Time
	killAt            time.Time // earliest time of SIGKILL
	nearKill          bool      // whether killAt is less than killMargin away
	idleSince         time.Time // start of the period with nothing in flight; zero while a request is in flight
}

// newAnsweringPhase returns the phase of a shutdown that began with SIGTERM at the time started.
func newAnsweringPhase(s *server, started, admissionClosedAt time.Time) *answeringPhase {
	longestTimeout := min(s.loop.current.Load().LongestClientTimeout(), maxClientTimeout)
	return &answeringPhase{server: s, admissionClosedAt: admissionClosedAt,
		killAt: started.Add(longestTimeout + killDelay)}
}

// step does what is due at the time now, and reports whether the phase has ended. It is called every sweepInterval.
func (p *answeringPhase) step(now time.Time) (ended bool) {
	p.server.clients.ExpireIdle(0, 0)
	if now.After(p.partialDeadline()) {
		p.prepareForKill()
	}
	if latest, found := p.server.inFlight.latestDeadline(p.admissionClosedAt); found {
		p.idleSince = time.Time{}
		return p.abortAfter(now, latest)
	}
	if p.idleSince.IsZero() {
		p.idleSince = now
	}
	return now.Sub(p.idleSince) > closeGrace && now.Sub(p.partialDeadline()) > closeGrace
}

// partialDeadline is the time at which requests that are still incomplete are rejected.
func (p *answeringPhase) partialDeadline() time.Time { return p.killAt.Add(-killMargin) }

// prepareForKill rejects requests that are still incomplete. The first call logs the requests that SIGKILL may cut off.
func (p *answeringPhase) prepareForKill() {
	p.server.clients.RejectPartial()
	if !p.nearKill {
		p.nearKill = true
		p.server.logInFlight(slog.LevelWarn, "request in flight shortly before SIGKILL")
	}
}

// abortAfter reports whether the requests in flight are no longer awaited: no response is being relayed, and neither their
// latest deadline nor SIGKILL has ended them within responseGrace. It then logs them; the end of the process cuts them
// off.
func (p *answeringPhase) abortAfter(now, latestDeadline time.Time) bool {
	if p.server.inFlight.anyRelaying() {
		return false
	}
	end := latestDeadline
	if p.killAt.After(end) {
		end = p.killAt
	}
	if !now.After(end.Add(responseGrace)) {
		return false
	}
	p.server.logInFlight(slog.LevelError, "request aborted by shutdown")
	return true
}
