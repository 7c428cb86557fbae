package wire

import (
	"fmt"

	"oakproxy/balancer"
)

// maxLists is the number of endpoint lists that can be cached. Lists are numbered from 0 to maxLists-1.
const maxLists = 16

// manifestEntrySize is the size in bytes of one entry of a manifest record. Its fields, with their sizes, are: endpoint
// ID (4), zone (1), machine kind (1), cell (2), state (1), weight (4), start time (8).
const manifestEntrySize = sizeU32 + sizeU8 + sizeU8 + sizeU16 + sizeU8 + sizeU32 + sizeU64

// endpointLists caches the endpoint lists of manifest records by list number. All instances share the lists. A list
// remains valid until a later manifest record with the same number replaces it. That may happen within one batch, so a
// membership record refers to the list that was cached when the record is decoded.
type endpointLists struct {
	lists    [maxLists][]balancer.Endpoint
	received [maxLists]bool // whether a manifest record with this number has been decoded
}

// readManifest reads the fields of a manifest record and caches its list. Listed as offset in bytes from the start of
// the record, name and, in parentheses, size in bytes, the fields are: 5 list number (1), 6 number of entries (4), 10
// entries.
func (l *endpointLists) readManifest(r *recordReader) {
	number := r.u8()
	if number >= maxLists {
		r.failAtLastField(sizeU8, fmt.Sprintf("list number %d is greater than the limit of %d", number, maxLists-1))
	}
	count := int(r.u32())
	if count*manifestEntrySize > r.remaining() {
		r.failAtLastField(sizeU32, fmt.Sprintf("%d entries do not fit in the record", count))
	}
	if r.err != nil {
		return
	}
	list := l.lists[number][:0]
	for i := 0; i < count && r.err == nil; i++ {
		list = append(list, r.manifestEntry())
	}
	l.lists[number], l.received[number] = list, true
}

func (r *recordReader) manifestEntry() balancer.Endpoint {
	var e balancer.Endpoint
	e.ID = r.u32()
	e.Name = uint64(e.ID) // the ID serves as the name, because it is the same for all instances
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
		r.failAtLastField(sizeU8, fmt.Sprintf("unknown endpoint status %d", code))
	}
	return state
}

func (r *recordReader) listUpdate() balancer.ListUpdate {
	code := r.u8()
	update, known := listUpdates.find(code)
	if !known {
		r.failAtLastField(sizeU8, fmt.Sprintf("unknown kind %d of list update", code))
	}
	return update
}

// readMembership reads the fields of a membership record, which notifies an instance of an endpoint list, and looks up
// the list. Listed as offset in bytes from the start of the record, name and, in parentheses, size in bytes, the fields
// are: 5 version (4), 9 list number (1), 10 kind (1). The list number is ignored if the kind is balancer.ListFailed,
// because a failed discovery call yields no list.
func (l *endpointLists) readMembership(r *recordReader, e *Event) {
	r.u32() // the version of the list, which the balancer does not use
	number := r.u8()
	e.Update, e.Endpoints = r.listUpdate(), nil
	if r.err != nil || e.Update == balancer.ListFailed {
		return
	}
	if number >= maxLists || !l.received[number] {
		r.failAtLastField(sizeU8+sizeU8, fmt.Sprintf("list number %d has not been received in a manifest record", number))
		return
	}
	e.Endpoints = l.lists[number]
}
