package balancer

import (
	"math"
	"slices"
)

// Learned is what a balancer has found out of the fleet. The next process of the same sidecar goes on from it: to
// find it out again takes seconds, in which a first slow answer or two pass for what all endpoints are like.
type Learned struct {
	Pace        float64
	Waits, Lag  float64
	ReportsLate bool

	Usual, UsualCold float64

	ColdSlowness float64 `json:"Chill"`  // the file keeps the names that processes of earlier versions read
	ColdSamples  int     `json:"Chills"` // answers that ColdSlowness is from

	Works     []LearnedWork
	Ways      []LearnedWay
	Endpoints []LearnedEndpoint
}

// LearnedWork is the mean work of a request of a class.
type LearnedWork struct {
	Class string
	Work  float64
}

// LearnedWay is the way to a zone.
type LearnedWay struct {
	Zone    uint8
	V, Sway float64
}

// LearnedEndpoint is what is known of one life of an endpoint.
type LearnedEndpoint struct {
	Name       uint64
	StartTime  Micros
	PaceAt     Micros
	Pace, Mean float64
}

// sound says whether a figure can be gone on from.
func sound(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

// Learned returns what is known by now.
func (b *Balancer) Learned() Learned {
	l := Learned{
		Pace:  b.fleet.v,
		Waits: b.waits.v, Lag: b.lag.v, ReportsLate: b.reportsLate,
		Usual: b.usual.v, UsualCold: b.usualCold.v,
		ColdSlowness: b.coldSlowness.v, ColdSamples: b.coldSamples,
	}
	for _, c := range b.classes {
		l.Works = append(l.Works, LearnedWork{c.Name, c.work.v})
	}
	for zone := range b.ways {
		if w := &b.ways[zone]; w.n > 0 {
			l.Ways = append(l.Ways, LearnedWay{uint8(zone), w.v, w.sway.v})
		}
	}
	for _, e := range b.list {
		if e.pace.seen {
			l.Endpoints = append(l.Endpoints, LearnedEndpoint{e.Name, e.StartTime, e.paceAt, e.pace.v, e.mean.v})
		}
	}
	return l
}

// Learn goes on from what another process of this sidecar knew. It comes after Start and before any list.
func (b *Balancer) Learn(l *Learned) {
	known := func(w LearnedWork) bool { return b.classNamed(w.Class) != nil }
	if !sound(l.Pace) || !slices.ContainsFunc(l.Works, known) {
		return // of a process that knew nothing, or of other settings
	}
	b.fleet = ewma{l.Pace, true}
	b.coldSlowness.v = min(1, max(0, l.ColdSlowness))
	b.coldSamples = max(0, l.ColdSamples)
	b.waits = ewma{min(1, max(0, l.Waits)), true}
	b.lag.v, b.reportsLate = min(1, max(0, l.Lag)), l.ReportsLate
	if sound(l.Usual) {
		b.usual.v = l.Usual
	}
	if sound(l.UsualCold) {
		b.usualCold = mean{l.UsualCold, usualGuess}
	}
	for _, w := range l.Works {
		if c := b.classNamed(w.Class); c != nil && sound(w.Work) {
			c.work.v = w.Work
		}
	}
	for _, known := range l.Ways {
		w := &b.ways[known.Zone]
		if !sound(known.V) || !sound(known.Sway) {
			continue
		}
		for range w.last {
			w.add(known.V)
		}
		w.sway.v = known.Sway
	}
	b.known = map[uint64]LearnedEndpoint{}
	for _, e := range l.Endpoints {
		if sound(e.Pace) {
			b.known[e.Name] = e
		}
	}
}

// recall takes up what is known of the life of e that is listed now.
func (b *Balancer) recall(e *endpoint) {
	if known, ok := b.known[e.Name]; ok && known.StartTime == e.StartTime {
		e.pace, e.paceAt = ewma{known.Pace, true}, known.PaceAt
		if sound(known.Mean) {
			e.mean = ewma{known.Mean, true}
		}
	}
	delete(b.known, e.Name)
}
