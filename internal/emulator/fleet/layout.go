// Package fleet lays a fleet out over services, zones and regions, and writes the
// configuration of each sidecar.
package fleet

import (
	"fmt"

	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/spec"
)

// Loopback addresses of endpoints are 127.(firstZoneOctet+zone).x.y, so that each has
// one of its own.
const (
	firstZoneOctet = 64
	hostsPerOctet  = 250
)

// Layout is a fleet on paper.
type Layout struct {
	Zones     []string // region and number, such as north-1
	Kinds     []string
	Endpoints []Endpoint
	Sidecars  []Sidecar
}

// Endpoint is one endpoint's place.
type Endpoint struct {
	Name    string
	Zone    int
	Kind    string
	Block   uint16
	Address string // to listen on, port 0
}

// Sidecar is one sidecar's place. The sidecar of a number belongs to the application
// that is the endpoint of that number.
type Sidecar struct {
	Name     string
	Position int
	Zone     int
	Real     bool // has a process of its own
}

// New lays out a fleet. Endpoints and sidecars go to zones in turn, and the real ones
// stand evenly among the sidecars.
func New(file *spec.File, size spec.Size) *Layout {
	l := &Layout{Kinds: file.Fleet.Kinds}
	for _, region := range file.Fleet.Regions {
		for number := range file.Fleet.ZonesPerRegion {
			l.Zones = append(l.Zones, fmt.Sprintf("%s-%d", region, number+1))
		}
	}
	for i := range size.Endpoints {
		l.Endpoints = append(l.Endpoints, l.endpoint(i, file.Fleet))
	}
	for i := range size.Sidecars {
		l.Sidecars = append(l.Sidecars, l.sidecar(i, size))
	}
	return l
}

func (l *Layout) endpoint(i int, of spec.Fleet) Endpoint {
	zone, inZone := i%len(l.Zones), i/len(l.Zones)
	service := inZone % of.Services
	return Endpoint{
		Name:    fmt.Sprintf("service-%02d-%s-%04d", service+1, l.Zones[zone], i),
		Zone:    zone,
		Kind:    l.Kinds[inZone%len(l.Kinds)],
		Block:   uint16(inZone/of.CellSize*len(l.Zones) + zone),
		Address: fmt.Sprintf("127.%d.%d.%d:0", firstZoneOctet+zone, inZone/hostsPerOctet, 1+inZone%hostsPerOctet),
	}
}

func (l *Layout) sidecar(i int, size spec.Size) Sidecar {
	zones := len(l.Zones)
	zone, inZone := i%zones, i/zones
	all, real := zoneCount(size.Sidecars, zones, zone), zoneCount(size.Real, zones, zone)
	return Sidecar{
		Name:     fmt.Sprintf("sidecar-%04d", i),
		Position: i,
		Zone:     zone,
		Real:     (inZone+1)*real/all > inZone*real/all,
	}
}

// zoneCount is how many of a number of things go to one zone when they go to zones in turn.
func zoneCount(count, zones, zone int) int { return (count + zones - 1 - zone) / zones }

// Config returns how the stand-in for an endpoint is started.
func (l *Layout) Config(e Endpoint, file *spec.File) endpoint.Config {
	return endpoint.Config{
		Name:         e.Name,
		Address:      e.Address,
		Site:         l.Zones[e.Zone],
		Class:        e.Kind,
		Block:        e.Block,
		Cores:        file.Endpoint.Cores,
		ServiceTime:  file.Endpoint.ServiceTime.Std(),
		QueueLimit:   file.Endpoint.QueueLimit,
		ReportLoad:   true,
		LoadField:    file.Sidecar.LoadField,
		IdleTimeout:  file.Sidecar.KeepAlive.Std(),
		WarmUp:       file.Endpoint.WarmUp.Std(),
		ColdCapacity: file.Endpoint.ColdCapacity,
	}
}

// Instance returns what discovery tells of an endpoint that is reached at an address.
func (l *Layout) Instance(e Endpoint, address, health string, bornMS int64) registry.Instance {
	return registry.Instance{Host: e.Name, Address: address, Site: l.Zones[e.Zone], Class: e.Kind,
		Block: e.Block, Health: health, Weight: 1, StartedMS: bornMS}
}
