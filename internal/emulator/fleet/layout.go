// Package fleet assigns the endpoints and sidecars of a fleet to services, zones and regions, and encodes the
// configuration file of each sidecar.
//
// A layout depends only on the scenario file and the size; nothing in it is random. The package starts no process
// and writes no file.
package fleet

import (
	"fmt"

	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/spec"
)

// Each endpoint listens on a loopback address of its own: 127.(firstZoneOctet+zone).x.y, where zone is the index of
// the endpoint's zone, x = i / hostsPerOctet, y = 1 + i % hostsPerOctet, and i is the number of the endpoint within
// its zone, counted from 0.
const (
	firstZoneOctet = 64
	hostsPerOctet  = 250
)

// Layout lists the zones, machine kinds, endpoints and sidecars of a fleet.
type Layout struct {
	Zones        []string // zone names, each of a region and a number, such as north-1
	MachineKinds []string
	Endpoints    []Endpoint
	Sidecars     []Sidecar
}

// Endpoint is one endpoint's place in the fleet.
type Endpoint struct {
	Name        string
	Zone        int // index in Layout.Zones
	MachineKind string
	Cell        uint16
	Address     string // address to listen on, with port 0
}

// Sidecar is one sidecar's place in the fleet. If Layout.Endpoints has an element at index Position, that endpoint
// belongs to the same application as the sidecar.
type Sidecar struct {
	Name     string
	Position int  // index in Layout.Sidecars
	Zone     int  // index in Layout.Zones
	Real     bool // whether the sidecar runs in a process of its own
}

// New returns the layout of a fleet. Endpoints and sidecars are assigned to zones round-robin, and real sidecars are
// spread evenly among the sidecars of each zone.
func New(file *spec.File, size spec.Size) *Layout {
	l := &Layout{MachineKinds: file.Fleet.MachineKinds}
	for _, region := range file.Fleet.Regions {
		for number := range file.Fleet.ZonesPerRegion {
			l.Zones = append(l.Zones, fmt.Sprintf("%s-%d", region, number+1))
		}
	}
	for i := range size.Endpoints {
		l.Endpoints = append(l.Endpoints, l.newEndpoint(i, file.Fleet))
	}
	for i := range size.Sidecars {
		l.Sidecars = append(l.Sidecars, l.newSidecar(i, size))
	}
	return l
}

// newEndpoint returns the endpoint at index i.
func (l *Layout) newEndpoint(i int, options spec.Fleet) Endpoint {
	zone, indexInZone := i%len(l.Zones), i/len(l.Zones)
	service := indexInZone % options.Services
	return Endpoint{
		Name:        fmt.Sprintf("service-%02d-%s-%04d", service+1, l.Zones[zone], i),
		Zone:        zone,
		MachineKind: l.MachineKinds[indexInZone%len(l.MachineKinds)],
		Cell:        uint16(indexInZone/options.CellSize*len(l.Zones) + zone),
		Address: fmt.Sprintf("127.%d.%d.%d:0", firstZoneOctet+zone,
			indexInZone/hostsPerOctet, 1+indexInZone%hostsPerOctet),
	}
}

// newSidecar returns the sidecar at index i.
func (l *Layout) newSidecar(i int, size spec.Size) Sidecar {
	zones := len(l.Zones)
	zone, indexInZone := i%zones, i/zones
	total, realCount := zoneCount(size.Sidecars, zones, zone), zoneCount(size.Real, zones, zone)
	return Sidecar{
		Name:     fmt.Sprintf("sidecar-%04d", i),
		Position: i,
		Zone:     zone,
		// indexInZone*realCount/total, rounded down, is the number of real sidecars before this one in its zone. The
		// sidecar is real if the number is larger for the next index.
		Real: (indexInZone+1)*realCount/total > indexInZone*realCount/total,
	}
}

// zoneCount returns how many of count items the given zone gets when items are assigned to zones round-robin, starting
// with zone 0.
func zoneCount(count, zones, zone int) int { return (count + zones - 1 - zone) / zones }

// EndpointConfig returns the configuration with which an endpoint is started.
func (l *Layout) EndpointConfig(e Endpoint, file *spec.File) endpoint.Config {
	return endpoint.Config{
		Name:         e.Name,
		Address:      e.Address,
		Zone:         l.Zones[e.Zone],
		MachineKind:  e.MachineKind,
		Cell:         e.Cell,
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

// Instance returns the entry of an endpoint in discovery's endpoint list. The endpoint listens on the given address;
// startedMS is the start time of its process.
func (l *Layout) Instance(e Endpoint, address, health string, startedMS int64) registry.Instance {
	return registry.Instance{Host: e.Name, Address: address, Zone: l.Zones[e.Zone], MachineKind: e.MachineKind,
		Cell: e.Cell, Health: health, Weight: 1, StartedMS: startedMS}
}
