// Package fleet lays a fleet out over services, zones and regions, and encodes the configuration of each sidecar.
//
// A layout depends only on the scenario file and the size; nothing in it is random. The package starts nothing
// and writes no file.
package fleet

import (
	"fmt"

	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/spec"
)

// Endpoints listen on 127.(firstZoneOctet+zone).x.y, so that each has a loopback address of its own.
const (
	firstZoneOctet = 64
	hostsPerOctet  = 250
)

// Layout is the plan of a fleet.
type Layout struct {
	Zones        []string // names of a region and a number, such as north-1
	MachineKinds []string
	Endpoints    []Endpoint
	Sidecars     []Sidecar
}

// Endpoint is one endpoint's place in the fleet.
type Endpoint struct {
	Name        string
	Zone        int
	MachineKind string
	Cell        uint16
	Address     string // to listen on, port 0
}

// Sidecar is one sidecar's place in the fleet. The sidecar at a position belongs to the same application as the
// endpoint of that index.
type Sidecar struct {
	Name     string
	Position int
	Zone     int
	Real     bool // has a process of its own
}

// New lays out a fleet. Endpoints and sidecars are assigned to zones round-robin, and real sidecars are spread
// evenly among the sidecars of each zone.
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

func (l *Layout) newEndpoint(i int, options spec.Fleet) Endpoint {
	zone, indexInZone := i%len(l.Zones), i/len(l.Zones)
	service := indexInZone % options.Services
	return Endpoint{
		Name:        fmt.Sprintf("service-%02d-%s-%04d", service+1, l.Zones[zone], i),
		Zone:        zone,
		MachineKind: l.MachineKinds[indexInZone%len(l.MachineKinds)],
		Cell:        uint16(indexInZone/options.CellSize*len(l.Zones) + zone),
		Address:     fmt.Sprintf("127.%d.%d.%d:0", firstZoneOctet+zone,
			indexInZone/hostsPerOctet, 1+indexInZone%hostsPerOctet),
	}
}

func (l *Layout) newSidecar(i int, size spec.Size) Sidecar {
	zones := len(l.Zones)
	zone, indexInZone := i%zones, i/zones
	total, realCount := zoneCount(size.Sidecars, zones, zone), zoneCount(size.Real, zones, zone)
	return Sidecar{
		Name:     fmt.Sprintf("sidecar-%04d", i),
		Position: i,
		Zone:     zone,
		Real:     (indexInZone+1)*realCount/total > indexInZone*realCount/total,
	}
}

// zoneCount returns how many of count items a zone gets when items are assigned to zones round-robin.
func zoneCount(count, zones, zone int) int { return (count + zones - 1 - zone) / zones }

// EndpointConfig returns the configuration of an endpoint.
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

// Instance returns the entry in discovery's list of an endpoint that listens on an address.
func (l *Layout) Instance(e Endpoint, address, health string, startedMS int64) registry.Instance {
	return registry.Instance{Host: e.Name, Address: address, Zone: l.Zones[e.Zone], MachineKind: e.MachineKind,
		Cell: e.Cell, Health: health, Weight: 1, StartedMS: startedMS}
}
