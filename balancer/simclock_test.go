package balancer

import "container/heap"

// event is something that happens in a simulation.
type event struct {
	at     Micros
	handle func(now Micros)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simClock is the clock of a simulation, with the events still to come.
type simClock struct {
	now    Micros
	events events
}

// after has an event happen after a delay of a microsecond at least.
func (c *simClock) after(delay Micros, handle func(now Micros)) {
	heap.Push(&c.events, event{c.now + max(1, delay), handle})
}

// run plays the events up to an instant.
func (c *simClock) run(until Micros) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.handle(e.at)
	}
	c.now = until
}
