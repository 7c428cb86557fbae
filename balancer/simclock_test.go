package balancer

import "container/heap"

// event is a function that a simulation calls at an instant.
type event struct {
	at     Micros
	handle func(now Micros)
}

// events is a heap of events, ordered by their instants.
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

// simClock is the clock of a simulation, with the events that have not happened yet.
type simClock struct {
	now    Micros
	events events
}

// after schedules a call of handle after a delay, which is raised to one microsecond if it is less.
func (c *simClock) after(delay Micros, handle func(now Micros)) {
	heap.Push(&c.events, event{c.now + max(1, delay), handle})
}

// run handles the events up to and including the given instant, and sets the clock to it.
func (c *simClock) run(until Micros) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.handle(e.at)
	}
	c.now = until
}
