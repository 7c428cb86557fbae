package wire

import (
	"fmt"

	"oakproxy/balancer"
)

// maxLists bounds the numbers of endpoint lists, which count from 0.
const maxLists = 16

// Size of an entry of a manifest record in bytes: endpoint ID (4), zone (1), kind of machine (1), cell (2), state (1),
// weight (4), start time (8).
const manifestEntrySize = sizeU32 + sizeU8 + sizeU8 + sizeU16 + sizeU8 + sizeU32 + sizeU64

// endpointLists caches the endpoint lists of manifest records by number. A list belongs to no instance and stands until
// a later manifest replaces it, which may be in the same batch: numbers are resolved in the order of events.
type endpointLists struct {
	lists    [maxLists][]balancer.Endpoint
	conveyed [maxLists]bool
}

// manifest reads a list and caches it under its number: 5 list number (1), 6 number of entries (4), 10 entries.
func (l *endpointLists) manifest(r *recordReader) {
	number := r.u8()
	if number >= maxLists {
		r.failBack(sizeU8, fmt.Sprintf("list number %d is over %d", number, maxLists-1))
	}
	count := int(r.u32())
	if count*manifestEntrySize > r.remaining() {
		r.failBack(sizeU32, fmt.Sprintf("%d entries overrun the record", count))
	}
	if r.err != nil {
		return
	}
	list := l.lists[number][:0]
	for i := 0; i < count && r.err == nil; i++ {
		list = append(list, r.manifestEntry())
	}
	l.lists[number], l.conveyed[number] = list, true
}

func (r *recordReader) manifestEntry() balancer.Endpoint {
	var e balancer.Endpoint
	e.ID = r.u32()
	e.Name = uint64(e.ID) // every instance knows an endpoint by the same ID
	e.Zone = r.u8()
	e.MachineKind = r.u8()
	e.Cell = r.u16()
	e.State = r.endpointState()
	e.Weight = r.f32()
	e.StartTime = balancer.Micros(r.u64())
	return e
}

func (r *recordReader) endpointState() balancer.EndpointState {
	code := r.u8()
	state, known := endpointStates.find(code)
	if !known {
		r.failBack(sizeU8, fmt.Sprintf("unknown endpoint status %d", code))
	}
	return state
}

func (r *recordReader) listUpdate() balancer.ListUpdate {
	code := r.u8()
	update, known := listUpdates.find(code)
	if !known {
		r.failBack(sizeU8, fmt.Sprintf("unknown kind %d", code))
	}
	return update
}

// membership reads which list an instance is notified of, and looks it up: 5 version (4), 9 list number (1),
// 10 kind (1). A failed call of discovery comes without a list.
func (l *endpointLists) membership(r *recordReader, e *Event) {
	r.u32() // the list's version, which no decision reads
	number := r.u8()
	e.Update, e.Endpoints = r.listUpdate(), nil
	if r.err != nil || e.Update == balancer.ListFailed {
		return
	}
	if number >= maxLists || !l.conveyed[number] {
		r.failBack(sizeU8+sizeU8, fmt.Sprintf("list number %d has not been conveyed", number))
		return
	}
	e.Endpoints = l.lists[number]
}
